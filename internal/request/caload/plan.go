// Package caload generates load on a request endpoint. Arrivals follow a
// schedule that does not wait for responses (open loop), and latency is
// measured from the scheduled arrival. This avoids coordinated omission, by
// which the delays of a slow server would be missing from the latencies.
package caload

import (
	"math/rand/v2"
	"net/http"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

const (
	maxRequests    = 10_000_000
	maxDuration    = time.Hour
	maxOutstanding = 16384
)

// Plan describes a load test. The run ends after Duration or Requests,
// whichever comes first.
type Plan struct {
	// URLs are requested in turn.
	URLs   []string
	Header http.Header
	Body   []byte
	// Rate is the mean number of arrivals per second.
	Rate     float64
	Duration time.Duration
	Requests int
	// Warmup is the time at the start in which arrivals are not counted.
	Warmup time.Duration
	// Timeout bounds each request.
	Timeout time.Duration
	// MaxInFlight bounds the requests in progress. An arrival beyond it is
	// counted as unsent.
	MaxInFlight int
	// Uniform spaces arrivals evenly. Otherwise they follow a Poisson process.
	Uniform bool
	// Seed makes the schedule of arrivals reproducible.
	Seed uint64
}

// Check returns an error of KindInvalid if the plan is not valid.
func (p Plan) Check() error {
	switch {
	case len(p.URLs) == 0:
		return cakind.New(cakind.KindInvalid, "a URL is required")
	case p.Rate <= 0:
		return cakind.New(cakind.KindInvalid, "the rate must be positive")
	case p.Duration <= 0 || p.Duration > maxDuration:
		return cakind.New(cakind.KindInvalid, "the duration must be positive and at most %s", maxDuration)
	case p.Requests <= 0 || p.Requests > maxRequests:
		return cakind.New(cakind.KindInvalid, "the number of requests must be positive and at most %d", maxRequests)
	case p.MaxInFlight <= 0 || p.MaxInFlight > maxOutstanding:
		return cakind.New(cakind.KindInvalid, "the number of requests in progress must be positive and at most %d", maxOutstanding)
	case p.Timeout <= 0:
		return cakind.New(cakind.KindInvalid, "the timeout must be positive")
	}
	return nil
}

// schedule generates the times of arrivals as offsets from the start.
type schedule struct {
	plan   Plan
	random *rand.Rand
	offset time.Duration
	count  int
}

func newSchedule(p Plan) *schedule {
	return &schedule{plan: p, random: rand.New(rand.NewPCG(p.Seed, p.Seed))}
}

// nextArrival returns the offset of the next arrival, and false at the end of
// the schedule.
func (s *schedule) nextArrival() (time.Duration, bool) {
	gap := 1 / s.plan.Rate
	if !s.plan.Uniform {
		gap *= s.random.ExpFloat64()
	}
	s.offset += time.Duration(gap * float64(time.Second))
	s.count++
	return s.offset, s.offset <= s.plan.Duration && s.count <= s.plan.Requests
}
