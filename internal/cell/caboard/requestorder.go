package caboard

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/cateam"
)

// longestWaitShare is the fraction of the advisor's time that is for the late steps that have waited for it
// the longest, while it cannot be asked about all steps.
const longestWaitShare = 0.25

// maxRequestCredit bounds the announced time of requests that steps that have waited the longest may send
// at once.
const maxRequestCredit = 500 * time.Millisecond

// requestReservePeriod is how long after a request for a step that is not late beyond use others are expected.
const requestReservePeriod = time.Second

// RequestLimits bounds the approval requests that are in flight, so that the next one is
// chosen as late as possible.
type RequestLimits struct {
	Total int
	// Long bounds those that take an entry long to answer.
	Long int
	// Turns is how much announced time of requests the advisor gets through in a unit of time, and
	// LongTurns that of long ones. Zero means that it is not known.
	Turns, LongTurns float64
}

// SetRequestLimits sets the bounds.
func (b *Planner) SetRequestLimits(s RequestLimits) { b.requestLimits = s }

// approvalRequests returns the approval requests that are due.
func (b *Planner) approvalRequests() []caorder.ApprovalRequest {
	requests := b.requestsOfLongestWaits()
	b.requestsHeldBack = false
	headroom := b.accounts.NewHeadroom()
	for _, s := range b.requestOrder() {
		q, ok := b.queueOf(s.job)
		if !ok || !b.mayRequestApproval(s, q) {
			continue
		}
		if b.pendingRequests >= b.requestLimits.Total {
			b.requestsHeldBack = true
			break
		}
		if s.approvals.requestPending {
			headroom.Claim(s.job.Submission.Team, s.requiredToStart())
			continue
		}
		if !headroom.Admits(s.job.Submission.Team, s.requiredToStart()) {
			continue
		}
		if s.lateness == latenessUseless && b.pendingRequests >= b.uselessRequestLimit() {
			b.requestsHeldBack = true
			continue
		}
		if !s.ready && !b.readySoon(s, q) {
			continue
		}
		if request, ok := b.nextApprovalRequest(s, q); ok {
			requests = append(requests, request)
			headroom.Claim(s.job.Submission.Team, s.requiredToStart())
			b.requestCredit.earn(request)
			b.noteRequest(s)
		}
	}
	return requests
}

// noteRequest records that a request was sent for the step in the order of the steps.
func (b *Planner) noteRequest(s *step) {
	if s.lateness != latenessUseless {
		b.usefulRequestAt = b.now.Monotonic
	}
}

// uselessRequestLimit returns how many requests may be in flight when one is sent for a step that is late
// beyond use. Some are left to other steps: as many while these are requested, one otherwise.
func (b *Planner) uselessRequestLimit() int {
	if b.now.Monotonic.Sub(b.usefulRequestAt) < requestReservePeriod {
		return b.requestLimits.Total / 2
	}
	return max(b.requestLimits.Total-1, 1)
}

// mayRequestApproval reports whether the step has tasks for which approval may be requested.
func (b *Planner) mayRequestApproval(s *step, q caspec.Queue) bool {
	return q.Approval != nil && s.waitingTasks+s.tasksEnding > 0 && !b.isStepHeldBack(s)
}

// requestCredit is how much announced time of requests is due to the steps that have waited the longest,
// for short and long requests, which do not wait for the same entries.
type requestCredit struct{ short, long time.Duration }

func (c *requestCredit) of(isLong bool) *time.Duration {
	if isLong {
		return &c.long
	}
	return &c.short
}

// earn adds the credit for a request that was sent in the order of the steps.
func (c *requestCredit) earn(request caorder.ApprovalRequest) {
	credit := c.of(request.Long)
	earned := time.Duration(longestWaitShare / (1 - longestWaitShare) * float64(request.Cost))
	*credit = min(*credit+earned, maxRequestCredit)
}

// spend takes a request that was sent out of that order off the credit.
func (c *requestCredit) spend(request caorder.ApprovalRequest) { *c.of(request.Long) -= request.Cost }

// requestsOfLongestWaits returns the approval requests that go before those in the order of the steps:
// while not all steps can be asked about, the wait of each must not depend on how many come after it.
func (b *Planner) requestsOfLongestWaits() []caorder.ApprovalRequest {
	if !b.requestsHeldBack {
		b.requestCredit = requestCredit{}
		return nil
	}
	if b.requestCredit.short <= 0 && b.requestCredit.long <= 0 {
		return nil
	}
	var requests []caorder.ApprovalRequest
	headroom := b.accounts.NewHeadroom()
	for _, s := range b.byRequestWait(headroom) {
		q, _ := b.queueOf(s.job)
		if b.pendingRequests >= b.requestLimits.Total {
			break
		}
		if *b.requestCredit.of(b.isLongRequest(q)) <= 0 || !headroom.Admits(s.job.Submission.Team, s.requiredToStart()) {
			continue
		}
		if request, ok := b.nextApprovalRequest(s, q); ok {
			requests = append(requests, request)
			headroom.Claim(s.job.Submission.Team, s.requiredToStart())
			b.requestCredit.spend(request)
		}
	}
	return requests
}

// byRequestWait returns the ready steps without a request in flight that are late, or never are, those first
// that have waited for one the longest. The headroom is claimed for those with one.
func (b *Planner) byRequestWait(headroom cateam.Headroom) []*step {
	var waiting []*step
	for _, s := range b.steps {
		q, ok := b.queueOf(s.job)
		switch {
		case !ok || !b.mayRequestApproval(s, q):
		case s.approvals.requestPending:
			headroom.Claim(s.job.Submission.Team, s.requiredToStart())
		case s.ready && (s.lateness != latenessNone || !s.mayBeLate()):
			waiting = append(waiting, s)
		}
	}
	slices.SortStableFunc(waiting, func(x, y *step) int { return x.requestWaitBegan().Compare(y.requestWaitBegan()) })
	return waiting
}

// requestWaitBegan returns since when the step has waited for a request.
func (s *step) requestWaitBegan() time.Time {
	if s.approvals.lastRequestAt.After(s.readyAt) {
		return s.approvals.lastRequestAt
	}
	return s.readyAt
}

// requestOrder returns the steps in the order of their approval requests: that in which they
// are placed, but for steps with tasks to restart, which come first, and late ones, which come by their
// waits. Room is reserved for steps to restart and of no use to others until the advisor has answered.
func (b *Planner) requestOrder() []*step {
	order := slices.Clone(b.steps)
	slices.SortStableFunc(order, compareRequests)
	return order
}

// compareRequests orders steps that are in the order of their placement by their requests.
func compareRequests(x, y *step) int {
	switch {
	case x.restarts() > 0 != (y.restarts() > 0):
		return compareBool(y.restarts() > 0, x.restarts() > 0)
	case x.lateness != y.lateness:
		return cmp.Compare(x.lateness, y.lateness)
	case x.lateness == latenessNone:
		return 0
	default:
		return x.requestWaitBegan().Compare(y.requestWaitBegan())
	}
}

// readySoon reports whether the earlier steps are expected to end by the time the advisor
// has answered.
func (b *Planner) readySoon(s *step, q caspec.Queue) bool {
	advisorTime := caobjective.AdvisorTime(q)
	for _, earlier := range s.job.steps {
		if earlier.occurrence != s.occurrence || !slices.Contains(s.spec.After, earlier.number) {
			continue
		}
		if earlier.waitingTasks > 0 || !earlier.ready {
			return false
		}
		for _, r := range b.runsOf(earlier) {
			if r.assignedAt.Add(earlier.spec.Estimate).After(b.now.Monotonic.Add(advisorTime)) {
				return false
			}
		}
	}
	return true
}
