package caleader

import (
	"sync"
	"time"
)

// startLatency tracks the mean latency of starts and the number in flight.
type startLatency struct {
	mu       sync.Mutex
	mean     time.Duration
	inFlight int
}

// addInFlight adds starts that are about to be sent.
func (s *startLatency) addInFlight(starts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += starts
}

// timeout returns the timeout of a start. It is a multiple of the mean latency, so
// that a lost answer is detected soon, and grows with the number of starts in
// flight, so that none times out only because the leader or the upstreams are
// slow.
func (s *startLatency) timeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	byMean := max(startTimeoutFactor*s.mean, minStartTimeout)
	return min(byMean+time.Duration(s.inFlight)*startTimeoutPerInFlight, maxStartTimeout)
}

// observe records that a start was answered or timed out after the given time.
func (s *startLatency) observe(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.mean += time.Duration(startLatencyWeight * float64(took-s.mean))
}
