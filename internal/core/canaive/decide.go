package canaive

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// Decide implements casched.Scheduler.
func (s *Scheduler) Decide(now time.Time) []casched.Decision {
	s.expireReservations(now)
	out := s.expireJobs(now)
	out = append(out, s.stopIncompleteGangs(now)...)
	out = append(out, s.stopOverAllowance(now)...)
	for len(out) < casched.MaxDecisions {
		d, ok := s.placeNext(now)
		if !ok {
			break
		}
		out = append(out, d)
	}
	if err := s.Check(); err != nil {
		s.report(err.(*casched.Violation))
	}
	return out
}

func (s *Scheduler) expireReservations(now time.Time) {
	s.reservations = slices.DeleteFunc(s.reservations, func(r *reservation) bool {
		return !now.Before(r.request.Expires)
	})
}

func (s *Scheduler) expireJobs(now time.Time) []casched.Decision {
	var out []casched.Decision
	for _, j := range slices.Clone(s.jobs) {
		if j.Spec.Deadline == 0 || now.Before(j.Accepted.Add(j.Spec.Deadline)) || !j.neverStarted() {
			continue
		}
		for _, t := range j.tasks {
			t.end(cawork.OutcomeNotRun)
		}
		s.finish(j)
		out = append(out, decision(casched.DecisionExpire, casched.ReasonDeadline, j, now))
	}
	return out
}

func (j *job) neverStarted() bool {
	return !slices.ContainsFunc(j.tasks, func(t *task) bool {
		return t.phase != casched.TaskPhaseQueued || t.attempts > 0
	})
}

func (s *Scheduler) stopIncompleteGangs(now time.Time) []casched.Decision {
	var out []casched.Decision
	for _, j := range s.jobs {
		incomplete := j.ending || slices.ContainsFunc(j.tasks, func(t *task) bool { return t.phase == casched.TaskPhaseQueued })
		if j.Spec.Kind != cawork.WorkKindGang || !incomplete {
			continue
		}
		for _, t := range j.tasks {
			if t.phase == casched.TaskPhaseOpen && !t.stopping {
				out = append(out, t.stop(casched.ReasonGangMemberLost, now))
			}
		}
	}
	return out
}

func (s *Scheduler) stopOverAllowance(now time.Time) []casched.Decision {
	var out []casched.Decision
	for _, u := range s.TeamUses() {
		use := u.Use
		for _, j := range s.jobs {
			for _, t := range j.tasks {
				if t.team == u.Team && t.stopping && t.phase == casched.TaskPhaseOpen {
					use = use.Minus(t.size)
				}
			}
		}
		for _, t := range s.openTasks() {
			if t.job == nil || t.team != u.Team || t.stopping || use.Fits(s.allowance[u.Team]) {
				continue
			}
			use = use.Minus(t.size)
			out = append(out, t.stop(casched.ReasonOverLimit, now))
		}
	}
	return out
}

func (t *task) stop(r casched.Reason, now time.Time) casched.Decision {
	t.stopping = true
	d := decision(casched.DecisionCheckpoint, r, t.job, now)
	d.Placements = []casched.Placement{t.placement()}
	return d
}

// placeNext places the next tasks of the first job that fits. Jobs of the teams
// with the lowest shares are tried first.
func (s *Scheduler) placeNext(now time.Time) (casched.Decision, bool) {
	jobs := slices.Clone(s.jobs)
	slices.SortStableFunc(jobs, func(a, b *job) int {
		if c := cmp.Compare(s.share(a.Team), s.share(b.Team)); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Team, b.Team); c != 0 {
			return c
		}
		return s.policy.DueTime(a.Job, a.Spec.RunTime).Compare(s.policy.DueTime(b.Job, b.Spec.RunTime))
	})
	for _, j := range jobs {
		tasks := j.nextTasks()
		if len(tasks) == 0 {
			continue
		}
		share := s.share(j.Team)
		if !s.place(j, tasks) {
			continue
		}
		kind := casched.DecisionPlace
		if j.Spec.Kind == cawork.WorkKindGang {
			kind = casched.DecisionPlaceGang
		}
		d := decision(kind, casched.ReasonLowestShare, j, now)
		d.Share = share
		for _, t := range tasks {
			d.Placements = append(d.Placements, t.placement())
		}
		return d, true
	}
	return casched.Decision{}, false
}

// nextTasks returns the tasks to start in the next decision: one queued task, or
// all queued tasks of a gang without open tasks.
func (j *job) nextTasks() []*task {
	var queued []*task
	open := 0
	for _, t := range j.tasks {
		switch t.phase {
		case casched.TaskPhaseQueued:
			queued = append(queued, t)
		case casched.TaskPhaseOpen:
			open++
		}
	}
	if j.Spec.Kind != cawork.WorkKindGang {
		return queued[:min(1, len(queued))]
	}
	if open > 0 {
		return nil
	}
	return queued
}

func (s *Scheduler) place(j *job, tasks []*task) bool {
	var placed []*task
	for _, t := range tasks {
		t.size = j.Spec.Size
		id, ok := s.firstFit(t.size, j.Spec)
		if ok && s.teamUse(j.Team).Plus(t.size).Fits(s.allowance[j.Team]) {
			t.phase, t.upstream = casched.TaskPhaseOpen, id
			t.attempts++
			placed = append(placed, t)
			continue
		}
		for _, p := range placed {
			p.phase, p.upstream = casched.TaskPhaseQueued, ""
			p.attempts--
		}
		return false
	}
	return true
}

func (s *Scheduler) firstFit(size cawork.Resources, spec cawork.JobSpec) (cawork.UpstreamID, bool) {
	k := s.policy.Kind(spec.Kind)
	for _, u := range s.upstreams {
		if u.Leaving || !u.Admits(spec.Constraints) {
			continue
		}
		free, slots, connections := s.freeOn(u)
		if size.Fits(free) && k.Slots <= slots && k.Connections <= connections {
			return u.ID, true
		}
	}
	return "", false
}

// freeOn returns the free resources, slots and connections of the upstream.
func (s *Scheduler) freeOn(u casched.Upstream) (cawork.Resources, int, int) {
	free, slots, connections := u.Capacity, u.Slots, u.Connections
	subtract := func(size cawork.Resources, k cawork.WorkKind) {
		free = free.Minus(size)
		slots -= s.policy.Kind(k).Slots
		connections -= s.policy.Kind(k).Connections
	}
	for _, t := range s.openTasks() {
		if t.upstream == u.ID {
			subtract(t.size, t.kind)
		}
	}
	for _, r := range s.reservations {
		for _, id := range r.upstreams {
			if id == u.ID {
				subtract(r.request.Size, r.request.Kind)
			}
		}
	}
	return free, slots, connections
}

func (s *Scheduler) share(team cawork.TeamName) float64 {
	total := s.Capacity().Plus(s.remote.Capacity)
	use := s.teamUse(team).Plus(s.remote.Of(team))
	return use.DominantShare(total) / float64(s.policy.Weight(team))
}

func (s *Scheduler) teamUse(team cawork.TeamName) cawork.Resources {
	var use cawork.Resources
	for _, t := range s.openTasks() {
		if t.job != nil && t.team == team {
			use = use.Plus(t.size)
		}
	}
	return use
}

func decision(k casched.DecisionKind, r casched.Reason, j *job, now time.Time) casched.Decision {
	return casched.Decision{
		Kind: k, Reason: r, At: now, Job: j.ID, Team: j.Team, WorkKind: j.Spec.Kind,
		Waited: now.Sub(j.Accepted),
	}
}

// Reserve implements casched.Scheduler.
func (s *Scheduler) Reserve(r casched.ReserveRequest, now time.Time) (casched.Reservation, error) {
	s.expireReservations(now)
	res := s.findReservation(r.ID)
	if res == nil {
		res = &reservation{request: r}
		s.reservations = append(s.reservations, res)
		spec := cawork.JobSpec{Kind: r.Kind, Constraints: r.Constraints}
		for len(res.upstreams) < r.Count {
			id, ok := s.firstFit(r.Size, spec)
			if !ok {
				break
			}
			res.upstreams = append(res.upstreams, id)
		}
	}
	if len(res.upstreams) < max(1, r.Min) {
		s.ReleaseReservation(r.ID, now)
		return casched.Reservation{}, cakind.New(cakind.KindUnavailable, "%d tasks fit, %d are required", len(res.upstreams), r.Min)
	}
	return casched.Reservation{ID: r.ID, Upstreams: res.upstreams, Expires: res.request.Expires}, nil
}

func (s *Scheduler) findReservation(id casched.ReservationID) *reservation {
	for _, r := range s.reservations {
		if r.request.ID == id {
			return r
		}
	}
	return nil
}

// CommitReservation implements casched.Scheduler.
func (s *Scheduler) CommitReservation(id casched.ReservationID, tasks []cawork.TaskRef, now time.Time) error {
	s.expireReservations(now)
	r := s.findReservation(id)
	if r == nil {
		return cakind.New(cakind.KindNotFound, "reservation %s does not exist or has expired", id)
	}
	if len(tasks) > len(r.upstreams) {
		return cakind.New(cakind.KindInvalid, "%d tasks exceed the %d that are reserved", len(tasks), len(r.upstreams))
	}
	s.ReleaseReservation(id, now)
	for i, ref := range tasks {
		s.foreign = append(s.foreign, &task{
			ref: ref, team: r.request.Team, kind: r.request.Kind,
			phase: casched.TaskPhaseOpen, upstream: r.upstreams[i], size: r.request.Size,
		})
	}
	return nil
}

// ReleaseReservation implements casched.Scheduler.
func (s *Scheduler) ReleaseReservation(id casched.ReservationID, _ time.Time) {
	s.reservations = slices.DeleteFunc(s.reservations, func(r *reservation) bool { return r.request.ID == id })
}

// PlaceReserved implements casched.Scheduler.
func (s *Scheduler) PlaceReserved(
	placements []casched.Placement, local casched.ReservationID, now time.Time,
) (casched.Decision, error) {
	s.expireReservations(now)
	if local != "" && s.findReservation(local) == nil {
		return casched.Decision{}, cakind.New(cakind.KindNotFound, "reservation %s does not exist or has expired", local)
	}
	if len(placements) == 0 {
		return casched.Decision{}, cakind.New(cakind.KindInvalid, "no placements")
	}
	j := s.findJob(placements[0].Task.Job)
	if j == nil {
		return casched.Decision{}, cakind.New(cakind.KindConflict, "the job of the placements does not exist")
	}
	var total cawork.Resources
	for _, p := range placements {
		if p.Task.Job != j.ID || j.tasks[p.Task.Index].phase != casched.TaskPhaseQueued {
			return casched.Decision{}, cakind.New(cakind.KindConflict, "task %v is not queued", p.Task)
		}
		total = total.Plus(p.Size)
	}
	if j.Spec.Kind == cawork.WorkKindGang && len(placements) != len(j.nextTasks()) {
		return casched.Decision{}, cakind.New(cakind.KindConflict, "a gang must be placed with all its tasks")
	}
	if !s.teamUse(j.Team).Plus(total).Fits(s.allowance[j.Team]) {
		return casched.Decision{}, cakind.New(cakind.KindLimitReached, "the allowance of the team is exceeded")
	}
	s.ReleaseReservation(local, now)
	for _, p := range placements {
		t := j.tasks[p.Task.Index]
		t.phase, t.upstream, t.size = casched.TaskPhaseOpen, p.Upstream, p.Size
		t.attempts++
	}
	kind := casched.DecisionPlace
	if j.Spec.Kind == cawork.WorkKindGang {
		kind = casched.DecisionPlaceGang
	}
	d := decision(kind, casched.ReasonReservation, j, now)
	d.Placements = placements
	return d, nil
}
