package calaunch

import (
	"context"
	"fmt"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/core/casched"
)

const (
	// handoverWait is how long a job waits for room in its own zone before it
	// is given to another.
	handoverWait = 1500 * time.Millisecond
	// maxHandovers bounds the jobs that are given away in one round.
	maxHandovers = 8
)

// home returns the shard in which a job is kept. It is the one that accepted
// the job, unless the job was given to another.
func (l *Launcher) home(id cawork.JobID) cawork.ShardID {
	if s, ok := l.homes[id]; ok {
		return s
	}
	return shardOf(id)
}

// handOver gives jobs for which the own zone has had no room to zones that
// have.
func (l *Launcher) handOver() {
	given := 0
	for _, u := range l.Scheduler.Unplaced(maxSpills, l.now()) {
		if given == maxHandovers {
			return
		}
		if _, busy := l.spilling[u.Job]; busy || u.Waited < handoverWait || u.Constraints.Zone != "" || u.Constraints.Rack != "" {
			continue
		}
		j, ok := l.job(u.Job)
		if !ok || j.HasOpenAttempt() || !j.IsOpen() || j.Canceled {
			continue
		}
		if to, found := l.roomier(u); found {
			given++
			l.give(u.Job, to)
		}
	}
}

// roomier returns the shard of the entry of another zone that has most room
// for a job.
func (l *Launcher) roomier(u casched.Unplaced) (cawork.ShardID, bool) {
	needed := u.Size
	if u.Kind == cawork.WorkKindGang {
		needed = u.Size.Times(int64(len(u.Tasks)))
	}
	var best Owner
	for _, o := range l.Directory.FarOwners() {
		if u.Size.Fits(o.LargestHole) && needed.Fits(o.Free) && o.Free.CPU > best.Free.CPU && o.Shard != "" {
			best = o
		}
	}
	return best.Shard, best.Shard != ""
}

// OwnShard returns the shard among the led ones that the entry itself founded.
func OwnShard(vm cawork.VMID, led []cawork.ShardID) cawork.ShardID {
	for _, s := range led {
		if EntryOf(s) == vm {
			return s
		}
	}
	return ""
}

func (l *Launcher) give(id cawork.JobID, to cawork.ShardID) {
	record := cajob.Record{Type: cajob.RecordHandedOver, HandedOver: &cajob.HandedOver{Job: id, To: to}}
	// A handover that the shard cannot take now is tried again with the next
	// round, because the job is still queued.
	_ = l.propose(l.home(id), record, func(err error) {
		if err != nil {
			return
		}
		caevent.Info(l.Logger, caevent.JobHandedOver).Str("job", string(id)).Str("to", string(to)).Send()
		_, _ = l.Scheduler.Cancel(id, l.now())
		l.sendHandovers()
	})
}

// sendHandovers brings the jobs that were given away to their new shards,
// again and again until they are accepted.
func (l *Launcher) sendHandovers() {
	for id := range l.led {
		var handovers []cajob.Handover
		l.readState(id, func(s *cajob.State) { handovers = s.Handovers() })
		for _, h := range handovers {
			l.sendHandover(id, h)
		}
	}
}

func (l *Launcher) sendHandover(from cawork.ShardID, h cajob.Handover) {
	id := h.Accepted.Job.ID
	leader, ok := l.Directory.Leader(h.To)
	if _, busy := l.handing[id]; busy || !ok {
		return
	}
	l.handing[id] = struct{}{}
	l.background(func(ctx context.Context) func() {
		var err error
		if leader == l.Self {
			err = l.HandleHandover(ctx, h)
		} else {
			err = l.Peers.Handover(ctx, leader, h)
		}
		return func() {
			delete(l.handing, id)
			if err == nil {
				l.handedOver(from, id)
			}
		}
	})
}

func (l *Launcher) handedOver(from cawork.ShardID, id cawork.JobID) {
	record := cajob.Record{Type: cajob.RecordHandoverAcked, HandoverAcked: &cajob.HandoverAcked{Job: id}}
	// An acknowledgment that is not recorded is asked for again.
	_ = l.propose(from, record, func(error) {})
	l.wake(id)
}

// HandleHandover accepts a job of another shard. A copy of one that was
// accepted before has no effect and no error.
func (l *Launcher) HandleHandover(ctx context.Context, h cajob.Handover) error {
	what := fmt.Sprintf("handover of job %s", h.Accepted.Job.ID)
	_, err := await(ctx, l, what, func(answer func(struct{}, error)) {
		l.acceptHandover(h, func(err error) { answer(struct{}{}, err) })
	})
	return err
}

func (l *Launcher) acceptHandover(h cajob.Handover, answer func(error)) {
	led, ok := l.led[h.To]
	if !ok || !led.recovered || l.draining {
		answer(cakind.New(cakind.KindUnavailable, "shard %s is not led here", h.To))
		return
	}
	record := cajob.Record{Type: cajob.RecordJobAccepted, JobAccepted: &h.Accepted}
	err := l.propose(h.To, record, func(err error) {
		if err == nil {
			l.takeIn(h)
		}
		if err != nil && cakind.Of(err) == cakind.KindConflict {
			err = nil
		}
		answer(err)
	})
	if err != nil {
		answer(err)
	}
}

// takeIn queues a job that was handed over.
func (l *Launcher) takeIn(h cajob.Handover) {
	id := h.Accepted.Job.ID
	l.homes[id] = h.To
	if j, ok := l.job(id); ok {
		l.restore(j, nil)
	}
	l.reconcile(id)
}
