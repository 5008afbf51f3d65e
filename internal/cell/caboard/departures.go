package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// A long-running task is restarted when its run has ended. Two such ends are known before they
// come: an upstream that drains tells for how long it stays, and one that does not answer ends
// its runs when its lease expires. In both cases a place elsewhere is sought before: room is
// reserved and the advisor is asked. At an upstream that drains the run is then stopped, so that
// its end is proved at once. Once that upstream is gone, its lease would have to expire first.

const (
	// departureLead is how long before a draining upstream may leave its long-running tasks are
	// stopped, whether there is a place for them or not: the call, the time to stop, the report
	// of the end, and the age of the description.
	departureLead = 1200 * time.Millisecond
	// inheritedDescriptionAge bounds the age of a description that a new leader finds in the
	// list: an upstream describes itself at each heartbeat.
	inheritedDescriptionAge = 1500 * time.Millisecond
	// lossLead is how long before the lease of a silent upstream expires a place is sought for
	// its long-running tasks: two answers of the advisor.
	lossLead = 1500 * time.Millisecond
	// stopAllowance is how long a ticket must stay valid for a run that is to be stopped first.
	stopAllowance = time.Second
)

// updateDeparture applies a description to when the upstream leaves, before the former
// description is replaced.
func (b *Planner) updateDeparture(u *upstream, info caspec.Upstream, isNew bool) {
	if !info.Draining {
		u.leavesAt = time.Time{}
		return
	}
	isSame := info.Incarnation == u.info.Incarnation && info.Sequence == u.info.Sequence && info.DrainRemaining == u.info.DrainRemaining
	if isSame && !u.leavesAt.IsZero() {
		return
	}
	remaining := info.DrainRemaining
	if isNew {
		remaining -= inheritedDescriptionAge
	}
	u.leavesAt = b.now.Monotonic.Add(max(remaining, 0))
}

// endsRunsSoon reports whether the upstream is expected to end its runs soon: it drains, or its
// lease is about to expire.
func (b *Planner) endsRunsSoon(u *upstream) bool {
	if u.info.Draining && u.listed {
		return true
	}
	return b.isSilent(u) && u.leaseExpires.Sub(b.now.Monotonic) <= lossLead
}

// updateDepartures counts for each step the long-running tasks that will have to be restarted
// soon, and those of them that are being stopped already.
func (b *Planner) updateDepartures() {
	for _, s := range b.steps {
		s.tasksLeaving, s.tasksMoving = 0, 0
	}
	for _, u := range b.sortedUpstreams {
		if len(u.runs) == 0 || !b.endsRunsSoon(u) {
			continue
		}
		for _, r := range u.sortedRuns() {
			if !r.mustMove() {
				continue
			}
			r.step.tasksLeaving++
			if r.stopping {
				r.step.tasksMoving++
			}
		}
	}
}

// mustMove reports whether the task of the run has to run elsewhere once the run has ended.
func (r *run) mustMove() bool {
	return r.isCurrent() && r.step.spec.LongRunning && !r.step.spec.Gang && !r.step.job.Phase.IsFinal()
}

// stopDepartingRuns stops the long-running tasks on draining upstreams that have a place
// elsewhere, or whose upstreams may leave now. While nothing can be stored they could not be
// started elsewhere.
func (b *Planner) stopDepartingRuns() {
	for _, u := range b.sortedUpstreams {
		if !u.info.Draining || !u.listed || len(u.runs) == 0 {
			continue
		}
		isDue := !b.now.Monotonic.Before(u.leavesAt.Add(-departureLead))
		for _, r := range u.sortedRuns() {
			if !r.mustMove() || !r.sent || r.stopping {
				continue
			}
			if hasPlace := b.hasPlaceElsewhere(r.step); hasPlace || isDue {
				b.stopDepartingRun(r, hasPlace)
			}
		}
	}
}

func (b *Planner) stopDepartingRun(r *run, hasPlace bool) {
	caevent.Info(b.log, caevent.TaskMoved).Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).
		Int("run", r.id.Number).Str("upstream", string(r.upstream.info.ID)).Bool("has_place", hasPlace).
		Dur("leaves_in", r.upstream.leavesAt.Sub(b.now.Monotonic)).Send()
	r.step.tasksMoving++
	b.stop(r)
}

// hasPlaceElsewhere reports whether the step has more places, reserved with all of their room and
// with tickets that stay valid, than tasks that wait or are being stopped already.
func (b *Planner) hasPlaceElsewhere(s *step) bool {
	q, ok := b.queueOf(s.job)
	if !ok || s.reservation == nil {
		return false
	}
	places := 0
	for _, u := range s.reservation.upstreams {
		if b.isPlaceReady(s, q, u) {
			places++
		}
	}
	return places > s.tasksToRestart+s.tasksMoving
}

// isPlaceReady reports whether a task of the step can start at the reserved upstream as soon as its
// present run has been stopped.
func (b *Planner) isPlaceReady(s *step, q caspec.Queue, u *upstream) bool {
	if !u.available || !s.spec.Size().Fits(u.free()) {
		return false
	}
	if q.Approval == nil {
		return true
	}
	_, isValid := s.approvals.validTicket(u, b.now.Monotonic.Add(stopAllowance))
	return isValid
}

// restarts returns for how many long-running tasks of the step that ran before a place is needed
// now or soon.
func (s *step) restarts() int { return s.tasksToRestart + s.tasksLeaving }
