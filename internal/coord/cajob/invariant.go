package cajob

import (
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// check asserts the invariants that a record may have touched. It only
// compares counts; Verify goes over the whole state.
func (s *State) check() error {
	if s.open < 0 || len(s.ended) > len(s.jobs) {
		return cakind.New(cakind.KindInternal, "shard %s: %d open jobs, %d ended of %d",
			s.shard, s.open, len(s.ended), len(s.jobs))
	}
	return nil
}

// Verify asserts every invariant of the state: each open attempt is the one
// of its task, no task has two, and the charges equal those of the attempts.
func (s *State) Verify() error {
	for id, a := range s.attempts {
		j, ok := s.jobs[a.Task.Job]
		if !ok || j.Tasks[a.Task.Index].Open != id {
			return cakind.New(cakind.KindInternal, "attempt %s is not the open one of task %v", id, a.Task)
		}
	}
	open := 0
	for _, j := range s.jobs {
		for i := range j.Tasks {
			if j.Tasks[i].Open != "" {
				open++
			}
		}
	}
	if open != len(s.attempts) {
		return cakind.New(cakind.KindInternal, "%d tasks have an open attempt, %d attempts are open", open, len(s.attempts))
	}
	if err := s.verifyCharges(); err != nil {
		return err
	}
	return s.account.Verify()
}

func (s *State) verifyCharges() error {
	charged := map[cawork.TeamName]cawork.Resources{}
	for _, a := range s.attempts {
		charged[a.Team] = charged[a.Team].Plus(a.Charge)
	}
	for team, b := range s.account.Teams {
		if b.Charged != charged[team] {
			return cakind.New(cakind.KindInternal, "team %s is charged %v for attempts of %v", team, b.Charged, charged[team])
		}
	}
	return nil
}
