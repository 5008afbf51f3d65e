package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// Each end of a task has its job stored again, so that the records of wide steps fill a narrow link.
// Ends that complete no step change nothing for callers: their upstreams list them until they are
// acknowledged, and a leader that is lost meanwhile leaves them to the next one. Therefore they may
// wait for a short while to be stored together.

// delayedEnds are the jobs whose records have changed only by such ends.
type delayedEnds struct {
	// delay is how long an end waits at most.
	delay time.Duration
	// since is when the first end of each job was reported.
	since map[*job]time.Time
}

// SetEndsDelay sets how long the ends of tasks that complete no step may wait to be stored. Zero means
// not at all.
func (b *Planner) SetEndsDelay(delay time.Duration) { b.delayedEnds.delay = max(delay, 0) }

// markEnded records that the record of a job has changed by the end of a run.
func (b *Planner) markEnded(r *run, e caorder.Ending) {
	j := r.step.job
	if !b.mayDelayEnd(r, e) {
		b.markChanged(j)
		return
	}
	if _, ok := b.delayedEnds.since[j]; !ok {
		b.delayedEnds.since[j] = b.now.Monotonic
	}
	if end, ok := b.endsToStore[r.upstream]; ok {
		b.records.heldEnds[r.upstream] = end
		delete(b.endsToStore, r.upstream)
	}
}

// mayDelayEnd reports whether the end of a run may wait to be stored: it completes one of several tasks.
func (b *Planner) mayDelayEnd(r *run, e caorder.Ending) bool {
	s := r.step
	if b.delayedEnds.delay <= 0 || e != caorder.EndingDone || s.spec.Gang || s.spec.LongRunning || s.job.Phase.IsFinal() || s.state().IsDone() {
		return false
	}
	_, isStoredNext := b.changed[s.job.Submission.ID]
	return !isStoredNext
}

func (b *Planner) isDelayOver(since time.Time) bool {
	return b.now.Monotonic.Sub(since) >= b.delayedEnds.delay
}

// hasDueEnds reports whether the delay of some ends is over.
func (b *Planner) hasDueEnds() bool {
	for _, since := range b.delayedEnds.since {
		if b.isDelayOver(since) {
			return true
		}
	}
	return false
}

// addDueEnds adds the jobs whose ends have waited to the next batch.
func (b *Planner) addDueEnds() {
	for j, since := range b.delayedEnds.since {
		if b.isDelayOver(since) {
			b.markChanged(j)
		}
	}
}

// holdDelayedEnds takes the ends that are not stored yet out of the batch, so that they are not
// acknowledged.
func (b *Planner) holdDelayedEnds(batch *Batch) {
	for j := range b.delayedEnds.since {
		for u := range j.record.unstoredEnds {
			if end, ok := batch.ends[u]; ok {
				b.records.heldEnds[u] = end
				delete(batch.ends, u)
			}
		}
	}
}

// DelayOfEnds returns for how long calls to an upstream need not wait for ends there, since it lists ends
// that are not stored yet.
func (b *Planner) DelayOfEnds(id cawork.UpstreamID) time.Duration {
	u, ok := b.upstreams[id]
	if !ok {
		return 0
	}
	if _, held := b.records.heldEnds[u]; !held {
		return 0
	}
	return b.delayedEnds.delay
}
