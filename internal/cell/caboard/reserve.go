package caboard

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// backfillMargin is by how much longer than expected a task may run that is
	// placed on room held back for a gang.
	backfillMargin = 1.25
	// heldShare is the largest fraction of a pool that is held back for gangs. What
	// is held for one keeps the next one waiting.
	heldShare = 0.12
	// roomyShare is the fraction of a pool that is free when no room is held.
	roomyShare = 0.5
	// heldSpare is how many more places are held than a gang needs, as a fraction,
	// so that it does not wait for the last one that is late.
	heldSpare = 0.25
	// holdMost is how long the same room is held for one gang.
	holdMost = 6 * time.Second
	// holdRetry is the wait before room is looked for again for one gang.
	holdRetry = 150 * time.Millisecond
	// overdueEnd is when a run that is longer than expected is taken to end.
	overdueEnd = 200 * time.Millisecond
)

// vacancy is a place for a member of a gang that becomes free at a time.
type vacancy struct {
	up *upstream
	at time.Time
}

// hold is the room that is kept for a gang until it starts.
type hold struct {
	upstreams []*upstream
	// begins is when the gang is expected to have its room.
	begins time.Time
	since  time.Time
}

// holdRoom keeps a gang's room up to date, or begins to keep some, so that
// lesser work does not take it bit by bit. Gangs that can not be in time come
// last, and give room back that others want.
func (b *Board) holdRoom(s *step, q caspec.Queue, p *poolPlan) {
	late := s.lateness != latenessNone
	if p.isRoomy() || late && p.contended {
		b.dropHold(s)
		return
	}
	if s.reservation != nil && b.now.Steady.Sub(s.reservation.since) < holdMost && b.refreshHold(s) {
		return
	}
	b.dropHold(s)
	if p.reservedCPU >= p.mostHeld() {
		p.contended = p.contended || !late
		return
	}
	if b.now.Steady.Sub(s.reservationTriedAt) < holdRetry {
		return
	}
	s.reservationTriedAt = b.now.Steady
	b.reserve(s, q, p)
}

// isRoomy reports whether so much is free that gangs find room without holding
// any, and only wait for their tickets.
func (p *poolPlan) isRoomy() bool {
	return float64(p.free.CPU) >= roomyShare*float64(p.capacity)
}

// mostHeld returns how much may be held back for gangs.
func (p *poolPlan) mostHeld() float64 { return heldShare * float64(p.capacity) }

// refreshHold foresees anew when the gang has its room. It reports whether the
// upstreams that are held will have it.
func (b *Board) refreshHold(s *step) bool {
	var vacancies []vacancy
	for _, u := range s.reservation.upstreams {
		if u.available {
			vacancies = append(vacancies, b.vacancies(s, u)...)
		}
	}
	if len(vacancies) < s.spec.Tasks {
		return false
	}
	sortVacancies(vacancies)
	s.reservation.begins = vacancies[s.spec.Tasks-1].at
	return true
}

// dropHold gives the room back that was kept for a gang.
func (b *Board) dropHold(s *step) {
	if s.reservation == nil {
		return
	}
	for _, u := range s.reservation.upstreams {
		if u.reservedBy == s {
			u.reservedBy = nil
		}
	}
	s.reservation = nil
}

// reserve holds back the upstreams that are expected to have room for a gang
// first. Work that ends before the gang can start may still go there.
func (b *Board) reserve(s *step, q caspec.Queue, p *poolPlan) {
	var vacancies []vacancy
	for _, u := range b.usableUpstreams(s, q, p) {
		approved := q.Approval == nil || s.approvals.isApproved(u)
		if u.info.Pool == q.Pool && approved && u.reservedBy == nil && u.info.HasLabel(s.spec.Label) {
			vacancies = append(vacancies, b.vacancies(s, u)...)
		}
	}
	if len(vacancies) < s.spec.Tasks {
		return
	}
	sortVacancies(vacancies)
	spare := int(heldSpare * float64(s.spec.Tasks))
	chosen := vacancies[:min(s.spec.Tasks+spare, len(vacancies))]
	s.reservation = &hold{begins: vacancies[s.spec.Tasks-1].at, since: b.now.Steady}
	for _, v := range chosen {
		if v.up.reservedBy == nil {
			v.up.reservedBy = s
			s.reservation.upstreams = append(s.reservation.upstreams, v.up)
			p.reservedCPU += float64(v.up.info.Capacity.CPU)
		}
	}
}

func sortVacancies(list []vacancy) {
	slices.SortFunc(list, func(x, y vacancy) int {
		return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.up.info.ID, y.up.info.ID))
	})
}

// vacancies returns when the upstream is expected to have room for one member
// after the other.
func (b *Board) vacancies(s *step, u *upstream) []vacancy {
	type release struct {
		at   time.Time
		size cawork.Resources
	}
	releases := make([]release, 0, len(u.runs))
	for _, r := range u.runs {
		ends := r.assignedAt.Add(b.expectedRunTime(r.step, u))
		if soonest := b.now.Steady.Add(overdueEnd); ends.Before(soonest) {
			ends = soonest
		}
		if r.step.spec.LongRunning {
			continue
		}
		releases = append(releases, release{at: ends, size: r.size})
	}
	slices.SortFunc(releases, func(x, y release) int {
		return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.size.CPU, y.size.CPU), cmp.Compare(x.size.Memory, y.size.Memory))
	})
	free := u.free()
	var list []vacancy
	add := func(at time.Time) {
		for range places(free, s.spec) - len(list) {
			list = append(list, vacancy{up: u, at: at})
		}
	}
	add(b.now.Steady)
	for _, r := range releases {
		free = free.Plus(r.size)
		add(r.at)
	}
	return list
}

// mayBackfill reports whether a task of the step may go to an upstream that is
// held back for another.
func (b *Board) mayBackfill(s *step, u *upstream) bool {
	if u.reservedBy == nil || u.reservedBy == s {
		return true
	}
	if s.wide || s.spec.LongRunning {
		return false
	}
	ends := b.now.Steady.Add(time.Duration(backfillMargin * float64(b.expectedRunTime(s, u))))
	return !ends.After(u.reservedBy.reservation.begins)
}
