package caboard

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// slowPath is a planner whose requests to the advisor take long on their way, so that fewer get through than
// the advisor could decide about.
type slowPath struct {
	*simulation
	slots   int
	latency time.Duration
	pending []pendingAnswer
	waits   map[cawork.JobID]time.Duration
}

// pendingAnswer is an answer that is on its way.
type pendingAnswer struct {
	due     time.Time
	request caorder.ApprovalRequest
}

func newSlowPath(t *testing.T, slots int, latency time.Duration) *slowPath {
	p := &slowPath{simulation: newSimulation(t, 12, approvedQueue()), slots: slots, latency: latency, waits: make(map[cawork.JobID]time.Duration)}
	p.planner.SetRequestLimits(RequestLimits{Total: slots, Long: slots, Turns: float64(slots), LongTurns: float64(slots)})
	return p
}

// tick lets a short time pass, in which requests are sent and answers arrive.
func (p *slowPath) tick() {
	for _, request := range p.planner.Plan().ApprovalRequests {
		if _, asked := p.waits[request.Job]; !asked {
			p.waits[request.Job] = p.planner.age(p.planner.jobs[request.Job])
		}
		p.pending = append(p.pending, pendingAnswer{due: p.now.Add(p.latency), request: request})
	}
	p.completeRuns()
	p.advance(10 * time.Millisecond)
	for len(p.pending) > 0 && !p.pending[0].due.After(p.now) {
		p.approveAll([]caorder.ApprovalRequest{p.pending[0].request})
		p.pending = p.pending[1:]
	}
}

// run submits jobs at a rate for the duration, without those that are refused, and returns how many
// were accepted and refused.
func (p *slowPath) run(rate float64, duration time.Duration) (accepted, refused int) {
	began := p.now
	for p.now.Sub(began) < duration {
		for float64(accepted+refused) < rate*p.now.Sub(began).Seconds() {
			job := submission(accepted+refused, smallStep(1))
			if _, err := p.planner.Submit(job); err != nil {
				refused++
				continue
			}
			accepted++
		}
		p.tick()
	}
	return accepted, refused
}

// TestMoreIsAcceptedThanAdvisorApproves guards against jobs that are accepted since the advisor should have
// time for them by its terms, while their requests take so long on their way that not all can be sent.
func TestMoreIsAcceptedThanAdvisorApproves(t *testing.T) {
	const (
		slots    = 4
		latency  = 400 * time.Millisecond
		capacity = 10.0
		loadTime = 30 * time.Second
	)
	p := newSlowPath(t, slots, latency)
	accepted, refused := p.run(1.5*capacity, loadTime)
	slack := caobjective.SlackOf(approvedQueue(), []caspec.Step{smallStep(1)})
	late := 0
	for _, wait := range p.waits {
		if wait > 2*slack {
			late++
		}
	}
	unasked := accepted - len(p.waits)
	if late > 0 || float64(unasked) > 2*slack.Seconds()*capacity {
		t.Errorf("of %d accepted jobs, %d refused, the advisor was asked about %d after more than %v and not about %d", accepted, refused, late, 2*slack, unasked)
	}
	if least := 0.9 * capacity * loadTime.Seconds(); float64(accepted) < least {
		t.Errorf("%d jobs were accepted, %d refused, want at least %.0f", accepted, refused, least)
	}
}

// TestSlowPathRefusesNobodyInVain guards against jobs that are refused though all requests are sent in time.
func TestSlowPathRefusesNobodyInVain(t *testing.T) {
	const capacity = 10.0
	p := newSlowPath(t, 4, 400*time.Millisecond)
	if accepted, refused := p.run(0.8*capacity, 30*time.Second); refused > 0 {
		t.Errorf("%d jobs were refused and %d accepted", refused, accepted)
	}
}
