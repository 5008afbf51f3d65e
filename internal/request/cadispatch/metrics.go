package cadispatch

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// metrics holds the metrics of a dispatcher.
type metrics struct {
	scope    tally.Scope
	routed   tally.Counter
	refused  tally.Counter
	retried  tally.Counter
	answered tally.Counter
	aborted  tally.Counter
	queued   tally.Gauge
	slots    tally.Gauge
	memory   tally.Gauge
	// teams maps a team to its metrics.
	teams *sync.Map
}

// teamMetrics holds the metrics of one team.
type teamMetrics struct {
	// wait is the time from the arrival of a request until it gets a slot.
	wait tally.Timer
	// latency is the time from the arrival of a request until its response is
	// complete.
	latency tally.Timer
	// slotTime counts the time for which slots were occupied, in microseconds.
	slotTime tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return metrics{
		scope:    s,
		routed:   s.Counter("requests_routed"),
		refused:  s.Counter("requests_refused"),
		retried:  s.Counter("requests_retried"),
		answered: s.Counter("requests_answered"),
		aborted:  s.Counter("requests_aborted"),
		queued:   s.Gauge("requests_queued"),
		slots:    s.Gauge("request_slots_in_use"),
		memory:   s.Gauge("request_memory_bytes"),
		teams:    &sync.Map{},
	}
}

// team returns the metrics of a team, which it creates on first use.
func (m *metrics) team(name cawork.TeamName) *teamMetrics {
	if t, ok := m.teams.Load(name); ok {
		return t.(*teamMetrics)
	}
	s := m.scope.Tagged(map[string]string{"team": string(name)})
	t, _ := m.teams.LoadOrStore(name, &teamMetrics{
		wait:     s.Timer("request_wait"),
		latency:  s.Timer("request_latency"),
		slotTime: s.Counter("request_slot_us"),
	})
	return t.(*teamMetrics)
}
