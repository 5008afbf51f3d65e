package cagate

import (
	"maps"
	"slices"
	"sync"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// jobSet is a set of jobs that the callers of a cell, its upstreams and its test share.
type jobSet struct {
	mu  sync.Mutex
	ids map[cawork.JobID]struct{}
}

// Add adds a job.
func (s *jobSet) Add(id cawork.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = make(map[cawork.JobID]struct{})
	}
	s.ids[id] = struct{}{}
}

// Remove removes a job.
func (s *jobSet) Remove(id cawork.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

// Has reports whether a job is in the set.
func (s *jobSet) Has(id cawork.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.ids[id]
	return ok
}

// Len returns the number of jobs.
func (s *jobSet) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}

// Sorted returns the jobs as they are now, sorted.
func (s *jobSet) Sorted() []cawork.JobID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.ids))
}
