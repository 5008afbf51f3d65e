package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// What runs at an upstream ends with it. Two such ends are known before they come: an upstream that
// drains tells for how long it stays, and one that does not answer ends its runs when its lease
// expires. For long-running tasks a place elsewhere is sought before: room is reserved and the
// advisor is asked. At an upstream that drains, what is still at work is stopped in time, so that its
// end is proved at once. Once that upstream is gone, its lease would have to expire first, and a task
// whose run ended as it left would start again, since nobody learned of that end.
//
//	work at a draining upstream         place sought before   stopped
//	long-running task                   yes                   once it has a place, or departureLead before the leave
//	long-running gang                   no                    departureLead before the leave, as a whole
//	other task or gang                  no                    departureLead before the leave, a gang as a whole
//	task that may have copies           no                    never; if it outlasts the upstream, a copy is started elsewhere
//
// At a silent upstream nothing is stopped.

const (
	// initialStopTime is how long a stop is expected to take, from its order to the report of the end,
	// unless longer ones were observed, and maxStopTime bounds what is expected from these.
	initialStopTime = time.Second
	maxStopTime     = 3 * time.Second
	// stopTimeWeight is the weight of a shorter stop in the expected time.
	stopTimeWeight = 0.1
	// departureMargin is the time beyond an expected stop by which what is at work at a draining upstream
	// is stopped before it may leave, whether there is a place for it or not.
	departureMargin = 200 * time.Millisecond
	// usualOverstay is how much longer than it says a draining upstream often stays. No copies are
	// started of runs that are expected to end by then.
	usualOverstay = 2 * time.Second
	// inheritedDescriptionAge bounds the age of the first description of an upstream that a leader
	// finds in the list: an upstream describes itself at each heartbeat.
	inheritedDescriptionAge = 1500 * time.Millisecond
	// lossLead is how long before the lease of a silent upstream expires a place is sought for
	// its long-running tasks: two answers of the advisor.
	lossLead = 1500 * time.Millisecond
	// stopAllowance is how long a ticket must stay valid for a run that is to be stopped first.
	stopAllowance = time.Second
)

// updateDeparture applies a description to when the upstream may leave, before the former description
// is replaced. The reading of the list began at readAt.
func (b *Planner) updateDeparture(u *upstream, info caspec.Upstream, readAt time.Time) {
	if !info.Draining {
		u.leavesAt = time.Time{}
		return
	}
	isSame := info.Incarnation == u.info.Incarnation && info.Sequence == u.info.Sequence && info.DrainRemaining == u.info.DrainRemaining
	if isSame && !u.leavesAt.IsZero() {
		return
	}
	// The upstream described itself after the last reading of the list had begun, which did not show this.
	describedSince := b.listReadAt
	if u.listedIncarnation == 0 {
		describedSince = readAt.Add(-inheritedDescriptionAge)
	}
	u.leavesAt = describedSince.Add(info.DrainRemaining)
}

// departureLead returns how long before a draining upstream may leave what is still at work there is
// stopped.
func (b *Planner) departureLead() time.Duration { return b.stopTime + departureMargin }

// noteStopTime adapts the expected time of a stop to that of a run that has ended: at once to a longer
// one, and slowly to shorter ones.
func (b *Planner) noteStopTime(r *run) {
	if r.stopOrderedAt.IsZero() {
		return
	}
	took := min(b.now.Monotonic.Sub(r.stopOrderedAt), maxStopTime)
	if took < b.stopTime {
		took = b.stopTime + time.Duration(stopTimeWeight*float64(took-b.stopTime))
	}
	b.stopTime = max(took, initialStopTime)
}

// isLeaving reports whether the upstream, in its present incarnation, drains and has not left. Its registration
// may have expired, such as in an outage of the store, while it still answers.
func (b *Planner) isLeaving(u *upstream) bool {
	return u.info.Draining && !u.isDescriptionOutdated() && (u.listed || !b.isSilent(u))
}

// endsRunsSoon reports whether the upstream is expected to end its runs soon: it drains, or its
// lease is about to expire.
func (b *Planner) endsRunsSoon(u *upstream) bool {
	if b.isLeaving(u) {
		return true
	}
	return b.isSilent(u) && u.leaseExpires.Sub(b.now.Monotonic) <= lossLead
}

// updateDepartures counts for each step the long-running tasks that will have to be restarted
// soon, and those of them that are being stopped already.
func (b *Planner) updateDepartures() {
	for _, s := range b.steps {
		s.tasksEnding, s.tasksStopping = 0, 0
	}
	for _, u := range b.sortedUpstreams {
		if len(u.runs) == 0 || !b.endsRunsSoon(u) {
			continue
		}
		for _, r := range u.runs {
			if !r.needsPlace() {
				continue
			}
			r.step.tasksEnding++
			if r.stopping {
				r.step.tasksStopping++
			}
		}
	}
}

// needsPlace reports whether a place elsewhere is kept for the task of the run, which will have to be
// restarted when the run has ended.
func (r *run) needsPlace() bool {
	return r.isCurrent() && r.step.spec.LongRunning && !r.step.spec.Gang && !r.step.job.Phase.IsFinal()
}

// outlastsUpstream reports whether the run is not expected to end before its draining upstream
// leaves. For runs of an earlier leader and such that resumed it is not known.
func (b *Planner) outlastsUpstream(r *run) bool {
	if r.step.spec.LongRunning {
		return true
	}
	ends := r.assignedAt.Add(b.expectedRunTime(r.step, r.upstream))
	return !r.inherited && !r.resumed && ends.After(r.upstream.leavesAt.Add(usualOverstay))
}

// mayDepart reports whether a run may be stopped to run elsewhere. Where copies may run, one is
// started instead.
func (r *run) mayDepart() bool {
	return r.sent && !r.stopping && r.isCurrent() && !mayCopy(r.step.spec) && !r.step.job.Phase.IsFinal()
}

// mayLeaveNow reports whether the upstream is leaving and may leave before its runs could be stopped
// later than now.
func (b *Planner) mayLeaveNow(u *upstream) bool {
	return b.isLeaving(u) && !b.now.Monotonic.Before(u.leavesAt.Add(-b.departureLead()))
}

// stopDepartingRuns stops the runs on draining upstreams that have a place elsewhere, and all of those
// that may leave now. While nothing can be stored they could not be started elsewhere.
func (b *Planner) stopDepartingRuns() {
	for _, u := range b.sortedUpstreams {
		if len(u.runs) == 0 || !b.isLeaving(u) {
			continue
		}
		for _, r := range u.sortedRuns() {
			if !r.mayDepart() {
				continue
			}
			hasPlace := r.needsPlace() && b.hasPlaceElsewhere(r.step)
			if hasPlace || b.mayLeaveNow(u) {
				b.stopDepartingRun(r, hasPlace)
			}
		}
	}
}

func (b *Planner) stopDepartingRun(r *run, hasPlace bool) {
	caevent.Info(b.log, caevent.TaskMoved).Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).
		Int("run", r.id.Number).Str("upstream", string(r.upstream.info.ID)).Bool("has_place", hasPlace).
		Dur("leaves_in", r.upstream.leavesAt.Sub(b.now.Monotonic)).Send()
	if r.needsPlace() {
		r.step.tasksStopping++
	}
	b.stopOtherMembers(r)
	b.stop(r)
}

// hasPlaceElsewhere reports whether the step has more places, reserved with all of their room and
// with tickets that stay valid, than tasks that wait or are being stopped already. A team above
// its limit starts nothing.
func (b *Planner) hasPlaceElsewhere(s *step) bool {
	q, ok := b.queueOf(s.job)
	if !ok || s.reservation == nil || !b.withinLimit(s.job.Submission.Team, cawork.Resources{}) {
		return false
	}
	places := 0
	for _, u := range s.reservation.upstreams {
		if b.isPlaceReady(s, q, u) {
			places++
		}
	}
	return places > s.tasksToRestart+s.tasksStopping
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
	_, isValid := b.validTicket(s, u, b.now.Monotonic.Add(stopAllowance))
	return isValid
}

// restarts returns for how many long-running tasks of the step that ran before a place is needed
// now or soon.
func (s *step) restarts() int { return s.tasksToRestart + s.tasksEnding }
