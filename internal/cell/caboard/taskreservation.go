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
// is expected to be complete. Other steps that have waited for long get the same for one
// task at a time.

const (
	// maxTaskReservedShare is the fraction of the CPU of a pool, and maxTaskReservedUpstreams
	// that of its upstreams, at which no more room is reserved for single tasks, or for restarts
	// alone. Gangs do not reserve where a task has.
	maxTaskReservedShare     = 0.2
	maxTaskReservedUpstreams = 0.4
	// maxOverdueReservation is how long room that does not become free stays reserved.
	maxOverdueReservation = 3 * time.Second
	// avoidedUpstreamDelay is how much later than elsewhere the room at an upstream that the
	// task should avoid, or that is reserved for a first start, may be complete before that
	// upstream is preferred nevertheless.
	avoidedUpstreamDelay = time.Second
	// firstStartPatience is how long tasks other than those to restart wait without reserved
	// room.
	firstStartPatience = 10 * time.Second
	// soonReserved is how soon reserved room must be complete for no other upstream to be
	// sought: about the time that the advisor takes for an answer.
	soonReserved = time.Second
	// minReservationGain is how much sooner another upstream must be expected to have room
	// for a reservation to move there.
	minReservationGain = 500 * time.Millisecond
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
// those that are of no use any more, and seeks better ones for tasks without room that is
// complete soon.
func (b *Planner) updateTaskReservations(s *step, q caspec.Queue, p *poolPlan) {
	wanted := b.startableTasks(s)
	if wanted == 0 {
		b.dropReservation(s)
		return
	}
	if s.reservation == nil {
		s.reservation = &reservation{reservedAt: b.now.Monotonic}
	}
	b.refreshTaskReservations(s, q, p, wanted)
	isDue := wanted > s.reservation.wanted || b.now.Monotonic.Sub(s.reservationTriedAt) >= reservationRetryInterval
	s.reservation.wanted = wanted
	if isDue && b.countReservedSoon(s) < wanted {
		s.reservationTriedAt = b.now.Monotonic
		b.reserveForTasks(s, q, p, wanted)
	}
}

// tasksWithReservation returns for how many waiting tasks of the step room is to be reserved:
// for all long-running ones that ran before, and for one more if the step has waited for long
// and its result still has its value.
func (b *Planner) tasksWithReservation(s *step) int {
	if b.isStepHeldBack(s) || !b.mayStartTasks(s) {
		return 0
	}
	if !s.ready || s.waitingTasks == s.tasksToRestart || s.lateness != latenessNone {
		return s.restarts()
	}
	since := s.waitBegan()
	if len(s.spec.After) == 0 && s.restarts() == 0 && s.job.acceptedAt.Before(since) {
		since = s.job.acceptedAt
	}
	if b.now.Monotonic.Sub(since) > firstStartPatience {
		return s.restarts() + 1
	}
	return s.restarts()
}

// startableTasks returns for how many of these tasks the team of the step may start. Those whose
// runs are about to end take what these have now.
func (b *Planner) startableTasks(s *step) int {
	n := b.tasksWithReservation(s)
	for n > s.tasksEnding && !b.withinLimit(s.job.Submission.Team, s.spec.Size().Times(int64(n-s.tasksEnding))) {
		n--
	}
	return n
}

// refreshTaskReservations updates when the reserved room is expected to be complete, and
// releases the upstreams that the step may not use any more or does not need. An upstream
// whose room did not become free for long is passed over for a while.
func (b *Planner) refreshTaskReservations(s *step, q caspec.Queue, p *poolPlan, wanted int) {
	r := s.reservation
	slices.SortStableFunc(r.upstreams, func(x, y *upstream) int { return x.reservedFrom.Compare(y.reservedFrom) })
	kept := r.upstreams[:0]
	for _, u := range r.upstreams {
		freeAt, ok := b.expectedRoom(s, q, u)
		isOverdue := b.now.Monotonic.Sub(u.reservedSince) >= maxOverdueReservation && !s.spec.Size().Fits(u.free())
		if isOverdue && u.reservedBy == s {
			r.passedOver, r.passedOverAt = u, b.now.Monotonic
		}
		if u.reservedBy != s || !ok || isOverdue || len(kept) == wanted {
			p.releaseTask(s, u)
			continue
		}
		u.reservedFrom = freeAt
		kept = append(kept, u)
	}
	clear(r.upstreams[len(kept):])
	r.upstreams = kept
}

// countReservedSoon returns for how many tasks of the step there is reserved room that is
// expected to be complete soon.
func (b *Planner) countReservedSoon(s *step) int {
	n := 0
	for _, u := range s.reservation.upstreams {
		if u.reservedFrom.Sub(b.now.Monotonic) <= soonReserved {
			n++
		}
	}
	return n
}

// awaitsRestartRoom reports whether some room that is reserved for restarts of the step is not complete
// yet. It may seem to be complete soon for long: a run that takes longer than estimated always seems to
// end next. Meanwhile others get room, so that all of them are of use to the step.
func (s *step) awaitsRestartRoom() bool {
	return s.restarts() > 0 && s.reservesRoom() && slices.ContainsFunc(s.reservation.upstreams, func(u *upstream) bool {
		return !s.spec.Size().Fits(u.free())
	})
}

// expectedRoom returns when the upstream is expected to have room for one more task of the
// step, and whether it is.
func (b *Planner) expectedRoom(s *step, q caspec.Queue, u *upstream) (time.Time, bool) {
	if b.bySlot[u.slot] != u || !u.available || u.info.Pool != q.Pool || !u.info.HasLabel(s.spec.Label) || q.Approval != nil && !s.approvals.isApproved(u) {
		return time.Time{}, false
	}
	if s.spec.MaxPerUpstream > 0 && u.runCount(s) >= s.spec.MaxPerUpstream || !b.isRackAllowed(s, u) || !b.mayUsePartition(s, q, u) || !b.isApart(s, u) {
		return time.Time{}, false
	}
	return b.firstExpectedSlot(s, u)
}

// reserveForTasks chooses the reservations for the wanted number of tasks of the step: the
// upstreams that are expected to have room first, where those that are reserved already are
// preferred.
func (b *Planner) reserveForTasks(s *step, q caspec.Queue, p *poolPlan, wanted int) {
	slots := b.taskSlots(s, q, p)
	s.reservation.lacksApproved = len(slots) < wanted
	chosen := slots[:min(wanted, len(slots))]
	reserved := s.reservation.upstreams
	s.reservation.upstreams = nil
	for _, u := range reserved {
		if slices.ContainsFunc(chosen, func(slot expectedSlot) bool { return slot.upstream == u }) {
			s.reservation.upstreams = append(s.reservation.upstreams, u)
			continue
		}
		p.releaseTask(s, u)
	}
	for _, slot := range chosen {
		if s.mayReserveAt(slot.upstream) && p.mayReserveTask(s) {
			p.dropFirstStart(slot.upstream)
			b.reserveTask(s, p, slot)
		}
	}
}

// taskSlots returns where the step has or may reserve room for a task, the preferred
// upstreams first.
func (b *Planner) taskSlots(s *step, q caspec.Queue, p *poolPlan) []expectedSlot {
	var slots []expectedSlot
	for _, u := range s.reservation.upstreams {
		slots = append(slots, expectedSlot{upstream: u, freeAt: u.reservedFrom})
	}
	if !p.mayReserveTask(s) && len(slots) == 0 {
		return nil
	}
	avoided := s.upstreamsToAvoid()
	for _, u := range b.usableUpstreams(s, q, p) {
		if !s.mayReserveAt(u) {
			continue
		}
		freeAt, ok := b.expectedRoom(s, q, u)
		if !ok {
			continue
		}
		slots = append(slots, expectedSlot{upstream: u, freeAt: freeAt.Add(b.reservationDelay(s, u, avoided))})
	}
	sortExpectedSlots(slots)
	return slots
}

// reservationDelay returns how much later than elsewhere the room at an upstream may be
// complete before the upstream is preferred.
func (b *Planner) reservationDelay(s *step, u *upstream, avoided map[cawork.UpstreamID]bool) time.Duration {
	delay := time.Duration(0)
	if len(s.reservation.upstreams) > 0 {
		delay += minReservationGain
	}
	if avoided[u.info.ID] || u.health.WasEjected() || u.reservedBy != nil {
		delay += avoidedUpstreamDelay
	}
	if r := s.reservation; r.passedOver == u && b.now.Monotonic.Sub(r.passedOverAt) < maxReservationAge {
		delay += maxReservationAge
	}
	return delay
}

// upstreamsToAvoid returns the upstreams that waiting tasks of the step should not run on
// again.
func (s *step) upstreamsToAvoid() map[cawork.UpstreamID]bool {
	avoided := make(map[cawork.UpstreamID]bool)
	tasks := s.state().Tasks
	for i := range tasks {
		if tasks[i].Phase == castate.TaskWaiting {
			avoided[upstreamToAvoid(s, &tasks[i])] = true
		}
	}
	return avoided
}

// mayReserveAt reports whether the step may reserve room for a task at the upstream: no room is
// reserved there, or restarts take that of a first start.
func (s *step) mayReserveAt(u *upstream) bool {
	other := u.reservedBy
	return other == nil || s.restarts() > 0 && other.reservesForFirstStart()
}

// reservesForFirstStart reports whether the step reserves room for a single task that never ran.
func (s *step) reservesForFirstStart() bool { return !s.spec.Gang && s.restarts() == 0 }

// mayReserveTask reports whether more room of the pool may be reserved for single tasks of the
// step. Only other restarts count against restarts.
func (p *poolPlan) mayReserveTask(s *step) bool {
	cpu, reservations := p.taskReservedCPU, p.taskReservations
	if s.restarts() > 0 {
		cpu, reservations = p.reservedForRestarts()
	}
	return cpu < maxTaskReservedShare*float64(p.capacity) &&
		float64(reservations) < max(maxTaskReservedUpstreams*float64(len(p.upstreams)), 1)
}

// reservedForRestarts returns the CPU that is reserved for restarts, and at how many upstreams.
func (p *poolPlan) reservedForRestarts() (cpu float64, reservations int) {
	for _, u := range p.upstreams {
		if u.reservedBy != nil && u.reservedBy.restarts() > 0 {
			cpu += float64(u.reservedRoom.CPU)
			reservations++
		}
	}
	return cpu, reservations
}

// dropFirstStart ends the reservation for a first start at the upstream, if there is one.
func (p *poolPlan) dropFirstStart(u *upstream) {
	other := u.reservedBy
	if other == nil || !other.reservesForFirstStart() {
		return
	}
	p.releaseTask(other, u)
	other.reservation.upstreams = slices.DeleteFunc(other.reservation.upstreams, func(reserved *upstream) bool { return reserved == u })
}

// reserveTask reserves room for a task of the step.
func (b *Planner) reserveTask(s *step, p *poolPlan, slot expectedSlot) {
	u := slot.upstream
	u.reservedBy, u.reservedRoom = s, s.spec.Size()
	u.reservedFrom, u.reservedSince = slot.freeAt, b.now.Monotonic
	p.taskReservedCPU += float64(u.reservedRoom.CPU)
	p.taskReservations++
	s.reservation.upstreams = append(s.reservation.upstreams, u)
}

// releaseTask ends the reservation for a task of the step at the upstream.
func (p *poolPlan) releaseTask(s *step, u *upstream) {
	if u.reservedBy != s {
		return
	}
	if u.available {
		p.taskReservedCPU -= float64(u.reservedRoom.CPU)
		p.taskReservations--
	}
	u.release(s)
}

// release ends the reservation of the step at the upstream, if it has one.
func (u *upstream) release(s *step) {
	if u.reservedBy == s {
		u.reservedBy, u.reservedRoom, u.reservedFrom, u.reservedSince = nil, cawork.Resources{}, time.Time{}, time.Time{}
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
		if _, isValid := b.validTicket(s, u, now.Add(requestLead)); isValid || u.reservedFrom.Sub(now) > requestLead+ticketRenewalLead {
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

// hasRoomReserved reports whether room that is complete soon is reserved for all tasks of the
// step that its team may start.
func (b *Planner) hasRoomReserved(s *step) bool {
	return s.reservesRoom() && b.countReservedSoon(s) >= b.startableTasks(s)
}

// lacksReservable reports whether too few approved upstreams can be reserved for the single
// tasks of the step.
func (s *step) lacksReservable() bool { return s.reservation != nil && s.reservation.lacksApproved }

// reservableRoom returns the room that long-running work does not use. The rest becomes free
// soon.
func (u *upstream) reservableRoom() cawork.Resources { return u.info.Capacity.Minus(u.usedLong) }

// isReservedForGang reports whether all room of the upstream is reserved.
func (u *upstream) isReservedForGang() bool { return u.reservedBy != nil && u.reservedBy.spec.Gang }
