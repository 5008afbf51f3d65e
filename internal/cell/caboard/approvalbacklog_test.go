package caboard

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// TestApprovalBacklogIsLogged guards against jobs that wait for the advisor and logs that do not tell
// whether it gets through less than was accepted or is asked about others first.
func TestApprovalBacklogIsLogged(t *testing.T) {
	s := newSimulation(t, 6, approvedQueue())
	var log bytes.Buffer
	s.planner.log = zerolog.New(&log)
	s.planner.SetRequestLimits(RequestLimits{Total: 1, Long: 1, Turns: 1, LongTurns: 1})
	s.submit("late", "queue", smallStep(1))
	s.submit("waiting", "queue", smallStep(1))
	s.planner.Plan()
	s.planner.RunMaintenance()
	s.advance(3 * time.Second)
	s.planner.open(submission(0, smallStep(1)), false)
	s.planner.Plan()
	log.Reset()
	s.planner.RunMaintenance()
	got := make(map[string]any)
	for line := range bytes.Lines(log.Bytes()) {
		fields := make(map[string]any)
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		if fields["name"] == "approvals_awaited" {
			got = fields
		}
	}
	want := map[string]any{
		"level": "info", "event": 425.0, "name": "approvals_awaited", "on_time": 1.0, "late": 2.0, "useless": 0.0,
		"longest_on_time": 0.0, "longest_late": 3000.0, "asking": 1.0, "limit": 1.0, "asking_long": 0.0, "limit_long": 1.0,
		"turns": 1.0, "first": 0.0, "first_late": 0.0, "again": 0.0,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the event (-want +got):\n%s", diff)
	}
}
