package cajob

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// formats are all formats in which records were ever written.
var formats = []caversion.Format{caversion.FormatUnnumbered, caversion.FormatNumbered}

func goldenFolder(f caversion.Format) string { return fmt.Sprintf("testdata/format_%d", f) }

// sampleRecord returns a record of the type in which all that it uses is set.
func sampleRecord(t *testing.T, typ RecordType) Record {
	t.Helper()
	r := Record{Type: typ, At: start}
	name := strings.ReplaceAll(typ.String(), "_", "")
	field := reflect.ValueOf(&r).Elem().FieldByNameFunc(func(f string) bool { return strings.EqualFold(f, name) })
	if !field.IsValid() {
		t.Fatalf("record type %v has no field of its name", typ)
	}
	field.Set(cagolden.New(field.Type().Elem()))
	return r
}

var recordCodec = cagolden.Codec{
	Encode: func(value any) ([]byte, error) { return value.(Record).Encode() },
	Decode: func(data []byte) (any, error) { return DecodeRecord(data) },
}

// TestRecordsKeepTheirForm requires a file for each type of records in each
// format.
func TestRecordsKeepTheirForm(t *testing.T) {
	for _, f := range formats {
		for _, typ := range RecordTypeValues() {
			path := filepath.Join(goldenFolder(f), "record."+typ.String())
			if err := cagolden.Verify(path, sampleRecord(t, typ).WithFormat(f), recordCodec); err != nil {
				t.Errorf("format %d, %v: %v", f, typ, err)
			}
		}
	}
	if diff := cmp.Diff(caversion.FormatNewest, formats[len(formats)-1]); diff != "" {
		t.Errorf("newest format mismatch (-want +got):\n%s", diff)
	}
}

// sampleState returns a state that uses all parts of a snapshot.
func sampleState(t *testing.T, f caversion.Format) *State {
	t.Helper()
	s := newState(t, 8)
	s.SetFormats(func() caversion.Format { return f }, caversion.FormatNewest)
	for _, id := range []cawork.JobID{"done", "open", "given"} {
		mustApply(t, s, accepted(id, cawork.JobSpec{Kind: cawork.WorkKindBatch, Tasks: 1, MaxAttempts: 2, Size: taskSize, Payload: []byte(`{}`)}))
	}
	mustApply(t, s, intended("done", "a1"))
	mustApply(t, s, settledAs("a1", cawork.TaskStateDone, true))
	mustApply(t, s, endedAs("done", cawork.OutcomeDone))
	mustApply(t, s, intended("open", "a2"))
	mustApply(t, s, Record{Type: RecordHandedOver, HandedOver: &HandedOver{Job: "given", To: "other"}})
	mustApply(t, s, Record{Type: RecordAllowanceSent, AllowanceSent: &AllowanceSent{To: "other", Team: team, Amount: taskSize}})
	mustApply(t, s, Record{Type: RecordAllowanceReceived, AllowanceReceived: &caescrow.Transfer{
		From: "other", To: "s", Team: team, Number: 1, Total: taskSize,
	}})
	mustApply(t, s, Record{Type: RecordPartnerClosed, PartnerClosed: &PartnerClosed{Lost: "lost"}})
	return s
}

// stateCodec encodes snapshots and decodes them to what a state makes of them.
var stateCodec = cagolden.Codec{
	Encode: func(value any) ([]byte, error) { return encMode.Marshal(value) },
	Decode: func(data []byte) (any, error) {
		s := NewState("s", DefaultRetention())
		err := s.Restore(data)
		return s.snapshot(), err
	},
}

func TestSnapshotsKeepTheirForm(t *testing.T) {
	for _, f := range formats {
		snap := sampleState(t, f).snapshot()
		if err := cagolden.Verify(filepath.Join(goldenFolder(f), "snapshot"), snap, stateCodec); err != nil {
			t.Errorf("format %d: %v", f, err)
		}
	}
}

func TestSnapshotStatesItsFormat(t *testing.T) {
	for _, f := range formats {
		data, err := sampleState(t, f).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		reader := NewState("s", DefaultRetention())
		reader.SetFormats(func() caversion.Format { return 1 }, caversion.FormatUnnumbered)
		_, later := caversion.Later(reader.Restore(data))
		if diff := cmp.Diff(f > caversion.FormatUnnumbered, later); diff != "" {
			t.Errorf("format %d: refusal by a reader of format 1 mismatch (-want +got):\n%s", f, diff)
		}
		if later && len(reader.jobs) > 0 {
			t.Errorf("format %d: a refused snapshot changed the state", f)
		}
	}
}

// TestLaterRecordChangesNothing requires that a record of a later format is told
// apart from one that is refused, even when it has another form altogether.
func TestLaterRecordChangesNothing(t *testing.T) {
	later := cagolden.Later("Format", int(caversion.FormatNewest)+1)
	s := sampleState(t, caversion.FormatUnnumbered)
	before := cagolden.Dump(s.snapshot())
	if _, ok := caversion.Later(s.Apply(later)); !ok {
		t.Error("a record of a later format is not told as such")
	}
	if _, ok := caversion.Later(s.Restore(later)); !ok {
		t.Error("a snapshot of a later format is not told as such")
	}
	if diff := cmp.Diff(before, cagolden.Dump(s.snapshot())); diff != "" {
		t.Errorf("state mismatch (-want +got):\n%s", diff)
	}
}

// mutations is the number of changed copies of each record and snapshot.
const mutations = 500

// TestBytesOfAnotherVersionDoNotPanic applies changed copies of records and
// snapshots to a state.
func TestBytesOfAnotherVersionDoNotPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	files, err := filepath.Glob("testdata/format_*/*")
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden files: %v", err)
	}
	for _, file := range files {
		data, _, err := cagolden.Read(file)
		if err != nil {
			t.Fatal(err)
		}
		s := sampleState(t, caversion.FormatUnnumbered)
		for range mutations {
			changed := cagolden.Mutate(rng, data)
			if strings.HasSuffix(file, "snapshot") {
				s = NewState("s", DefaultRetention())
				_ = s.Restore(changed)
			}
			_ = s.Apply(changed)
			_, _ = s.Snapshot()
		}
	}
}
