package cajob

import (
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// complete makes the maps that the program which wrote the snapshot did not
// have, and refuses one whose parts do not refer to each other.
func (s *snapshot) complete() error {
	if s.Account == nil {
		return cakind.New(cakind.KindInvalid, "snapshot without an account")
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
	if err := s.Account.Complete(); err != nil {
		return err
	}
	return s.verify()
}

func (s *snapshot) verify() error {
	for id, j := range s.Jobs {
		if j == nil || j.Job.ID != id {
			return cakind.New(cakind.KindInvalid, "job %s has no body of its own", id)
		}
	}
	for _, id := range s.Ended {
		if s.Jobs[id] == nil {
			return cakind.New(cakind.KindInvalid, "ended job %s is not in the snapshot", id)
		}
	}
	for id, a := range s.Attempts {
		if a == nil || !s.has(a.Task) {
			return cakind.New(cakind.KindInvalid, "attempt %s is of no task of the snapshot", id)
		}
	}
	return nil
}

func (s *snapshot) has(t cawork.TaskRef) bool {
	j := s.Jobs[t.Job]
	return j != nil && t.Index >= 0 && t.Index < len(j.Tasks)
}
