package caboard

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// While more is asked than the advisor gets through, its time goes to requests that are likely to bring starts.
// Most repeated requests of a full cell bring none: the room that they were sent for is taken before the answer
// comes, above all for gangs, which need much of it at once. Each request without a start therefore doubles
// the time until the step is asked about again, unless the approved upstreams have room to spare.

const (
	// scarceShare is the fraction of the requests that may be in flight from which on the time of the advisor
	// is scarce.
	scarceShare = 0.75
	// maxRequestBackoff bounds the time until a step is asked about again, and maxFruitless how often
	// that is doubled.
	maxRequestBackoff = 6 * time.Second
	maxFruitless      = 6
	// spareRoomShare is how many times over a gang must fit on its approved upstreams now for another
	// request not to wait.
	spareRoomShare = 1.25
	// firstShareTimeConstant is the time constant of the share of first requests, and minFirstShare a lower
	// bound of it.
	firstShareTimeConstant = 4 * time.Second
	minFirstShare          = 0.25
)

// isAdvisorScarce reports whether about as many requests of the kind are in flight as may be.
func (b *Planner) isAdvisorScarce(isLong bool) bool {
	if isLong {
		return float64(b.pendingLongRequests) >= scarceShare*float64(b.requestLimits.Long)
	}
	return float64(b.pendingRequests-b.pendingLongRequests) >= scarceShare*float64(b.requestLimits.Total-b.requestLimits.Long)
}

// mayRequestAgain reports whether approval may be requested for a step as far as its earlier requests are
// concerned.
func (b *Planner) mayRequestAgain(s *step, q caspec.Queue) bool {
	a := &s.approvals
	if !a.hasAnswer || s.restarts() > 0 || s.hasReserved() || !b.isAdvisorScarce(b.isLongRequest(q)) {
		return true
	}
	if b.approvedPlaces(s) < caroom.AtOnce(s.spec) {
		// It cannot run before more upstreams are approved, however much room there is.
		return true
	}
	fruitless := a.fruitlessRequests(s.starts)
	if fruitless == 0 {
		return true
	}
	backoff := min(a.lastCost<<min(fruitless, maxFruitless), maxRequestBackoff)
	return b.now.Monotonic.Sub(a.lastRequestAt) >= backoff || s.spec.Gang && b.hasSpareRoom(s)
}

// requestSizeFor returns how many upstreams to request for the waiting tasks of a step: fewer while the advisor is
// short of time, by how many tasks fit on one upstream of the pool.
func (b *Planner) requestSizeFor(s *step, q caspec.Queue, p *poolPlan) int {
	rate := b.statsOf(q.Name).approvalRate
	usual := requestSize(s, rate)
	if !b.isAdvisorScarce(b.isLongRequest(q)) {
		return usual
	}
	perUpstream := max(caroom.TasksIn(p.maxCapacity, s.spec)/2, caroom.TasksIn(typicalFree, s.spec), 1)
	upstreams := float64(s.waitingTasks+s.tasksEnding)/float64(perUpstream) + 1
	n := int(math.Ceil(requestSpareFactor * upstreams / max(rate, 0.1)))
	return min(max(n, minRequestUpstreams), usual)
}

// hasSpareRoom reports whether the approved upstreams have room for a gang and more now.
func (b *Planner) hasSpareRoom(s *step) bool {
	slots := 0
	for _, t := range s.approvals.answers.Tickets() {
		if u := b.bySlot[t.Place.Slot]; u != nil && u.available && !u.isReservedForGang() && s.approvals.isApproved(u) {
			slots += caroom.TasksIn(u.free(), s.spec)
		}
	}
	return float64(slots) >= spareRoomShare*float64(s.spec.Tasks)
}

// approvedPlaces returns how many tasks of a step fit on its approved upstreams when these are empty.
func (b *Planner) approvedPlaces(s *step) int {
	places := 0
	for _, t := range s.approvals.answers.Tickets() {
		if u := b.bySlot[t.Place.Slot]; u != nil && u.available && s.approvals.isApproved(u) {
			places += caroom.TasksIn(u.info.Capacity, s.spec)
		}
	}
	return places
}

// fruitlessRequests returns how many requests in a row brought no start, given how many there were.
func (a *approvals) fruitlessRequests(starts int) int {
	if starts > a.startsBefore {
		return 0
	}
	return a.fruitless + 1
}

// noteCost records a request for the step, and how much of the advisor's time goes to first ones.
func (b *Planner) noteCost(s *step, request caorder.ApprovalRequest) {
	a := &s.approvals
	if a.hasAnswer {
		a.fruitless = a.fruitlessRequests(s.starts)
	}
	a.startsBefore, a.lastCost = s.starts, request.Cost
	share := &b.firstShares.short
	if request.Long {
		share = &b.firstShares.long
	}
	share.add(b.now.Monotonic, request.Cost, !a.hasAnswer)
}

// firstShares are the shares of the time of the advisor that go to first requests of steps, of short and of long
// ones.
type firstShares struct{ short, long firstShare }

// firstShare is a decaying sum of what requests cost, and of the part of the first ones.
type firstShare struct {
	all, first time.Duration
	decayedAt  time.Time
}

func (f *firstShare) add(now time.Time, cost time.Duration, isFirst bool) {
	if !f.decayedAt.IsZero() {
		keep := math.Exp(-now.Sub(f.decayedAt).Seconds() / firstShareTimeConstant.Seconds())
		f.all, f.first = time.Duration(keep*float64(f.all)), time.Duration(keep*float64(f.first))
	}
	f.decayedAt = now
	f.all += cost
	if isFirst {
		f.first += cost
	}
}

// value returns the share, one before the first request.
func (f *firstShare) value() float64 {
	if f.all <= 0 {
		return 1
	}
	return max(float64(f.first)/float64(f.all), minFirstShare)
}

// firstShareOf returns the share of the advisor's time that first requests get: all of it while it is not scarce.
func (b *Planner) firstShareOf(isLong bool) float64 {
	switch {
	case !b.isAdvisorScarce(isLong):
		return 1
	case isLong:
		return b.firstShares.long.value()
	default:
		return b.firstShares.short.value()
	}
}
