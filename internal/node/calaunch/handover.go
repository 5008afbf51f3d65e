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
	// minHandoverWait is how long a job waits for capacity in the local zone
	// before it is handed over to another zone.
	minHandoverWait = 1500 * time.Millisecond
	// maxHandoversPerRound bounds the handovers that are begun in one round.
	maxHandoversPerRound = 8
)

// currentShard returns the shard that holds a job: the one that accepted it or,
// after a handover, the one that it was handed over to.
func (l *Launcher) currentShard(id cawork.JobID) cawork.ShardID {
	if s, ok := l.movedJobs[id]; ok {
		return s
	}
	return acceptingShard(id)
}

// handOverUnplaced hands jobs that do not fit in the local zone over to zones
// with enough capacity.
func (l *Launcher) handOverUnplaced() {
	count := 0
	for _, u := range l.Scheduler.UnplacedJobs(maxConcurrentSpills, l.now()) {
		if count == maxHandoversPerRound {
			return
		}
		if _, busy := l.spilling[u.Job]; busy || u.Waited < minHandoverWait || u.Constraints.Zone != "" || u.Constraints.Rack != "" {
			continue
		}
		j, ok := l.job(u.Job)
		if !ok || j.HasOpenAttempt() || !j.IsOpen() || j.Canceled {
			continue
		}
		if to, found := l.shardWithMostRoom(u); found {
			count++
			l.handOverJob(u.Job, to)
		}
	}
}

// shardWithMostRoom returns the shard of the entry in another zone that has the
// most free CPU of those on which a job fits.
func (l *Launcher) shardWithMostRoom(u casched.UnplacedJob) (cawork.ShardID, bool) {
	needed := u.Size
	if u.Kind == cawork.WorkKindGang {
		needed = u.Size.Times(int64(len(u.Tasks)))
	}
	var best Owner
	for _, o := range l.Directory.OtherZoneOwners() {
		if u.Size.Fits(o.LargestHole) && needed.Fits(o.Free) && o.Free.CPU > best.Free.CPU && o.Shard != "" {
			best = o
		}
	}
	return best.Shard, best.Shard != ""
}

// OwnShard returns the led shard that the entry itself created.
func OwnShard(vm cawork.VMID, led []cawork.ShardID) cawork.ShardID {
	for _, s := range led {
		if CreatorOf(s) == vm {
			return s
		}
	}
	return ""
}

func (l *Launcher) handOverJob(id cawork.JobID, to cawork.ShardID) {
	record := cajob.Record{Type: cajob.RecordHandedOver, HandedOver: &cajob.HandedOver{Job: id, To: to}}
	// If the record is rejected, the next round tries again, because the job
	// is still queued.
	_ = l.propose(l.currentShard(id), record, func(err error) {
		if err != nil {
			return
		}
		caevent.Info(l.Logger, caevent.JobHandedOver).Str("job", string(id)).Str("to", string(to)).Send()
		_, _ = l.Scheduler.Cancel(id, l.now())
		l.sendHandovers()
	})
}

// sendHandovers sends the jobs that were handed over to their new shards. Each
// is sent again until it is acknowledged.
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
	if _, busy := l.handoversInFlight[id]; busy || !ok {
		return
	}
	l.handoversInFlight[id] = struct{}{}
	l.runInBackground(func(ctx context.Context) func() {
		var err error
		if leader == l.Self {
			err = l.HandleHandover(ctx, h)
		} else {
			err = l.Peers.Handover(ctx, leader, h)
		}
		return func() {
			delete(l.handoversInFlight, id)
			if err == nil {
				l.acknowledgeHandover(from, id)
			}
		}
	})
}

func (l *Launcher) acknowledgeHandover(from cawork.ShardID, id cawork.JobID) {
	record := cajob.Record{Type: cajob.RecordHandoverAcked, HandoverAcked: &cajob.HandoverAcked{Job: id}}
	// If the record is lost, the handover is sent and acknowledged again.
	_ = l.propose(from, record, func(error) {})
	l.notifyWaiters(id)
}

// HandleHandover accepts a job from another shard. It is idempotent: a job that
// was accepted before is no error.
func (l *Launcher) HandleHandover(ctx context.Context, h cajob.Handover) error {
	operation := fmt.Sprintf("handover of job %s", h.Accepted.Job.ID)
	_, err := await(ctx, l, operation, func(answer func(struct{}, error)) {
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
			l.enqueueHandover(h)
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

// enqueueHandover queues a job received by handover.
func (l *Launcher) enqueueHandover(h cajob.Handover) {
	id := h.Accepted.Job.ID
	l.movedJobs[id] = h.To
	if j, ok := l.job(id); ok {
		l.restoreJob(j, nil)
	}
	l.reconcile(id)
}
