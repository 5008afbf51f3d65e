package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/cell/caadmission"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// approvalBacklog is what the advisor is asked about before a new job of a queue, as of a plan and a number
// of open steps: the requests in the order of the steps, and those for late steps, which get
// longestWaitShare at most.
type approvalBacklog struct {
	plan          int64
	steps         int
	inOrder, late requestLoad
}

// requestLoad is what a number of requests take.
type requestLoad struct {
	// announced is how long the advisor works on them by its terms.
	announced time.Duration
	// unsent counts those that are not sent, and inFlight is how long they are expected to be in flight
	// together, as far as they wait for the same entries.
	unsent   int
	inFlight time.Duration
	// pending counts those that are in flight for the same entries, and pendingAge is how long they have
	// been together.
	pending    int
	pendingAge time.Duration
}

// expectedInFlight returns how long the requests that are not sent are expected to be in flight together:
// as long as others before, but no shorter than those that are in flight now.
func (l requestLoad) expectedInFlight() time.Duration {
	if l.pending == 0 {
		return l.inFlight
	}
	return max(l.inFlight, time.Duration(l.unsent)*l.pendingAge/time.Duration(l.pending))
}

// expectedApprovalWait returns how long a new job of the queue is expected to wait for the advisor. It changes
// with each plan and each job.
func (b *Planner) expectedApprovalWait(q caspec.Queue, excess bool) time.Duration {
	if q.Approval == nil {
		return 0
	}
	backlog := &b.statsOf(q.Name).approvalBacklog
	if excess {
		backlog = &b.statsOf(q.Name).excessApprovalBacklog
	}
	if backlog.plan != b.plans || backlog.steps != len(b.steps) {
		*backlog = b.approvalBacklogBefore(q, excess)
	}
	wait := b.sendingTime(*backlog, b.isLongRequest(q))
	if wait > 0 {
		wait += b.statsOf(q.Name).requestDelay.Value(b.now.Monotonic)
	}
	return max(wait, b.advisorTime(*backlog, b.isLongRequest(q)))
}

// withLate returns what requests in order take together with late ones, which take a share of the time
// until those in order are through.
func withLate(inOrder, late time.Duration) time.Duration {
	return inOrder + min(late, time.Duration(longestWaitShare/(1-longestWaitShare)*float64(inOrder)))
}

// advisorTime returns how long the advisor works on the backlog.
func (b *Planner) advisorTime(backlog approvalBacklog, isLong bool) time.Duration {
	turns := b.requestLimits.Turns
	if isLong {
		turns = b.requestLimits.LongTurns
	}
	if turns <= 0 {
		return 0
	}
	// Repeated requests are sent in between.
	turns *= b.firstShareOf(isLong)
	return time.Duration(float64(withLate(backlog.inOrder.announced, backlog.late.announced)) / turns)
}

// sendingTime returns how long it takes until the backlog is sent, given how many requests may be in flight
// and how long they are in flight.
func (b *Planner) sendingTime(backlog approvalBacklog, isLong bool) time.Duration {
	slots, pending := b.requestLimits.Total-b.pendingLongRequests, b.pendingRequests-b.pendingLongRequests
	if isLong {
		slots, pending = b.requestLimits.Long, b.pendingLongRequests
	}
	if slots <= 0 || backlog.inOrder.unsent == 0 {
		return 0
	}
	// The first ones are sent at once.
	waiting := max(backlog.inOrder.unsent-max(slots-pending, 0), 0)
	inOrder := time.Duration(float64(backlog.inOrder.expectedInFlight()) * float64(waiting) / float64(backlog.inOrder.unsent))
	return withLate(inOrder, backlog.late.expectedInFlight()) / time.Duration(slots)
}

// approvalBacklogBefore sums up the steps that the advisor has not decided about and that start within the
// limits of their teams. Long requests do not count for a queue with short ones, for which some entries
// are kept free.
func (b *Planner) approvalBacklogBefore(q caspec.Queue, excess bool) approvalBacklog {
	backlog := approvalBacklog{plan: b.plans, steps: len(b.steps)}
	isLong := b.isLongRequest(q)
	headroom := b.accounts.NewHeadroom()
	for _, s := range b.steps {
		sq, ok := b.queueOf(s.job)
		if !ok || !s.ready || s.waitingTasks == 0 || !s.awaitsAdvisor(sq) || b.isLongRequest(sq) && !isLong {
			continue
		}
		if s.lateness == latenessNone && !s.goesBefore(q, excess) || !headroom.Fits(s.job.Submission.Team, s.requiredToStart()) || b.isStepHeldBack(s) {
			continue
		}
		headroom.Claim(s.job.Submission.Team, s.requiredToStart())
		load := &backlog.inOrder
		if s.lateness != latenessNone {
			load = &backlog.late
		}
		b.addRequest(load, s, sq, isLong)
	}
	return backlog
}

// addRequest adds the first request of a step to those before a new job of a queue with long or short
// requests.
func (b *Planner) addRequest(load *requestLoad, s *step, q caspec.Queue, isLong bool) {
	stats := b.statsOf(q.Name)
	announced := q.Approval.Cost(requestSize(s, stats.approvalRate))
	load.announced += announced
	switch {
	case b.isLongRequest(q) != isLong:
	case s.approvals.requestPending:
		load.pending++
		load.pendingAge += b.now.Monotonic.Sub(s.approvals.lastRequestAt)
	case stats.requestDelay.IsKnown():
		load.unsent++
		load.inFlight += announced + stats.requestDelay.Value(b.now.Monotonic)
	default:
		load.unsent++
	}
}

// InheritRequestDelay sets how much longer than announced the approval requests of the leader before were in
// flight on average. It is called before the first request.
func (b *Planner) InheritRequestDelay(mean time.Duration) { b.inheritedRequestDelay = mean }

// meanRequestDelay returns how much longer than announced approval requests are in flight on average, that of
// the leader before until there was a job.
func (b *Planner) meanRequestDelay() time.Duration {
	if len(b.queues) == 0 {
		return b.inheritedRequestDelay
	}
	return caadmission.MeanOf(b.now.Monotonic, func(yield func(*caadmission.RequestDelay) bool) {
		for _, stats := range b.queues {
			if !yield(&stats.requestDelay) {
				return
			}
		}
	})
}

// observeRequest records how long a request for the step was in flight.
func (b *Planner) observeRequest(s *step, request caorder.ApprovalRequest) {
	delay := b.now.Monotonic.Sub(s.approvals.lastRequestAt) - request.Cost
	b.statsOf(s.job.Submission.Queue).requestDelay.Add(b.now.Monotonic, request.Cost, delay)
}
