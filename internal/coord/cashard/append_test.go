package cashard_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// directTransport connects the parts of two members and one register by
// function calls, without a network.
type directTransport struct {
	parts    map[cawork.VMID]*cashard.ReplicaManager
	register atomic.Pointer[caplatform.Register]
}

func (d *directTransport) Replicate(ctx context.Context, to cawork.VMID, req cashard.ReplicateRequest) (cashard.ReplicateReply, error) {
	return d.parts[to].HandleReplicate(ctx, req)
}

func (d *directTransport) ReadRegister(context.Context, cawork.UpstreamID, string) (caplatform.Register, error) {
	return *d.register.Load(), nil
}

func (d *directTransport) SwapRegister(_ context.Context, _ cawork.UpstreamID, s caplatform.RegisterSwap) (caplatform.Register, error) {
	current := d.register.Load()
	next := &caplatform.Register{Version: current.Version + 1, Value: s.Value}
	if current.Version != s.Expected || !d.register.CompareAndSwap(current, next) {
		return *current, cakind.New(cakind.KindConflict, "version %d", current.Version)
	}
	return *next, nil
}

func (d *directTransport) ShardEvent(cashard.Event) {}

func (d *directTransport) ShardCommitted(cawork.ShardID, int64, []byte) {}

// BenchmarkAppend appends accepted jobs to a shard with a backup from many
// goroutines.
func BenchmarkAppend(b *testing.B) {
	d := &directTransport{parts: map[cawork.VMID]*cashard.ReplicaManager{}}
	d.register.Store(&caplatform.Register{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, vm := range []cawork.VMID{"a", "b"} {
		p, err := cashard.NewReplicaManager(cashard.Options{
			Self: cashard.Member{VM: vm}, Config: cashard.DefaultConfig(), Peers: d, Witnesses: d, Listener: d,
			NewStateMachine: func(s cawork.ShardID) cashard.StateMachine { return cajob.NewState(s, cajob.DefaultRetention()) },
			Timer:           catimer.NewService(), Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
		if err != nil {
			b.Fatal(err)
		}
		d.parts[vm] = p
	}
	primary := d.parts["a"]
	primary.SetCandidates([]cashard.Candidate{{Member: cashard.Member{VM: "b"}}})
	primary.SetWitnesses([]cawork.UpstreamID{"u"})
	if err := primary.Create("s"); err != nil {
		b.Fatal(err)
	}
	for _, p := range d.parts {
		go func() { _ = p.Run(ctx) }()
	}
	for primary.Statuses()[0].Degraded {
		time.Sleep(10 * time.Millisecond)
	}
	var serial atomic.Int64
	b.SetParallelism(32)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := cawork.JobID(fmt.Sprint(serial.Add(1)))
			job := cawork.Job{ID: id, Team: team, Spec: cawork.JobSpec{Kind: cawork.WorkKindBatch, Tasks: 1, Payload: make([]byte, 256)}}
			r := cajob.Record{Type: cajob.RecordJobAccepted, JobAccepted: &cajob.JobAccepted{Job: job}}
			payload, err := r.Encode()
			if err == nil {
				err = primary.Append(ctx, "s", payload)
			}
			if err != nil {
				b.Error(err)
				return
			}
		}
	})
}
