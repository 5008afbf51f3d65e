package calaunch

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// ledShards holds the states of the shards that an entry leads.
type ledShards struct {
	Shards
	states map[cawork.ShardID]*cajob.State
}

func (s ledShards) Read(id cawork.ShardID, f func(cashard.StateMachine)) bool {
	state, led := s.states[id]
	if led {
		f(state)
	}
	return led
}

func (ledShards) Statuses() []cashard.Status { return nil }

// peerDirectory lists the other entries, and the leader of every shard.
type peerDirectory struct {
	Directory
	leader  cawork.VMID
	entries []cawork.VMID
}

func (d peerDirectory) Leader(cawork.ShardID) (cawork.VMID, bool) { return d.leader, true }

func (d peerDirectory) Entries() []cawork.VMID { return d.entries }

func (peerDirectory) IsKnownEntry(cawork.VMID) bool { return true }

func (peerDirectory) HasUnreachableEntry() bool { return false }

// jobPeers holds the answer of each entry to a query.
type jobPeers struct {
	Peers
	answers map[cawork.VMID]func() (JobView, error)
}

func (p jobPeers) GetJob(_ context.Context, to cawork.VMID, _ GetJobCall) (JobView, error) {
	return p.answers[to]()
}

// runLauncher runs a launcher until the test ends.
func runLauncher(t *testing.T, c Config) *Launcher {
	t.Helper()
	c.Timer, c.Leases = catimer.NewService(), noLeases{}
	c.Scheduler = cadecide.New(casched.DefaultPolicy(), func(v *casched.Violation) { t.Error(v) })
	l := NewLauncher(c)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-l.done
	})
	return l
}

const handedOverJob = cawork.JobID("e1-1.1x1")

// stateAfterHandover returns the state of a shard that has handed its job over.
func stateAfterHandover(t *testing.T) *cajob.State {
	t.Helper()
	state := cajob.NewState("e1-1", cajob.DefaultRetention())
	job := cawork.Job{ID: handedOverJob, Team: "north", Spec: cawork.JobSpec{Kind: cawork.WorkKindBatch, Tasks: 1}}
	for _, r := range []cajob.Record{
		{Type: cajob.RecordJobAccepted, At: time.Now(), JobAccepted: &cajob.JobAccepted{Job: job}},
		{Type: cajob.RecordHandedOver, At: time.Now(), HandedOver: &cajob.HandedOver{Job: handedOverJob, To: "e3-1"}},
	} {
		if err := state.ApplyRecord(r); err != nil {
			t.Fatal(err)
		}
	}
	return state
}

// getHandedOverJob asks entry e2 for the job that e1 has handed over to a shard of
// e3, which answers as given. mayNeedRebuild is that of e1.
func getHandedOverJob(t *testing.T, mayNeedRebuild bool, receiver func() (JobView, error)) (JobView, error) {
	t.Helper()
	leader := runLauncher(t, Config{
		Self: "e1", Shard: "e1-1", Directory: peerDirectory{},
		Shards:         ledShards{states: map[cawork.ShardID]*cajob.State{"e1-1": stateAfterHandover(t)}},
		MayNeedRebuild: func() bool { return mayNeedRebuild },
	})
	askLeader := func() (JobView, error) {
		return leader.HandleGetJob(context.Background(), GetJobCall{Job: handedOverJob})
	}
	caller := runLauncher(t, Config{
		Self: "e2", Shard: "e2-1", Shards: ledShards{},
		Directory:      peerDirectory{leader: "e1", entries: []cawork.VMID{"e1", "e3"}},
		Peers:          jobPeers{answers: map[cawork.VMID]func() (JobView, error){"e1": askLeader, "e3": receiver}},
		MayNeedRebuild: func() bool { return false },
	})
	return caller.Get(context.Background(), handedOverJob)
}

// TestJobHandedOverIsFoundWhileAnotherShardMustBeRebuilt guards against a job that
// ended after its handover and was unavailable as long as the zone of its former
// shard had a shard to rebuild.
func TestJobHandedOverIsFoundWhileAnotherShardMustBeRebuilt(t *testing.T) {
	want := JobView{Job: handedOverJob, Outcome: cawork.OutcomeDone}
	got, err := getHandedOverJob(t, true, func() (JobView, error) { return want, nil })
	if err != nil {
		t.Fatalf("Get: %v", err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("job (-want +got):\n%s", diff)
	}
}

// TestJobWhoseHandoverIsUnderWayIsNotUnknown guards against an accepted job that no
// entry found while its former shard had no backup and its new one did not have it.
func TestJobWhoseHandoverIsUnderWayIsNotUnknown(t *testing.T) {
	_, err := getHandedOverJob(t, false, func() (JobView, error) {
		return JobView{}, cakind.New(cakind.KindNotFound, "no job %s here", handedOverJob)
	})
	if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
		t.Errorf("kind of error %v (-want +got):\n%s", err, diff)
	}
}
