package cadispatch

import "github.com/uber-go/tally/v4"

// metrics holds the counters of a dispatcher.
type metrics struct {
	routed   tally.Counter
	refused  tally.Counter
	retried  tally.Counter
	answered tally.Counter
	aborted  tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return metrics{
		routed:   s.Counter("requests_routed"),
		refused:  s.Counter("requests_refused"),
		retried:  s.Counter("requests_retried"),
		answered: s.Counter("requests_answered"),
		aborted:  s.Counter("requests_aborted"),
	}
}
