package caarchive

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calog"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
)

const (
	shard cawork.ShardID    = "e2-1"
	gone  cawork.UpstreamID = "u1"
	alive cawork.UpstreamID = "u2"
)

var (
	self   = cashard.Member{VM: "e1", Incarnation: 1}
	former = cashard.Member{VM: "e2", Incarnation: 1}
)

// fakeShards holds the replicas of an entry and notes what is asked of them.
type fakeShards struct {
	statuses []cashard.Status
	calls    []string
	views    []cashard.View
}

func (f *fakeShards) Snapshot(cawork.ShardID) (cashard.View, cashard.Snapshot, error) {
	return cashard.View{}, cashard.Snapshot{}, cakind.New(cakind.KindNotFound, "not led")
}
func (f *fakeShards) MayAct(cawork.ShardID) (int64, bool) { return 0, false }
func (f *fakeShards) Statuses() []cashard.Status          { return f.statuses }
func (f *fakeShards) Rebuild(_ context.Context, image cashard.Image, _ func(cashard.Member) bool) error {
	f.note("rebuild", image.View)
	return nil
}

func (f *fakeShards) HandleStanding(context.Context, cawork.ShardID) (cashard.Standing, error) {
	return cashard.Standing{}, nil
}

func (f *fakeShards) Halt(_ context.Context, next cashard.View, _ func(cawork.UpstreamID) bool) error {
	f.note("halt", next)
	return nil
}

func (f *fakeShards) Succeed(_ context.Context, next cashard.View, _ cashard.Image, _ []byte) error {
	f.note("succeed", next)
	return nil
}

func (f *fakeShards) Discard(s cawork.ShardID) {
	f.note("discard", cashard.View{})
	f.statuses = slices.DeleteFunc(f.statuses, func(status cashard.Status) bool { return status.Shard == s })
}

func (f *fakeShards) note(call string, v cashard.View) {
	f.calls = append(f.calls, call)
	f.views = append(f.views, v)
}

// fakeDirectory knows one running entry, the own one, and two upstreams.
type fakeDirectory struct{}

func (fakeDirectory) Upstream(id cawork.UpstreamID) (caplatform.VM, bool) {
	return caplatform.VM{ID: cawork.VMID(id), Zone: "z"}, true
}
func (fakeDirectory) Leader(cawork.ShardID) (cawork.VMID, bool) { return "", false }
func (fakeDirectory) IsFirstOfZone() bool                       { return true }
func (fakeDirectory) ZoneLives() []cashard.Member               { return []cashard.Member{self} }
func (fakeDirectory) HasEnded(vm cawork.VMID, _ int64) bool     { return vm == former.VM }
func (fakeDirectory) IsGone(u cawork.UpstreamID) bool           { return u == gone }
func (fakeDirectory) RunningEntries() []cawork.VMID             { return nil }
func (fakeDirectory) ZoneUpstreams() []caplatform.VM {
	return []caplatform.VM{{ID: cawork.VMID(alive)}}
}
func (fakeDirectory) ShardZone(cawork.ShardID) (cawork.ZoneName, bool) { return "z", true }

type emptyRegisters struct{}

func (emptyRegisters) ReadRegister(context.Context, cawork.UpstreamID, string) (caplatform.Register, error) {
	return caplatform.Register{}, nil
}

type bench struct {
	t      *testing.T
	part   *Part
	shards *fakeShards
	log    *castandlog.Log
}

// inBench runs a test in virtual time on a part with a backup of a shard whose
// primary has ended.
func inBench(t *testing.T, witness cawork.UpstreamID, test func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		timer := catimer.NewService()
		view := cashard.View{Shard: shard, Number: 2, Primary: former, Backup: self, Witness: witness}
		shards := &fakeShards{statuses: []cashard.Status{{Shard: shard, View: view, Witnesses: []cawork.UpstreamID{witness}}}}
		log := castandlog.NewLog(timer.Now, time.Hour)
		part, err := NewPart(Config{
			Self: self, Zone: "z", Life: "e1-1", Log: log, Shards: shards, Directory: fakeDirectory{},
			Witnesses: emptyRegisters{}, Timer: timer, Logger: zerolog.Nop(), Scope: tally.NoopScope,
			Format: func() caversion.Format { return caversion.FormatNewest },
		})
		if err != nil {
			t.Fatalf("NewPart: %v", err)
		}
		test(&bench{t: t, part: part, shards: shards, log: log})
	})
}

// look looks every few seconds for a while.
func (b *bench) look(during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(lookPeriod) {
		b.part.look(b.t.Context(), true)
	}
}

func (b *bench) write(entries ...calog.Entry) {
	b.t.Helper()
	for i := range entries {
		entries[i].ID, entries[i].Shard = calog.EntryID{Writer: "e2-1", Sequence: int64(i + 1)}, shard
	}
	var encoder calog.Encoder
	payload, err := encoder.Encode(entries)
	if err == nil {
		_, err = b.log.Append(b.t.Context(), topic, [][]byte{payload})
	}
	if err != nil {
		b.t.Fatalf("write: %v", err)
	}
}

func (b *bench) viewEntry() calog.Entry {
	v := b.shards.statuses[0].View
	body, err := v.Encode()
	if err != nil {
		b.t.Fatalf("Encode: %v", err)
	}
	return calog.Entry{Type: calog.EntryView, View: v.Number, Body: body}
}

func (b *bench) want(calls ...string) {
	b.t.Helper()
	if diff := cmp.Diff(calls, b.shards.calls); diff != "" {
		b.t.Errorf("calls mismatch (-want +got):\n%s", diff)
	}
}

// TestShardThatTheLogDoesNotKnowIsLedOn loses the witness and the primary of a
// shard before anything of it was written.
func TestShardThatTheLogDoesNotKnowIsLedOn(t *testing.T) {
	inBench(t, gone, func(b *bench) {
		b.look(lookPeriod)
		b.want("halt", "succeed")
		elected := cashard.View{Shard: shard, Number: 2 + viewGap, Primary: self, Witness: alive}
		if diff := cmp.Diff([]cashard.View{elected, elected}, b.shards.views); diff != "" {
			t.Errorf("elected views mismatch (-want +got):\n%s", diff)
		}
	})
}

// TestOldReplicaThatTheLogDoesNotKnowIsNotLedOn holds a replica for longer than
// the log keeps the end of a shard: it may have been retired.
func TestOldReplicaThatTheLogDoesNotKnowIsNotLedOn(t *testing.T) {
	inBench(t, gone, func(b *bench) {
		b.part.noteHeld()
		time.Sleep(recordsKept)
		b.look(time.Minute)
		b.want()
	})
}

func TestReplicaOfARetiredShardIsDiscarded(t *testing.T) {
	for _, witness := range []cawork.UpstreamID{gone, alive} {
		inBench(t, witness, func(b *bench) {
			b.write(b.viewEntry(), calog.Entry{Type: calog.EntryRetired, View: 3})
			b.look(time.Minute)
			b.want("discard")
		})
	}
}

// TestLookStaysOpenWhileAReplicaHasNoLeader drops a replica whose view was never
// in force, long after the last change of the entries of the zone.
func TestLookStaysOpenWhileAReplicaHasNoLeader(t *testing.T) {
	inBench(t, alive, func(b *bench) {
		b.write(b.viewEntry())
		b.look(5 * time.Minute)
		b.want()
		if !b.part.MayLack() {
			t.Error("nothing is told to lack while a replica has no leader")
		}
		b.shards.statuses = nil
		b.look(2 * maxLookPause)
		b.want("rebuild")
		if b.part.MayLack() {
			t.Error("a shard is told to lack after it was rebuilt")
		}
	})
}
