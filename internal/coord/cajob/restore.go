package cajob

import (
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// complete adds the maps that are missing because an older program wrote the
// snapshot. It refuses a snapshot with dangling references.
func (s *snapshot) complete() error {
	if s.Account == nil {
		return cakind.New(cakind.KindInvalid, "snapshot has no account")
	}
	if s.Jobs == nil {
		s.Jobs = map[cawork.JobID]*Job{}
	}
	if s.Attempts == nil {
		s.Attempts = map[cawork.AttemptID]*Attempt{}
	}
	if s.HandedTo == nil {
		s.HandedTo = map[cawork.ShardID]int64{}
	}
	if s.HandedFrom == nil {
		s.HandedFrom = map[cawork.ShardID]int64{}
	}
	if err := s.Account.AddMissingMaps(); err != nil {
		return err
	}
	return s.verifyReferences()
}

func (s *snapshot) verifyReferences() error {
	for id, j := range s.Jobs {
		if j == nil || j.Job.ID != id {
			return cakind.New(cakind.KindInvalid, "job %s is empty or has another ID", id)
		}
	}
	for _, id := range s.Ended {
		if s.Jobs[id] == nil {
			return cakind.New(cakind.KindInvalid, "ended job %s is not in the snapshot", id)
		}
	}
	for id, a := range s.Attempts {
		if a == nil || !s.hasTask(a.Task) {
			return cakind.New(cakind.KindInvalid, "attempt %s refers to a task that is not in the snapshot", id)
		}
	}
	return nil
}

func (s *snapshot) hasTask(t cawork.TaskRef) bool {
	j := s.Jobs[t.Job]
	return j != nil && t.Index >= 0 && t.Index < len(j.Tasks)
}
