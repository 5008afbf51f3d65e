package caleader

import (
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/calatency"
)

// startLatency tracks the latency of starts and the number in flight.
type startLatency struct {
	typical *calatency.Quantile

	mu       sync.Mutex
	mean     time.Duration
	inFlight int
}

func newStartLatency() *startLatency {
	return &startLatency{typical: calatency.NewQuantile(calatency.Bounds{Min: minSlowStartTimeout, Max: maxSlowStartTimeout})}
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
// slow. Where most starts take long it follows them, up to maxSlowStartTimeout: a start that
// is given up may be carried out all the same, and has to be stopped.
func (s *startLatency) timeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	byMean := max(startTimeoutFactor*s.mean, minStartTimeout)
	usual := min(byMean+time.Duration(s.inFlight)*startTimeoutPerInFlight, maxStartTimeout)
	return max(usual, s.typical.Timeout())
}

// observe records that a start was answered or timed out after the given time.
func (s *startLatency) observe(took time.Duration) {
	s.typical.Observe(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.mean += time.Duration(startLatencyWeight * float64(took-s.mean))
}
