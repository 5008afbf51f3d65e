package cadecide

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// reservation is capacity reserved for tasks of another entry, or for the local
// tasks of a gang. The index counts it as committed, like the capacity of open
// tasks.
type reservation struct {
	request casched.ReserveRequest
	demand  caplace.Demand
	hosts   []caplace.HostIndex
}

func (r *reservation) response(x *caplace.Index) casched.Reservation {
	out := casched.Reservation{ID: r.request.ID, Expires: r.request.Expires}
	for _, h := range r.hosts {
		out.Upstreams = append(out.Upstreams, x.ID(h))
	}
	return out
}

// Reserve implements casched.Scheduler.
func (s *Scheduler) Reserve(r casched.ReserveRequest, now time.Time) (casched.Reservation, error) {
	s.expireReservations(now)
	if existing, ok := s.reservations[r.ID]; ok {
		return existing.response(s.index), nil
	}
	q := caplace.Query{
		Demand: s.demandOf(r.Size, r.Kind), Constraints: r.Constraints,
		Placement: s.policy.Kind(r.Kind).Placement, Job: r.Job,
	}
	if r.RunTime > 0 {
		q.End = now.Add(r.RunTime)
	}
	count := min(r.Count, casched.MaxTasks, s.index.CountFitting(&q, r.Count))
	if count < max(1, r.Min) || !now.Before(r.Expires) || !s.findHosts(&q, count) {
		return casched.Reservation{}, cakind.New(cakind.KindUnavailable, "%d tasks of size %v do not fit", r.Min, r.Size)
	}
	reserved := &reservation{request: r, demand: q.Demand, hosts: slices.Clone(s.foundHosts)}
	for _, h := range reserved.hosts {
		s.afterTake(h)
	}
	s.reservations[r.ID] = reserved
	return reserved.response(s.index), nil
}

// CommitReservation implements casched.Scheduler.
func (s *Scheduler) CommitReservation(id casched.ReservationID, tasks []cawork.TaskRef, now time.Time) error {
	s.expireReservations(now)
	r, ok := s.reservations[id]
	if !ok {
		return cakind.New(cakind.KindNotFound, "reservation %s not found", id)
	}
	if len(tasks) > len(r.hosts) {
		return cakind.New(cakind.KindInvalid, "%d tasks exceed the %d that are reserved", len(tasks), len(r.hosts))
	}
	for _, ref := range tasks {
		if s.ledger.Task(ref) != nil {
			return cakind.New(cakind.KindConflict, "task %v already has an open attempt", ref)
		}
	}
	var end time.Time
	if r.request.RunTime > 0 {
		end = now.Add(r.request.RunTime)
	}
	for i, ref := range tasks {
		h := r.hosts[i]
		o := caledger.OpenParams{Host: h, Upstream: s.index.ID(h), Demand: r.demand, Account: s.team(r.request.Team).Team, Now: now, ExpectedEnd: end}
		s.ledger.OpenForeign(ref, r.request.Team, r.request.Kind, o)
	}
	r.hosts = r.hosts[len(tasks):]
	s.ReleaseReservation(id, now)
	return nil
}

// ReleaseReservation implements casched.Scheduler.
func (s *Scheduler) ReleaseReservation(id casched.ReservationID, _ time.Time) {
	r, ok := s.reservations[id]
	if !ok {
		return
	}
	for _, h := range r.hosts {
		s.index.Release(h, r.demand)
	}
	delete(s.reservations, id)
}

func (s *Scheduler) expireReservations(now time.Time) {
	for id, r := range s.reservations {
		if !now.Before(r.request.Expires) {
			s.ReleaseReservation(id, now)
		}
	}
}

// PlaceReserved implements casched.Scheduler.
func (s *Scheduler) PlaceReserved(
	placements []casched.Placement, local casched.ReservationID, now time.Time,
) (casched.Decision, error) {
	s.expireReservations(now)
	r, ok := s.reservations[local]
	if local != "" && !ok {
		return casched.Decision{}, cakind.New(cakind.KindNotFound, "reservation %s not found", local)
	}
	j, total, err := s.checkPlacements(placements)
	if err != nil {
		return casched.Decision{}, err
	}
	openings, err := s.reservedOpenings(placements, j, r, now)
	if err != nil {
		return casched.Decision{}, err
	}
	d := s.jobDecision(casched.DecisionPlace, casched.ReasonReservation, j, now)
	if j.IsGang() {
		d.Kind = casched.DecisionPlaceGang
	}
	for i, o := range openings {
		s.ledger.OpenIndex(j, placements[i].Task.Index, o)
	}
	s.ReleaseReservation(local, now)
	s.chargeOpened(s.team(j.Team), j, total, len(placements), now)
	d.Placements = slices.Clone(placements)
	return d, nil
}

// checkPlacements verifies that the placements can be opened, and returns their
// job and their total size.
func (s *Scheduler) checkPlacements(placements []casched.Placement) (*caledger.Job, cawork.Resources, error) {
	var total cawork.Resources
	if len(placements) == 0 {
		return nil, total, cakind.New(cakind.KindInvalid, "no placements given")
	}
	j := s.ledger.Job(placements[0].Task.Job)
	if j == nil || !j.Startable() {
		return nil, total, cakind.New(cakind.KindConflict, "job %s has no task to start", placements[0].Task.Job)
	}
	seen := make(map[int]bool, len(placements))
	for _, p := range placements {
		if p.Task.Job != j.ID || seen[p.Task.Index] || !j.IsQueued(p.Task.Index) {
			return nil, total, cakind.New(cakind.KindConflict, "task %v is not queued", p.Task)
		}
		seen[p.Task.Index] = true
		total = total.Plus(p.Size)
	}
	if j.IsGang() && len(placements) != j.Queued() {
		return nil, total, cakind.New(cakind.KindConflict, "all %d tasks of the gang must be placed together", j.Queued())
	}
	if !s.team(j.Team).Allows(total) {
		return nil, total, cakind.New(cakind.KindLimitReached, "the placements exceed the allowance of team %s", j.Team)
	}
	return j, total, nil
}

// reservedOpenings returns the opening of each placement. Placements on own
// upstreams use the capacity of the reservation, which is reduced accordingly.
func (s *Scheduler) reservedOpenings(
	placements []casched.Placement, j *caledger.Job, r *reservation, now time.Time,
) ([]caledger.OpenParams, error) {
	var remaining []caplace.HostIndex
	if r != nil {
		remaining = slices.Clone(r.hosts)
	}
	out := make([]caledger.OpenParams, 0, len(placements))
	for _, p := range placements {
		o := caledger.OpenParams{
			Host: caplace.NoHost, Upstream: p.Upstream, Demand: s.demandOf(p.Size, j.Spec.Kind),
			Account: s.team(j.Team).Team, Now: now, ExpectedEnd: s.expectedEnd(j, now),
		}
		// An upstream in StateRemoved is kept while tasks are on it; another entry may
		// own it now.
		if h, known := s.index.Host(p.Upstream); known && s.index.StateOf(h) != caplace.StateRemoved {
			i := slices.Index(remaining, h)
			if i < 0 || r.demand != o.Demand {
				return nil, cakind.New(cakind.KindInvalid, "capacity for task %v is not reserved on upstream %s", p.Task, p.Upstream)
			}
			remaining = slices.Delete(remaining, i, i+1)
			o.Host = h
		}
		out = append(out, o)
	}
	if r != nil {
		r.hosts = remaining
	}
	return out, nil
}
