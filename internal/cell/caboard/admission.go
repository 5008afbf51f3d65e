package caboard

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caadmission"
	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// forecastFor predicts the wait of a submission, from the room that the last plan left.
func (b *Planner) forecastFor(s caspec.Submission, q caspec.Queue, excess bool) caadmission.Forecast {
	f := caadmission.Forecast{Excess: excess, QueueRate: b.statsOf(q.Name).startRate.Value(b.now.Monotonic), Slack: caobjective.SlackOf(q, s.Steps)}
	for _, step := range s.Steps {
		f.PeakDemand = max(f.PeakDemand, step.CPU*cawork.MilliCPU(step.Tasks))
	}
	if p := b.pools[q.Pool]; p != nil {
		f.Capacity, f.Free = p.capacity, p.free.CPU
	}
	if since, ok := b.outages[q.Pool]; ok {
		f.Outage = b.now.Monotonic.Sub(since)
	}
	f.ApprovalWait = b.expectedApprovalWait(q, excess)
	queue, _ := b.terms.Queue(q.Name)
	for _, other := range b.steps {
		if other.lateness != latenessNone || other.job.pool != q.Pool || !other.goesBefore(q, excess) {
			continue
		}
		w := caadmission.CoreTimeOf(other.spec.CPU, other.spec.Estimate, other.waitingTasks)
		f.WorkAhead += w
		if other.job.queue == queue && !other.awaitsAdvisor(q) {
			f.QueueWorkAhead += w
		}
	}
	return f
}

// updateOutages records which pools have no upstream that accepts work, as of this plan: those that the policy lists,
// and those of removed queues whose jobs have not ended.
func (b *Planner) updateOutages() {
	for _, pool := range b.policy.Pools {
		b.updateOutage(pool.Name)
	}
	if !b.terms.HasUnlisted() {
		return
	}
	for _, name := range b.terms.Unlisted() {
		q, _ := b.terms.Queue(name)
		b.updateOutage(q.Pool)
	}
}

func (b *Planner) updateOutage(pool caspec.PoolName) {
	since, isOut := b.outages[pool]
	switch isLost := b.pools[pool] == nil; {
	case isLost && !isOut:
		b.outages[pool] = b.now.Monotonic
		caevent.Warn(b.log, caevent.PoolLost).Str("pool", string(pool)).Int("upstreams", len(b.sortedUpstreams)).Send()
	case !isLost && isOut:
		delete(b.outages, pool)
		caevent.Info(b.log, caevent.PoolRegained).Str("pool", string(pool)).Dur("after", b.now.Monotonic.Sub(since)).Send()
	}
}

// goesBefore reports whether the step has waiting tasks that are placed before those of a new job of
// the queue.
func (s *step) goesBefore(q caspec.Queue, excess bool) bool {
	switch {
	case s.waitingTasks == 0 || s.job.priority > q.Priority:
		return false
	default:
		return s.job.priority < q.Priority || !s.job.OverRate || excess
	}
}

// awaitsAdvisor reports whether the step has no answer of the advisor yet. Such a step
// waits for the advisor, not for room.
func (s *step) awaitsAdvisor(q caspec.Queue) bool {
	return q.Approval != nil && !s.approvals.hasAnswer
}
