package caleader

import (
	"sync"
	"time"
)

// startTimes keeps the mean time of the starts that were answered.
type startTimes struct {
	mu   sync.Mutex
	mean time.Duration
}

// note counts a start that was answered after the time.
func (s *startTimes) note(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mean += time.Duration(startTimeWeight * float64(took-s.mean))
}

// timeout returns how long a start may take: several times the mean, so that
// one whose answer is lost is noticed soon, and none is given up since the
// leader or the upstreams are slow.
func (s *startTimes) timeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(startTimeoutTimes*s.mean, startTimeoutLeast), startTimeoutMost)
}
