package caadmission

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// TestForecastDecides checks which jobs a full pool of 100 cores accepts, and when the others
// should come back.
func TestForecastDecides(t *testing.T) {
	backlog := CoreTimeOf(cawork.Cores(85), 2*time.Second, 1)
	tests := map[string]struct {
		forecast   Forecast
		retryAfter time.Duration
	}{
		"in time":                       {Forecast{Capacity: cawork.Cores(100), WorkAhead: backlog, Slack: 3 * time.Second}, 0},
		"too late":                      {Forecast{Capacity: cawork.Cores(100), WorkAhead: backlog, Slack: time.Second}, time.Second},
		"too late after a refusal":      {Forecast{Capacity: cawork.Cores(100), WorkAhead: backlog, Slack: 3 * time.Second}.WithWaited(2 * time.Second), time.Second},
		"beyond the rate of the team":   {Forecast{Capacity: cawork.Cores(100), WorkAhead: backlog, Slack: 5 * time.Second, Excess: true}, time.Second},
		"too late by a little":          {Forecast{Capacity: cawork.Cores(100), WorkAhead: backlog, Slack: 1900 * time.Millisecond}, minRetryAfter},
		"room is free":                  {Forecast{Capacity: cawork.Cores(100), WorkAhead: backlog, Free: cawork.Cores(10), PeakDemand: cawork.Cores(4)}, 0},
		"advisor decides too late":      {Forecast{Capacity: cawork.Cores(100), Free: cawork.Cores(100), ApprovalWait: 3 * time.Second, Slack: 2 * time.Second}, time.Second},
		"advisor decides in time":       {Forecast{Capacity: cawork.Cores(100), Free: cawork.Cores(100), ApprovalWait: 2 * time.Second, Slack: 2 * time.Second}, 0},
		"own queue starts slowly":       {Forecast{Capacity: cawork.Cores(100), QueueWorkAhead: backlog, QueueRate: 17_000, Slack: 9 * time.Second}, time.Second},
		"outage that may end in time":   {Forecast{Outage: time.Second, Slack: 2 * time.Second}, 0},
		"outage for too long":           {Forecast{Outage: 3 * time.Second, Slack: 2 * time.Second}, time.Second},
		"outage without an end":         {Forecast{Outage: time.Hour, Slack: 2 * time.Second}, maxOutageRetryAfter},
		"pool without upstreams so far": {Forecast{WorkAhead: backlog}, 0},
	}
	for name, test := range tests {
		err := test.forecast.CheckWait()
		if diff := cmp.Diff(test.retryAfter, cakind.RetryAfterOf(err)); diff != "" {
			t.Errorf("%s: answer %v, retry delay (-want +got):\n%s", name, err, diff)
		}
	}
}
