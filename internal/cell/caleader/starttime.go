package caleader

import (
	"sync"
	"time"
)

// startTimes keeps the mean time of starts and how many are under way.
type startTimes struct {
	mu       sync.Mutex
	mean     time.Duration
	underWay int
}

// expect notes that so many starts begin now.
func (s *startTimes) expect(starts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underWay += starts
}

// begin returns how long a start may take: several times the mean, so that one
// whose answer is lost is noticed soon, and more while many are under way, so
// that none is given up since the leader or the upstreams are slow.
func (s *startTimes) begin() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := max(startTimeoutTimes*s.mean, startTimeoutLeast)
	return min(usual+time.Duration(s.underWay)*startTimeoutEach, startTimeoutMost)
}

// end notes that a start was answered or given up after the time.
func (s *startTimes) end(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underWay--
	s.mean += time.Duration(startTimeWeight * float64(took-s.mean))
}
