package caboard

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// backfillMargin is the factor by which a task that is backfilled into reserved room
	// may run longer than expected and still end before the gang starts.
	backfillMargin = 1.25
	// maxReservedShare is the fraction of a pool at which no more is reserved for gangs. The
	// room that is reserved for one gang delays the next.
	maxReservedShare = 0.12
	// ampleRoomShare is the free fraction of a pool at which gangs need no reservations.
	ampleRoomShare = 0.5
	// reservationSpareShare is the number of spare slots that are reserved, as a fraction of
	// those that the gang needs, so that it does not wait for a few slots that become free
	// late.
	reservationSpareShare = 0.25
	// maxReservationAge is how long the same upstreams stay reserved for one gang.
	maxReservationAge = 6 * time.Second
	// reservationRetryInterval is the time between two attempts to reserve room for the same
	// gang.
	reservationRetryInterval = 150 * time.Millisecond
	// minRemainingRunTime is the assumed remaining run time of a run that takes longer than
	// expected.
	minRemainingRunTime = 200 * time.Millisecond
)

// expectedSlot is room for one member of a gang that is expected to be free at freeAt.
type expectedSlot struct {
	upstream *upstream
	freeAt   time.Time
}

// reservation holds the upstreams that are reserved for a gang until it starts.
type reservation struct {
	upstreams []*upstream
	// expectedStart is when the gang is expected to have enough room.
	expectedStart time.Time
	reservedAt    time.Time
	// The others are for single tasks. lacksApproved is set while too few approved upstreams
	// can be reserved, wanted is for how many tasks, and passedOver is an upstream where the
	// room did not become free until passedOverAt.
	lacksApproved bool
	wanted        int
	passedOver    *upstream
	passedOverAt  time.Time
}

// hasReserved reports whether room is reserved for the step.
func (s *step) hasReserved() bool { return s.reservation != nil && len(s.reservation.upstreams) > 0 }

// updateReservation refreshes, replaces or drops the reservation of a gang, or makes one.
// Without a reservation, smaller work would take the room as soon as it becomes free. Gangs
// that can not meet their objective reserve last, and lose their reservations when other
// gangs need room.
func (b *Planner) updateReservation(s *step, q caspec.Queue, p *poolPlan) {
	late := s.lateness != latenessNone
	if p.hasAmpleRoom() || late && p.contended {
		b.dropReservation(s)
		return
	}
	if s.reservation != nil && b.now.Monotonic.Sub(s.reservation.reservedAt) < maxReservationAge && b.refreshReservation(s) {
		return
	}
	b.dropReservation(s)
	if p.reservedCPU >= p.maxReservedCPU() {
		p.contended = p.contended || !late
		return
	}
	if b.now.Monotonic.Sub(s.reservationTriedAt) < reservationRetryInterval {
		return
	}
	s.reservationTriedAt = b.now.Monotonic
	b.reserve(s, q, p)
}

// hasAmpleRoom reports whether so much of the pool is free that gangs find room without
// reservations and wait for their tickets only.
func (p *poolPlan) hasAmpleRoom() bool {
	return float64(p.free.CPU) >= ampleRoomShare*float64(p.capacity)
}

// maxReservedCPU returns the reserved CPU of the pool at which no more is reserved.
func (p *poolPlan) maxReservedCPU() float64 { return maxReservedShare * float64(p.capacity) }

// refreshReservation updates the expected start of the gang. It reports whether the reserved
// upstreams are expected to have enough room.
func (b *Planner) refreshReservation(s *step) bool {
	var slots []expectedSlot
	for _, u := range s.reservation.upstreams {
		if u.available && b.isApart(s, u) {
			slots = append(slots, b.expectedSlots(s, u)...)
		}
	}
	if len(slots) < s.spec.Tasks {
		return false
	}
	sortExpectedSlots(slots)
	s.reservation.expectedStart = slots[s.spec.Tasks-1].freeAt
	return true
}

// dropReservation releases the upstreams that are reserved for a gang, if any.
func (b *Planner) dropReservation(s *step) {
	if s.reservation == nil {
		return
	}
	for _, u := range s.reservation.upstreams {
		u.release(s)
	}
	s.reservation = nil
}

// reserve reserves the upstreams that are expected to have room for a gang first. Work that
// ends before the gang can start may still be backfilled there.
func (b *Planner) reserve(s *step, q caspec.Queue, p *poolPlan) {
	var slots []expectedSlot
	for _, u := range b.usableUpstreams(s, q, p) {
		approved := q.Approval == nil || s.approvals.isApproved(u)
		if u.info.Pool == q.Pool && approved && u.reservedBy == nil && u.info.HasLabel(s.spec.Label) && b.isApart(s, u) {
			slots = append(slots, b.expectedSlots(s, u)...)
		}
	}
	if len(slots) < s.spec.Tasks {
		return
	}
	sortExpectedSlots(slots)
	spareSlots := int(reservationSpareShare * float64(s.spec.Tasks))
	chosen := slots[:min(s.spec.Tasks+spareSlots, len(slots))]
	s.reservation = &reservation{expectedStart: slots[s.spec.Tasks-1].freeAt, reservedAt: b.now.Monotonic}
	for _, slot := range chosen {
		if slot.upstream.reservedBy == nil {
			slot.upstream.reservedBy = s
			s.reservation.upstreams = append(s.reservation.upstreams, slot.upstream)
			p.reservedCPU += float64(slot.upstream.info.Capacity.CPU)
		}
	}
}

func sortExpectedSlots(slots []expectedSlot) {
	slices.SortFunc(slots, func(x, y expectedSlot) int {
		return cmp.Or(x.freeAt.Compare(y.freeAt), cmp.Compare(x.upstream.info.ID, y.upstream.info.ID))
	})
}

// release is room that is expected to become free at an upstream.
type release struct {
	at   time.Time
	size cawork.Resources
}

// expectedSlots returns the slots that the upstream is expected to have for members of a
// gang, the earliest first.
func (b *Planner) expectedSlots(s *step, u *upstream) []expectedSlot {
	free := u.free()
	var slots []expectedSlot
	add := func(at time.Time) {
		for range caroom.TasksIn(free, s.spec) - len(slots) {
			slots = append(slots, expectedSlot{upstream: u, freeAt: at})
		}
	}
	add(b.now.Monotonic)
	for _, r := range b.expectedReleases(u) {
		free = free.Plus(r.size)
		add(r.at)
	}
	return slots
}

// firstExpectedSlot returns when the upstream is expected to have room for one task of the step,
// and whether it is: the first of expectedSlots.
func (b *Planner) firstExpectedSlot(s *step, u *upstream) (time.Time, bool) {
	size, free := s.spec.Size(), u.free()
	if size.Fits(free) {
		return b.now.Monotonic, true
	}
	if !size.Fits(u.info.Capacity) {
		return time.Time{}, false
	}
	for _, r := range b.expectedReleases(u) {
		free = free.Plus(r.size)
		if size.Fits(free) {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// expectedReleases returns when the runs of an upstream are expected to end, apart from
// long-running ones, the first to end first. It is computed once in a plan unless runs are assigned.
func (b *Planner) expectedReleases(u *upstream) []release {
	if u.releasesOf == b.plans {
		return u.releases
	}
	u.releasesOf = b.plans
	u.releases = u.releases[:0]
	for _, r := range u.runs {
		if r.step.spec.LongRunning {
			continue
		}
		ends := r.assignedAt.Add(b.expectedRunTime(r.step, u))
		if earliest := b.now.Monotonic.Add(minRemainingRunTime); ends.Before(earliest) {
			ends = earliest
		}
		u.releases = append(u.releases, release{at: ends, size: r.size})
	}
	slices.SortFunc(u.releases, func(x, y release) int {
		return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.size.CPU, y.size.CPU), cmp.Compare(x.size.Memory, y.size.Memory))
	})
	return u.releases
}

// mayBackfill reports whether a task of the step may be placed on an upstream as far as
// reservations for other steps are concerned.
func (b *Planner) mayBackfill(s *step, u *upstream) bool {
	return u.reservedBy == nil || u.reservedBy == s || s.spec.Size().Fits(b.roomFor(s, u))
}

// roomFor returns the free room at an upstream that tasks of the step may use: all of it
// unless some is reserved for another step and the tasks are not expected to end before
// that one starts.
func (b *Planner) roomFor(s *step, u *upstream) cawork.Resources {
	switch {
	case u.reservedBy == nil || u.reservedBy == s || b.endsBeforeReservedStart(s, u):
		return u.free()
	case u.reservedBy.spec.Gang:
		return cawork.Resources{}
	default:
		return u.free().Minus(u.reservedRoom)
	}
}

func (b *Planner) endsBeforeReservedStart(s *step, u *upstream) bool {
	if s.wide || s.spec.LongRunning {
		return false
	}
	ends := b.now.Monotonic.Add(time.Duration(backfillMargin * float64(b.expectedRunTime(s, u))))
	return !ends.After(u.reservedStart())
}
