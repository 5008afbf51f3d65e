package canaive

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// Free implements casched.Scheduler.
func (s *Scheduler) Free() cawork.Resources {
	var sum cawork.Resources
	for _, u := range s.upstreams {
		if !u.Leaving {
			free, _, _ := s.freeOn(u)
			sum = sum.Plus(free)
		}
	}
	return sum
}

// Capacity implements casched.Scheduler.
func (s *Scheduler) Capacity() cawork.Resources {
	var sum cawork.Resources
	for _, u := range s.upstreams {
		if !u.Leaving {
			sum = sum.Plus(u.Capacity)
		}
	}
	return sum
}

// TeamUses implements casched.Scheduler.
func (s *Scheduler) TeamUses() []casched.TeamUse {
	var names []cawork.TeamName
	for _, t := range s.openTasks() {
		if t.job != nil && !slices.Contains(names, t.team) {
			names = append(names, t.team)
		}
	}
	slices.SortFunc(names, func(a, b cawork.TeamName) int { return cmp.Compare(a, b) })
	var out []casched.TeamUse
	for _, n := range names {
		out = append(out, casched.TeamUse{Team: n, Use: s.teamUse(n)})
	}
	return out
}

// QueueLength implements casched.Scheduler.
func (s *Scheduler) QueueLength(team cawork.TeamName, k cawork.WorkKind) int {
	n := 0
	for _, j := range s.jobs {
		if j.Team != team || j.Spec.Kind != k {
			continue
		}
		for _, t := range j.tasks {
			if t.phase == casched.TaskPhaseQueued {
				n++
			}
		}
	}
	return n
}

// LargestFree implements casched.Scheduler.
func (s *Scheduler) LargestFree(c cawork.Constraints) cawork.Resources {
	var largest cawork.Resources
	total := s.Capacity()
	for _, u := range s.upstreams {
		if u.Leaving || !u.Admits(c) {
			continue
		}
		if free, _, _ := s.freeOn(u); free.DominantShare(total) > largest.DominantShare(total) {
			largest = free
		}
	}
	return largest
}

// UnplacedJobs implements casched.Scheduler.
func (s *Scheduler) UnplacedJobs(limit int, now time.Time) []casched.UnplacedJob {
	var out []casched.UnplacedJob
	for _, j := range s.jobs {
		tasks := j.nextTasks()
		headroom := s.allowance[j.Team].Minus(s.teamUse(j.Team))
		if len(tasks) == 0 || len(out) == limit || !j.Spec.Size.Times(int64(len(tasks))).Fits(headroom) {
			continue
		}
		u := casched.UnplacedJob{
			Job: j.ID, Team: j.Team, Kind: j.Spec.Kind, Size: j.Spec.Size, RunTime: j.Spec.RunTime,
			Constraints: j.Spec.Constraints, Waited: now.Sub(j.Accepted),
		}
		for _, t := range tasks {
			u.Tasks = append(u.Tasks, t.ref)
		}
		out = append(out, u)
	}
	return out
}

// Check implements casched.Scheduler.
func (s *Scheduler) Check() error {
	for _, u := range s.upstreams {
		free, _, _ := s.freeOn(u)
		if free.IsNegative() {
			return casched.Violationf(casched.InvariantNoOvercommit, "upstream %s has a negative free capacity: %v", u.ID, free)
		}
	}
	seen := map[cawork.TaskRef]bool{}
	for _, t := range s.openTasks() {
		if seen[t.ref] {
			return casched.Violationf(casched.InvariantPlacedOnce, "task %v is open twice", t.ref)
		}
		seen[t.ref] = true
	}
	return nil
}
