package cajob

import (
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// checkCounts checks the job counts after each record and snapshot. It takes
// constant time, while Verify checks the whole state.
func (s *State) checkCounts() error {
	if s.openCount < 0 || len(s.endedJobs) > len(s.jobs) {
		return cakind.New(cakind.KindInternal, "shard %s: %d open jobs, %d ended jobs of %d in total",
			s.shard, s.openCount, len(s.endedJobs), len(s.jobs))
	}
	return nil
}

// Verify checks every invariant of the state: each open attempt is the open one
// of its task, no task has two, and the charges of each team equal those of its
// open attempts.
func (s *State) Verify() error {
	for id, a := range s.attempts {
		j, ok := s.jobs[a.Task.Job]
		if !ok || j.Tasks[a.Task.Index].Open != id {
			return cakind.New(cakind.KindInternal, "attempt %s is not the open attempt of task %v", id, a.Task)
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
			return cakind.New(cakind.KindInternal, "team %s is charged %v, but its open attempts take %v", team, b.Charged, charged[team])
		}
	}
	return nil
}
