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

// writtenFormats lists all formats in which any version wrote records.
var writtenFormats = []caversion.Format{caversion.FormatUnnumbered, caversion.FormatNumbered}

func goldenDir(f caversion.Format) string { return fmt.Sprintf("testdata/format_%d", f) }

// sampleRecord returns a record of the type with every field of its payload set.
func sampleRecord(t *testing.T, typ RecordType) Record {
	t.Helper()
	r := Record{Type: typ, At: start}
	name := strings.ReplaceAll(typ.String(), "_", "")
	field := reflect.ValueOf(&r).Elem().FieldByNameFunc(func(f string) bool { return strings.EqualFold(f, name) })
	if !field.IsValid() {
		t.Fatalf("Record has no field named after type %v", typ)
	}
	field.Set(cagolden.NewFilled(field.Type().Elem()))
	return r
}

var recordCodec = cagolden.Codec{
	Encode: func(value any) ([]byte, error) { return value.(Record).Encode() },
	Decode: func(data []byte) (any, error) { return DecodeRecord(data) },
}

// TestRecordEncodingIsStable requires a golden file for each record type in each
// format. A changed encoding would make stored records unreadable.
func TestRecordEncodingIsStable(t *testing.T) {
	for _, f := range writtenFormats {
		for _, typ := range RecordTypeValues() {
			path := filepath.Join(goldenDir(f), "record."+typ.String())
			if err := cagolden.Verify(path, sampleRecord(t, typ).WithFormat(f), recordCodec); err != nil {
				t.Errorf("format %d, %v: %v", f, typ, err)
			}
		}
	}
	if diff := cmp.Diff(caversion.FormatNewest, writtenFormats[len(writtenFormats)-1]); diff != "" {
		t.Errorf("newest format mismatch (-want +got):\n%s", diff)
	}
}

// sampleState returns a state that uses all fields of a snapshot.
func sampleState(t *testing.T, f caversion.Format) *State {
	t.Helper()
	s := newState(t, 8)
	s.SetFormats(func() caversion.Format { return f }, caversion.FormatNewest)
	for _, id := range []cawork.JobID{"done", "open", "given"} {
		mustApply(t, s, jobAccepted(id, cawork.JobSpec{Kind: cawork.WorkKindBatch, Tasks: 1, MaxAttempts: 2, Size: taskSize, Payload: []byte(`{}`)}))
	}
	mustApply(t, s, attemptsIntended("done", "a1"))
	mustApply(t, s, attemptSettled("a1", cawork.TaskStateDone, true))
	mustApply(t, s, jobEnded("done", cawork.OutcomeDone))
	mustApply(t, s, attemptsIntended("open", "a2"))
	mustApply(t, s, Record{Type: RecordHandedOver, HandedOver: &HandedOver{Job: "given", To: "other"}})
	mustApply(t, s, Record{Type: RecordAllowanceSent, AllowanceSent: &AllowanceSent{To: "other", Team: team, Amount: taskSize}})
	mustApply(t, s, Record{Type: RecordAllowanceReceived, AllowanceReceived: &caescrow.Transfer{
		From: "other", To: "s", Team: team, Number: 1, Total: taskSize,
	}})
	mustApply(t, s, Record{Type: RecordPartnerClosed, PartnerClosed: &PartnerClosed{Lost: "lost"}})
	return s
}

// stateCodec encodes snapshots, and decodes them by restoring a state.
var stateCodec = cagolden.Codec{
	Encode: func(value any) ([]byte, error) { return encMode.Marshal(value) },
	Decode: func(data []byte) (any, error) {
		s := NewState("s", DefaultRetention())
		err := s.Restore(data)
		return s.snapshot(), err
	},
}

func TestSnapshotEncodingIsStable(t *testing.T) {
	for _, f := range writtenFormats {
		snap := sampleState(t, f).snapshot()
		if err := cagolden.Verify(filepath.Join(goldenDir(f), "snapshot"), snap, stateCodec); err != nil {
			t.Errorf("format %d: %v", f, err)
		}
	}
}

func TestSnapshotHasItsFormatNumber(t *testing.T) {
	for _, f := range writtenFormats {
		data, err := sampleState(t, f).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		reader := NewState("s", DefaultRetention())
		reader.SetFormats(func() caversion.Format { return 1 }, caversion.FormatUnnumbered)
		_, later := caversion.AsUnsupportedFormat(reader.Restore(data))
		if diff := cmp.Diff(f > caversion.FormatUnnumbered, later); diff != "" {
			t.Errorf("format %d: refusal by a reader of format 1 mismatch (-want +got):\n%s", f, diff)
		}
		if later && len(reader.jobs) > 0 {
			t.Errorf("format %d: a refused snapshot changed the state", f)
		}
	}
}

// TestLaterFormatChangesNothing requires that a record of a later format gives a
// caversion.UnsupportedFormatError, unlike a refused record, even if it has an entirely
// different structure.
func TestLaterFormatChangesNothing(t *testing.T) {
	later := cagolden.EncodeNewerFormat("Format", int(caversion.FormatNewest)+1)
	s := sampleState(t, caversion.FormatUnnumbered)
	before := cagolden.Dump(s.snapshot())
	if _, ok := caversion.AsUnsupportedFormat(s.Apply(later)); !ok {
		t.Error("Apply of a record of a later format does not return a caversion.LaterError")
	}
	if _, ok := caversion.AsUnsupportedFormat(s.Restore(later)); !ok {
		t.Error("Restore of a snapshot of a later format does not return a caversion.LaterError")
	}
	if diff := cmp.Diff(before, cagolden.Dump(s.snapshot())); diff != "" {
		t.Errorf("state mismatch (-want +got):\n%s", diff)
	}
}

// mutations is the number of mutated copies of each golden file.
const mutations = 500

// TestMutatedBytesDoNotPanic applies mutated copies of records and snapshots to
// a state. Bytes from another version must not panic a replica.
func TestMutatedBytesDoNotPanic(t *testing.T) {
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
			mutated := cagolden.Mutate(rng, data)
			if strings.HasSuffix(file, "snapshot") {
				s = NewState("s", DefaultRetention())
				_ = s.Restore(mutated)
			}
			_ = s.Apply(mutated)
			_, _ = s.Snapshot()
		}
	}
}
