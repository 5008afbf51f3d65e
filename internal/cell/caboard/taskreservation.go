package caboard

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// A large task needs an upstream that has all of its room free at one moment, and a valid
// ticket for it then. Smaller tasks take the room of each run that ends, so in a busy pool
// that moment may never come. Long-running tasks must be restarted soon, however full the
// pool is. Therefore room for each is reserved at an approved upstream until the task
// starts there: smaller work is only placed beside that room, or if it ends before the room
// is expected to be complete.

const (
	// maxTaskReservedShare is the fraction of a pool at which no more room is reserved for
	// single tasks.
	maxTaskReservedShare = 0.2
	// avoidedUpstreamDelay is how much later than elsewhere the room at an upstream that the
	// task should avoid may be complete before that upstream is preferred nevertheless.
	avoidedUpstreamDelay = time.Second
	// firstStartPatience is how long long-running tasks that never ran wait without reserved
	// room.
	firstStartPatience = 10 * time.Second
)

// reservesRoom reports whether the step has a reservation for single tasks, maybe an empty one.
func (s *step) reservesRoom() bool { return s.reservation != nil && !s.spec.Gang }

// countTasksToRestart returns how many long-running tasks of the step wait that ran before.
// They are placed before those that never ran: what users rely on already is kept up first.
func (s *step) countTasksToRestart() int {
	if !s.spec.LongRunning || s.waitingTasks == 0 {
		return 0
	}
	n := 0
	for _, t := range s.state().Tasks {
		if t.Phase == castate.TaskWaiting && t.Run > 0 {
			n++
		}
	}
	return n
}

// reserveForSingleTasks updates the reservations of all steps for their single tasks. It
// comes before any placement, so that the room of a run that has just failed is still free.
func (b *Planner) reserveForSingleTasks() {
	for _, s := range b.steps {
		if s.spec.Gang || b.tasksWithReservation(s) == 0 && s.reservation == nil {
			continue
		}
		if q, ok := b.queueOf(s.job); ok && b.pools[q.Pool] != nil {
			b.updateTaskReservations(s, q, b.pools[q.Pool])
		}
	}
}

// updateTaskReservations adapts the reservations of a step to its waiting tasks: it drops
// those that are of no use any more, and reserves room for the tasks without.
func (b *Planner) updateTaskReservations(s *step, q caspec.Queue, p *poolPlan) {
	wanted := b.startableTasks(s)
	if wanted == 0 {
		b.dropReservation(s)
		return
	}
	if s.reservation == nil || b.now.Monotonic.Sub(s.reservation.reservedAt) >= maxReservationAge {
		b.dropReservation(s)
		s.reservation = &reservation{reservedAt: b.now.Monotonic}
	}
	b.refreshTaskReservations(s, q, wanted)
	if len(s.reservation.upstreams) >= wanted || b.now.Monotonic.Sub(s.reservationTriedAt) < reservationRetryInterval {
		return
	}
	s.reservationTriedAt = b.now.Monotonic
	b.reserveForTasks(s, q, p, wanted-len(s.reservation.upstreams))
}

// tasksWithReservation returns for how many waiting tasks of the step room is to be reserved:
// for all that ran before, and for one that never ran if the step has waited for long.
func (b *Planner) tasksWithReservation(s *step) int {
	isStarved := s.spec.LongRunning && s.ready && b.now.Monotonic.Sub(s.waitBegan()) > firstStartPatience
	if isStarved && s.waitingTasks > s.tasksToRestart {
		return s.tasksToRestart + 1
	}
	return s.tasksToRestart
}

// startableTasks returns for how many of these tasks the team of the step may start.
func (b *Planner) startableTasks(s *step) int {
	n := b.tasksWithReservation(s)
	for n > 0 && !b.withinLimit(s.job.Submission.Team, s.spec.Size().Times(int64(n))) {
		n--
	}
	return n
}

// refreshTaskReservations updates when the reserved room is expected to be complete, and
// releases the upstreams that the step may not use any more or does not need.
func (b *Planner) refreshTaskReservations(s *step, q caspec.Queue, wanted int) {
	kept := s.reservation.upstreams[:0]
	for _, u := range s.reservation.upstreams {
		freeAt, ok := b.expectedRoom(s, q, u)
		if u.reservedBy != s || !ok || len(kept) == wanted {
			u.release(s)
			continue
		}
		u.reservedFrom = freeAt
		kept = append(kept, u)
	}
	clear(s.reservation.upstreams[len(kept):])
	s.reservation.upstreams = kept
}

// expectedRoom returns when the upstream is expected to have room for one more task of the
// step, and whether it is.
func (b *Planner) expectedRoom(s *step, q caspec.Queue, u *upstream) (time.Time, bool) {
	if !u.available || u.info.Pool != q.Pool || !u.info.HasLabel(s.spec.Label) || q.Approval != nil && !s.approvals.isApproved(u) {
		return time.Time{}, false
	}
	if s.spec.MaxPerUpstream > 0 && u.runCount(s) >= s.spec.MaxPerUpstream || !b.isRackAllowed(s, u) || !b.mayUsePartition(s, q, u) {
		return time.Time{}, false
	}
	slots := b.expectedSlots(s, u)
	if len(slots) == 0 {
		return time.Time{}, false
	}
	return slots[0].freeAt, true
}

// reserveForTasks reserves room for n tasks of the step, at the upstreams that are expected
// to have it first.
func (b *Planner) reserveForTasks(s *step, q caspec.Queue, p *poolPlan, n int) {
	var slots []expectedSlot
	for _, u := range b.usableUpstreams(s, q, p) {
		freeAt, ok := b.expectedRoom(s, q, u)
		if !ok || u.reservedBy != nil {
			continue
		}
		if s.shouldAvoid(u) {
			freeAt = freeAt.Add(avoidedUpstreamDelay)
		}
		slots = append(slots, expectedSlot{upstream: u, freeAt: freeAt})
	}
	sortExpectedSlots(slots)
	s.reservation.lacksApproved = len(slots) < n
	for _, slot := range slots[:min(n, len(slots))] {
		if p.taskReservedCPU >= maxTaskReservedShare*float64(p.capacity) {
			return
		}
		u := slot.upstream
		u.reservedBy, u.reservedRoom, u.reservedFrom = s, s.spec.Size(), slot.freeAt
		p.taskReservedCPU += float64(u.reservedRoom.CPU)
		s.reservation.upstreams = append(s.reservation.upstreams, u)
	}
}

// shouldAvoid reports whether a waiting task of the step should not run on the upstream
// again.
func (s *step) shouldAvoid(u *upstream) bool {
	tasks := s.state().Tasks
	for i := range tasks {
		if tasks[i].Phase == castate.TaskWaiting && upstreamToAvoid(s, &tasks[i]) == u.info.ID {
			return true
		}
	}
	return u.health.ejections > 0
}

// release ends the reservation of the step at the upstream, if it has one.
func (u *upstream) release(s *step) {
	if u.reservedBy == s {
		u.reservedBy, u.reservedRoom, u.reservedFrom = nil, cawork.Resources{}, time.Time{}
	}
}

// releaseStarted ends the reservation for a single task that is started at the upstream.
func (s *step) releaseStarted(u *upstream) {
	if s.spec.Gang || s.reservation == nil || u.reservedBy != s {
		return
	}
	u.release(s)
	s.reservation.upstreams = slices.DeleteFunc(s.reservation.upstreams, func(other *upstream) bool { return other == u })
}

// reservedStart returns when the step that room is reserved for is expected to start.
func (u *upstream) reservedStart() time.Time {
	if u.reservedBy.spec.Gang {
		return u.reservedBy.reservation.expectedStart
	}
	return u.reservedFrom
}

// taskTicketRenewals returns the reserved upstreams whose tickets will have expired when the
// room is expected to be complete, once that is soon.
func (b *Planner) taskTicketRenewals(s *step, q caspec.Queue) []cawork.UpstreamID {
	if !s.reservesRoom() {
		return nil
	}
	now := b.now.Monotonic
	requestLead := q.Approval.Cost(len(s.reservation.upstreams)) + ticketRenewalMargin
	var missing []*upstream
	for _, u := range s.reservation.upstreams {
		if _, isValid := s.approvals.validTicket(u, now.Add(requestLead)); isValid || u.reservedFrom.Sub(now) > requestLead+ticketRenewalLead {
			continue
		}
		missing = append(missing, u)
	}
	slices.SortFunc(missing, func(x, y *upstream) int {
		return cmp.Or(x.reservedFrom.Compare(y.reservedFrom), compareUpstreams(x, y))
	})
	ids := make([]cawork.UpstreamID, 0, len(missing))
	for _, u := range missing[:min(len(missing), maxRequestUpstreams)] {
		ids = append(ids, u.info.ID)
	}
	return ids
}

// hasRoomReserved reports whether room is reserved for all tasks of the step that its team
// may start.
func (b *Planner) hasRoomReserved(s *step) bool {
	return s.reservesRoom() && len(s.reservation.upstreams) >= b.startableTasks(s)
}

// lacksReservable reports whether too few approved upstreams can be reserved for the single
// tasks of the step.
func (s *step) lacksReservable() bool { return s.reservation != nil && s.reservation.lacksApproved }

// reservableRoom returns the room that long-running work does not use. The rest becomes free
// soon.
func (u *upstream) reservableRoom() cawork.Resources { return u.info.Capacity.Minus(u.usedLong) }

// isReservedForGang reports whether all room of the upstream is reserved.
func (u *upstream) isReservedForGang() bool { return u.reservedBy != nil && u.reservedBy.spec.Gang }
