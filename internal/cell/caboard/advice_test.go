package caboard

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// naiveApprovals keeps the answers of the advisor by the ids of the upstreams.
type naiveApprovals struct {
	decided map[cawork.UpstreamID]int64
	tickets map[cawork.UpstreamID]naiveTicket
}

type naiveTicket struct {
	born    int64
	value   string
	expires time.Time
}

// advisedUpstream is what a step may use of an upstream.
type advisedUpstream struct {
	Upstream            cawork.UpstreamID
	IsDecided, Approved bool
	Ticket              string
}

func (n naiveApprovals) of(u *upstream, now time.Time) advisedUpstream {
	born, ok := n.decided[u.info.ID]
	advised := advisedUpstream{Upstream: u.info.ID, IsDecided: ok && born == u.info.Incarnation}
	t, ok := n.tickets[u.info.ID]
	advised.Approved = ok && t.born == u.info.Incarnation
	if advised.Approved && !now.Add(minTicketMargin).After(t.expires) {
		advised.Ticket = t.value
	}
	return advised
}

// TestAnswersFollowTheirUpstreams guards against answers that are taken for those about another upstream,
// which got the slot of one that left, or that are lost while an upstream is away for less than a minute.
func TestAnswersFollowTheirUpstreams(tb *testing.T) {
	rapid.Check(tb, func(t *rapid.T) {
		s := newSimulation(tb, 3, approvedQueue())
		s.planner.open(submission(1, smallStep(3)), false)
		step := s.planner.steps[0]
		naive := naiveApprovals{decided: make(map[cawork.UpstreamID]int64), tickets: make(map[cawork.UpstreamID]naiveTicket)}
		listedAt := make(map[cawork.UpstreamID]time.Time)
		for round := range 30 {
			var list []caspec.Upstream
			for i := range 12 {
				if rapid.Bool().Draw(t, "listed") {
					id := cawork.UpstreamID(fmt.Sprintf("up-%02d", i))
					list = append(list, caspec.Upstream{ID: id, Address: "a", Pool: "pool", Incarnation: rapid.Int64Range(1, 2).Draw(t, "born"), Capacity: cawork.Resources{CPU: 16000}})
				}
			}
			s.advance(rapid.SampledFrom([]time.Duration{time.Second, 20 * time.Second, 2 * caroom.Retention}).Draw(t, "pause"))
			s.planner.SetUpstreams(list)
			naive.forget(s.planner, listedAt, list, s.now)
			s.checkAnswers(t, step, naive)
			request := caorder.ApprovalRequest{Job: step.job.Submission.ID}
			var approved []caorder.Approval
			for _, u := range s.planner.sortedUpstreams {
				if !rapid.Bool().Draw(t, "asked") {
					continue
				}
				request.Upstreams = append(request.Upstreams, u.info.ID)
				naive.decided[u.info.ID] = u.info.Incarnation
				if rapid.Bool().Draw(t, "approved") {
					value := fmt.Sprintf("%s in round %d", u.info.ID, round)
					approved = append(approved, caorder.Approval{Upstream: u.info.ID, Ticket: value})
					naive.tickets[u.info.ID] = naiveTicket{born: u.info.Incarnation, value: value, expires: s.now.Add(2500 * time.Millisecond)}
				}
			}
			if len(request.Upstreams) > 0 {
				s.planner.pendingRequests++
				s.planner.ApplyAdvice(request, approved, true)
			}
			for _, u := range s.planner.sortedUpstreams {
				if rapid.IntRange(0, 9).Draw(t, "expires") > 0 {
					continue
				}
				step.approvals.answers.Expire(u.slot)
				if ticket, ok := naive.tickets[u.info.ID]; ok {
					ticket.expires = time.Time{}
					naive.tickets[u.info.ID] = ticket
				}
			}
			s.checkAnswers(t, step, naive)
		}
	})
}

// forget drops the answers about upstreams that left long ago, as the planner does.
func (n naiveApprovals) forget(b *Planner, listedAt map[cawork.UpstreamID]time.Time, list []caspec.Upstream, now time.Time) {
	for _, u := range list {
		listedAt[u.ID] = now
	}
	for id, at := range listedAt {
		if _, isPresent := b.upstreams[id]; !isPresent && now.Sub(at) > caroom.Retention {
			delete(n.decided, id)
			delete(n.tickets, id)
		}
	}
}

// checkAnswers compares what the step may use with the naive form.
func (s *simulation) checkAnswers(t *rapid.T, step *step, naive naiveApprovals) {
	var want, got []advisedUpstream
	tickets := 0
	for _, u := range s.planner.sortedUpstreams {
		want = append(want, naive.of(u, s.now))
		value, _ := s.planner.validTicket(step, u, s.now)
		got = append(got, advisedUpstream{Upstream: u.info.ID, IsDecided: step.approvals.isDecided(u), Approved: step.approvals.isApproved(u), Ticket: value})
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("answers (-want +got):\n%s", diff)
	}
	for _, ticket := range step.approvals.answers.Tickets() {
		if u := s.planner.bySlot[ticket.Place.Slot]; u != nil {
			tickets++
			if _, ok := naive.tickets[u.info.ID]; !ok {
				t.Fatalf("the step has a ticket for upstream %s", u.info.ID)
			}
		}
	}
	for id := range naive.tickets {
		if _, isPresent := s.planner.upstreams[id]; isPresent {
			tickets--
		}
	}
	if tickets != 0 {
		t.Fatalf("%d tickets too many", tickets)
	}
}
