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
	shard        cawork.ShardID    = "e2-1"
	goneUpstream cawork.UpstreamID = "u1"
	liveUpstream cawork.UpstreamID = "u2"
)

var (
	self          = cashard.Member{VM: "e1", Incarnation: 1}
	formerPrimary = cashard.Member{VM: "e2", Incarnation: 1}
)

// fakeShards holds the replicas of an entry and records the calls.
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
func (f *fakeShards) RebuildFromLog(_ context.Context, image cashard.LoggedState, _ func(cashard.Member) bool) error {
	f.record("rebuild", image.View)
	return nil
}

func (f *fakeShards) HandleReplicaStatus(context.Context, cawork.ShardID) (cashard.ReplicaStatus, error) {
	return cashard.ReplicaStatus{}, nil
}

func (f *fakeShards) HaltPrimary(_ context.Context, next cashard.View, _ func(cawork.UpstreamID) bool) error {
	f.record("halt", next)
	return nil
}

func (f *fakeShards) StartElectedPrimary(_ context.Context, next cashard.View, _ cashard.LoggedState, _ []byte) error {
	f.record("succeed", next)
	return nil
}

func (f *fakeShards) Discard(s cawork.ShardID) {
	f.record("discard", cashard.View{})
	f.statuses = slices.DeleteFunc(f.statuses, func(status cashard.Status) bool { return status.Shard == s })
}

func (f *fakeShards) record(call string, v cashard.View) {
	f.calls = append(f.calls, call)
	f.views = append(f.views, v)
}

// fakeDirectory has one running entry, self, and two upstreams, one of them gone.
type fakeDirectory struct{}

func (fakeDirectory) Upstream(id cawork.UpstreamID) (caplatform.VM, bool) {
	return caplatform.VM{ID: cawork.VMID(id), Zone: "z"}, true
}
func (fakeDirectory) Leader(cawork.ShardID) (cawork.VMID, bool) { return "", false }
func (fakeDirectory) HasLowestIDInZone() bool                   { return true }
func (fakeDirectory) ZoneMembers() []cashard.Member             { return []cashard.Member{self} }
func (fakeDirectory) HasEnded(vm cawork.VMID, _ int64) bool     { return vm == formerPrimary.VM }
func (fakeDirectory) IsGone(u cawork.UpstreamID) bool           { return u == goneUpstream }
func (fakeDirectory) RunningEntries() []cawork.VMID             { return nil }
func (fakeDirectory) ZoneUpstreams() []caplatform.VM {
	return []caplatform.VM{{ID: cawork.VMID(liveUpstream)}}
}
func (fakeDirectory) ShardZone(cawork.ShardID) (cawork.ZoneName, bool) { return "z", true }

type emptyRegisters struct{}

func (emptyRegisters) ReadRegister(context.Context, cawork.UpstreamID, string) (caplatform.Register, error) {
	return caplatform.Register{}, nil
}

type harness struct {
	t      *testing.T
	part   *Archiver
	shards *fakeShards
	log    *castandlog.Log
}

// runHarness runs a test in virtual time on an archive with a backup of a shard
// whose primary has ended.
func runHarness(t *testing.T, witness cawork.UpstreamID, test func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		timer := catimer.NewService()
		view := cashard.View{Shard: shard, Number: 2, Primary: formerPrimary, Backup: self, Witness: witness}
		shards := &fakeShards{statuses: []cashard.Status{{Shard: shard, View: view, Witnesses: []cawork.UpstreamID{witness}}}}
		log := castandlog.NewLog(timer.Now, time.Hour)
		part, err := NewArchiver(Config{
			Self: self, Zone: "z", Writer: "e1-1", Log: log, Shards: shards, Directory: fakeDirectory{},
			Witnesses: emptyRegisters{}, Timer: timer, Logger: zerolog.Nop(), Scope: tally.NoopScope,
			Format: func() caversion.Format { return caversion.FormatNewest },
		})
		if err != nil {
			t.Fatalf("NewPart: %v", err)
		}
		test(&harness{t: t, part: part, shards: shards, log: log})
	})
}

// scanFor scans every scanPeriod for the given duration.
func (h *harness) scanFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(scanPeriod) {
		h.part.scan(h.t.Context(), true)
	}
}

func (h *harness) writeLog(entries ...calog.Entry) {
	h.t.Helper()
	for i := range entries {
		entries[i].ID, entries[i].Shard = calog.EntryID{Writer: "e2-1", Sequence: int64(i + 1)}, shard
	}
	var encoder calog.Encoder
	payload, err := encoder.Encode(entries)
	if err == nil {
		_, err = h.log.Append(h.t.Context(), topic, [][]byte{payload})
	}
	if err != nil {
		h.t.Fatalf("write: %v", err)
	}
}

func (h *harness) viewEntry() calog.Entry {
	v := h.shards.statuses[0].View
	body, err := v.Encode()
	if err != nil {
		h.t.Fatalf("Encode: %v", err)
	}
	return calog.Entry{Type: calog.EntryView, View: v.Number, Body: body}
}

func (h *harness) wantCalls(calls ...string) {
	h.t.Helper()
	if diff := cmp.Diff(calls, h.shards.calls); diff != "" {
		h.t.Errorf("calls mismatch (-want +got):\n%s", diff)
	}
}

// A shard must not be lost when its witness and primary are lost before its first
// append to the log.
func TestUnloggedShardIsTakenOver(t *testing.T) {
	runHarness(t, goneUpstream, func(h *harness) {
		h.scanFor(scanPeriod)
		h.wantCalls("halt", "succeed")
		elected := cashard.View{Shard: shard, Number: 2 + viewGap, Primary: self, Witness: liveUpstream}
		if diff := cmp.Diff([]cashard.View{elected, elected}, h.shards.views); diff != "" {
			t.Errorf("elected views mismatch (-want +got):\n%s", diff)
		}
	})
}

// A shard must not be revived after its retirement. When a replica is older than
// the retention of the log, the record of its retirement may have been dropped.
func TestOldUnloggedReplicaIsNotTakenOver(t *testing.T) {
	runHarness(t, goneUpstream, func(h *harness) {
		h.part.updateHeldSince()
		time.Sleep(minRecordRetention)
		h.scanFor(time.Minute)
		h.wantCalls()
	})
}

func TestReplicaOfARetiredShardIsDiscarded(t *testing.T) {
	for _, witness := range []cawork.UpstreamID{goneUpstream, liveUpstream} {
		runHarness(t, witness, func(h *harness) {
			h.writeLog(h.viewEntry(), calog.Entry{Type: calog.EntryRetired, View: 3})
			h.scanFor(time.Minute)
			h.wantCalls("discard")
		})
	}
}

// A shard must be rebuilt even if a stale replica, whose view was never in force,
// hides the loss until long after the last change of the entries of the zone.
func TestScanIsIncompleteWhileAReplicaHasNoLeader(t *testing.T) {
	runHarness(t, liveUpstream, func(h *harness) {
		h.writeLog(h.viewEntry())
		h.scanFor(5 * time.Minute)
		h.wantCalls()
		if !h.part.MayNeedRebuild() {
			t.Error("no pending rebuild is reported while a replica has no leader")
		}
		h.shards.statuses = nil
		h.scanFor(2 * maxReadBackoff)
		h.wantCalls("rebuild")
		if h.part.MayNeedRebuild() {
			t.Error("a pending rebuild is reported after the shard was rebuilt")
		}
	})
}
