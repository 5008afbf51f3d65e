package cadecide_test

import (
	"fmt"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// smallStream keeps a cell full of tasks of one core that run 2 s each, from two teams.
type smallStream struct {
	*scenario
	jobs   int
	endsAt map[cawork.TaskRef]time.Time
}

// tick ends what is due, submits more work than fits, and returns what was decided.
func (s *smallStream) tick() []casched.Decision {
	for ref, at := range s.endsAt {
		if !at.After(s.now) {
			s.s.Ended(casched.AttemptEnd{Task: ref, State: cawork.TaskStateDone, Elapsed: 2 * time.Second}, s.now)
			delete(s.endsAt, ref)
		}
	}
	for _, team := range []cawork.TeamName{"north", "south"} {
		s.jobs++
		spec := batchSpec(2, 1)
		spec.RunTime = 2 * time.Second
		s.submit(cawork.JobID(fmt.Sprintf("small-%d", s.jobs)), team, spec)
	}
	decisions := s.decideAfter(100 * time.Millisecond)
	for i, d := range decisions {
		for j, p := range d.Placements {
			if d.Kind == casched.DecisionPlace && p.Size.CPU == cawork.Cores(1) {
				// The ends spread over the upstreams, so that none is empty by chance.
				s.endsAt[p.Task] = s.now.Add(2*time.Second + time.Duration((7*i+3*j)%10)*100*time.Millisecond)
			}
		}
	}
	return decisions
}

// TestLargeTaskStartsDuringSteadySmallWork guards against a task as large as an upstream that
// waits for ever, since smaller tasks, of its own team or of others, take the room of each one
// that ends. Room is reserved for it once it is due, and the tasks there end within 3 s.
func TestLargeTaskStartsDuringSteadySmallWork(t *testing.T) {
	for _, kind := range []cawork.WorkKind{cawork.WorkKindBatch, cawork.WorkKindService} {
		for _, team := range []cawork.TeamName{"east", "south"} {
			t.Run(fmt.Sprintf("%v of team %s", kind, team), func(t *testing.T) {
				large := batchSpec(1, 8)
				large.Kind = kind
				checkStartsWhenDue(t, team, large)
			})
		}
	}
}

// TestGangStartsDuringSmallWorkOfItsTeam guards against the same for a gang.
func TestGangStartsDuringSmallWorkOfItsTeam(t *testing.T) {
	for _, team := range []cawork.TeamName{"east", "south"} {
		t.Run(fmt.Sprintf("of team %s", team), func(t *testing.T) {
			gang := batchSpec(2, 8)
			gang.Kind = cawork.WorkKindGang
			checkStartsWhenDue(t, team, gang)
		})
	}
}

// checkStartsWhenDue checks that a job that is submitted beside the small work of two teams
// starts when it is due.
func checkStartsWhenDue(t *testing.T, team cawork.TeamName, spec cawork.JobSpec) {
	t.Helper()
	const longest = 20 * time.Minute
	policy := casched.DefaultPolicy()
	s := &smallStream{scenario: newScenario(t, policy, 12), endsAt: make(map[cawork.TaskRef]time.Time)}
	for range 100 {
		s.tick()
	}
	s.submit("large", team, spec)
	submitted := s.now
	for s.now.Sub(submitted) < longest && s.countLarge(s.tick()) == 0 {
	}
	waited := s.now.Sub(submitted)
	t.Logf("waited %v", waited)
	kind := policy.Kind(spec.Kind)
	if bound := max(kind.Aging, kind.ReserveAfter) + 15*time.Second; waited > bound {
		t.Errorf("waited %v, want %v at most", waited, bound)
	}
}

func (s *smallStream) countLarge(decisions []casched.Decision) int {
	return countDecisions(decisions, casched.DecisionPlace, "large") + countDecisions(decisions, casched.DecisionPlaceGang, "large")
}
