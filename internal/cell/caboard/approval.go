package caboard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caselection"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/caticket"
)

// nextApprovalRequest returns the next approval request for a step, if one is due and
// worth its cost.
func (b *Planner) nextApprovalRequest(s *step, q caspec.Queue) (caorder.ApprovalRequest, bool) {
	now := b.now.Monotonic
	a := &s.approvals
	if !a.lastRequestAt.IsZero() && now.Sub(a.lastRequestAt) < min(requestInterval, requestIntervalDecisions*q.Approval.FixedCost) {
		return caorder.ApprovalRequest{}, false
	}
	if now.Sub(a.noCandidatesAt) < emptyRequestInterval {
		return caorder.ApprovalRequest{}, false
	}
	if !b.mayRequestAgain(s, q) {
		return caorder.ApprovalRequest{}, false
	}
	isLong := b.isLongRequest(q)
	if isLong && b.pendingLongRequests >= b.requestLimits.Long {
		b.requestsHeldBack = true
		return caorder.ApprovalRequest{}, false
	}
	ids := b.ticketRenewals(s, q)
	if len(ids) == 0 {
		ids = b.undecidedUpstreams(s, q)
		if len(ids) > 0 {
			a.lastWidenedAt = now
		}
	}
	if len(ids) == 0 {
		a.noCandidatesAt = now
		return caorder.ApprovalRequest{}, false
	}
	b.requestsSent.add(s)
	a.requestPending = true
	b.pendingRequests++
	if isLong {
		b.pendingLongRequests++
	}
	a.lastRequestAt = now
	request := caorder.ApprovalRequest{
		Job: s.job.Submission.ID, Occurrence: s.occurrence.Number, Step: s.number,
		Upstreams: ids, Incarnations: b.incarnationsOf(ids), Cost: q.Approval.Cost(len(ids)), Long: isLong,
	}
	b.noteCost(s, request)
	return request, true
}

// isLongRequest reports whether the requests of a queue may take an entry long to answer: those that name
// as many upstreams as its pool has.
func (b *Planner) isLongRequest(q caspec.Queue) bool {
	most := maxRequestUpstreams
	if listed, ok := b.poolSizes[q.Pool]; ok {
		most = min(most, listed)
	}
	return q.Approval.Cost(most) >= minLongRequest
}

// ticketRenewals returns approved upstreams whose tickets have expired or soon will, if
// the upstreams with valid tickets have too little room for the waiting tasks and all
// approved ones together have enough.
func (b *Planner) ticketRenewals(s *step, q caspec.Queue) []cawork.UpstreamID {
	if s.reservation != nil && s.spec.Gang {
		return b.reservedTicketRenewals(s, q)
	}
	if ids := b.taskTicketRenewals(s, q); len(ids) > 0 || b.hasRoomReserved(s) {
		return ids
	}
	if p := b.pools[q.Pool]; p == nil || !s.spec.Size().Fits(p.maxFree) || !b.hasRoomAtApproved(s) {
		return nil
	}
	needed := 1
	if s.spec.Gang {
		needed = s.spec.Tasks
	}
	expired := b.candidates[:0]
	validSlots, slots := 0, 0
	for _, t := range s.approvals.answers.Tickets() {
		b.visits++
		u := b.bySlot[t.Place.Slot]
		if u == nil || !s.spec.Size().Fits(u.free()) || !s.approvals.isApproved(u) || !u.available || u.isReservedForGang() || !b.mayUsePartition(s, q, u) || !b.isApart(s, u) {
			continue
		}
		fitting := caroom.TasksIn(b.roomFor(s, u), s.spec)
		slots += fitting
		if _, isValid := b.validTicket(s, u, b.now.Monotonic); isValid {
			validSlots += fitting
		}
		if validSlots >= needed {
			return nil
		}
		if _, isLasting := b.validTicket(s, u, b.now.Monotonic.Add(ticketRenewalBatchWindow)); !isLasting && fitting > 0 {
			expired = append(expired, u)
		}
	}
	b.candidates = expired
	if slots < needed {
		return nil
	}
	slices.SortFunc(expired, compareUpstreams)
	return b.mostFree(s, expired, maxRequestUpstreams)
}

// reservedTicketRenewals returns the upstreams reserved for a gang whose tickets are
// about to expire, so that the gang starts as soon as it has its room. The tickets of a
// gang that does not start soon are left to expire.
func (b *Planner) reservedTicketRenewals(s *step, q caspec.Queue) []cawork.UpstreamID {
	now := b.now.Monotonic
	requestLead := q.Approval.Cost(len(s.reservation.upstreams)) + ticketRenewalMargin
	if s.reservation.expectedStart.Sub(now) > requestLead+ticketRenewalLead {
		return nil
	}
	var ids []cawork.UpstreamID
	missing := false
	for _, u := range s.reservation.upstreams {
		if _, isValid := b.validTicket(s, u, now.Add(requestLead)); !isValid {
			missing = true
		}
		if _, isLasting := b.validTicket(s, u, now.Add(requestLead+ticketRenewalBatchWindow)); !isLasting && u.available {
			ids = append(ids, u.info.ID)
		}
	}
	if !missing {
		return nil
	}
	return ids
}

// undecidedUpstreams returns the upstreams to request that the advisor has not decided
// about in their present incarnation. Those that the step must leave to wide gangs now are
// not requested: the tickets would expire, and urgent steps would wait for the advisor.
func (b *Planner) undecidedUpstreams(s *step, q caspec.Queue) []cawork.UpstreamID {
	p := b.pools[q.Pool]
	isFirst := !s.approvals.hasAnswer
	if p == nil || !isFirst && !b.needsMoreApproved(s, q, p) {
		return nil
	}
	requestableRoom := func(i int) cawork.Resources { return p.rooms[i] }
	switch {
	case isFirst:
		requestableRoom = func(i int) cawork.Resources { return p.upstreams[i].info.Capacity }
	case s.lacksReservable(), s.awaitsRestartRoom():
		requestableRoom = func(i int) cawork.Resources { return p.upstreams[i].reservableRoom() }
	}
	if !isFirst && !s.lacksReservable() && !b.hasRoomAtUndecided(s, p) {
		return nil
	}
	size := s.spec.Size()
	b.visits += int64(len(p.upstreams))
	candidates := b.candidates[:0]
	for i, u := range p.upstreams {
		if !size.Fits(requestableRoom(i)) || s.approvals.isDecided(u) || !u.info.HasLabel(s.spec.Label) {
			continue
		}
		if !b.mayUsePartition(s, q, u) || !b.isApart(s, u) {
			continue
		}
		candidates = append(candidates, u)
	}
	b.candidates = candidates
	return b.mostFree(s, candidates, max(b.requestSizeFor(s, q, p), cheapRequestSize(*q.Approval)))
}

// needsMoreApproved reports whether approval of further upstreams should be requested for a
// step that has answers already.
func (b *Planner) needsMoreApproved(s *step, q caspec.Queue, p *poolPlan) bool {
	switch {
	case s.awaitsRestartRoom():
		return true
	case b.hasRoomReserved(s):
		return false
	case s.lacksReservable():
		return true
	case !s.spec.Size().Fits(p.maxFree):
		return false
	default:
		return !b.hasEnoughApproved(s) || s.approvals.isWideningDue(b.now.Monotonic, *q.Approval)
	}
}

// isWideningDue reports whether a step has waited so long that approval of further
// upstreams should be requested: the approved ones may be busy or reserved for others.
func (a *approvals) isWideningDue(now time.Time, q caspec.Approval) bool {
	return now.Sub(a.lastWidenedAt) > min(widenInterval, requestIntervalDecisions*q.FixedCost)
}

// hasEnoughApproved reports whether a gang fits several times over on its approved
// upstreams when these are empty.
func (b *Planner) hasEnoughApproved(s *step) bool {
	return s.spec.Gang && b.approvedPlaces(s) >= enoughApprovedFactor*s.spec.Tasks
}

// requestSize returns how many upstreams to request for the waiting tasks of a step,
// where approvalRate is the probability that an upstream is approved.
func requestSize(s *step, approvalRate float64) int {
	perUpstream := max(caroom.TasksIn(typicalFree, s.spec), 1)
	neededUpstreams := float64(s.waitingTasks+s.tasksEnding)/float64(perUpstream) + 1
	n := int(math.Ceil(neededUpstreams * requestSpareFactor / max(approvalRate, 0.1)))
	return min(max(n, minRequestUpstreams), maxRequestUpstreams)
}

// cheapRequestSize returns how many upstreams an approval request may name so that they
// add little to the fixed time of a decision.
func cheapRequestSize(a caspec.Approval) int {
	if a.CostPerUpstream <= 0 {
		return maxRequestUpstreams
	}
	return min(int(maxAddedDecisionShare*float64(a.FixedCost)/float64(a.CostPerUpstream)), maxRequestUpstreams)
}

// typicalFree is the room that an upstream of a busy cell is assumed to have.
var typicalFree = cawork.Resources{CPU: cawork.Cores(5), Memory: 12 * cawork.GiB, Accelerators: 1}

// mostFree returns the upstreams with the most free CPU, at most n. Reserved upstreams
// come last. Upstreams of the gang partition come first for wide gangs and later than
// others for all other work.
func (b *Planner) mostFree(s *step, list []*upstream, n int) []cawork.UpstreamID {
	ranked := b.ranked[:0]
	for _, u := range list {
		ranked = append(ranked, rankedUpstream{upstream: u, rank: b.requestRank(s, u)})
	}
	b.ranked = ranked
	ids := make([]cawork.UpstreamID, 0, min(n, len(ranked)))
	for _, r := range caselection.First(ranked, n, rankedUpstream.compare) {
		ids = append(ids, r.upstream.info.ID)
	}
	return ids
}

// rankedUpstream is an upstream with its rank in an approval request.
type rankedUpstream struct {
	upstream *upstream
	rank     uint64
}

func (r rankedUpstream) compare(other rankedUpstream) int { return cmp.Compare(r.rank, other.rank) }

// The bits of a rank.
const (
	reservedRank       = 1 << 63
	wrongPartitionRank = 1 << 62
	wrongSpeedRank     = 1 << 61
	maxRankedFree      = 1<<29 - 1
	rankedFreeShift    = 32
)

// requestRank ranks an upstream in an approval request. The lowest rank comes first: that of an
// upstream that is not reserved, then where the step should be placed while there is room elsewhere,
// then of the speed at which it should run, with room for a task, then with much free CPU. The rest is random, so that not all steps request the same of several
// equal upstreams.
func (b *Planner) requestRank(s *step, u *upstream) uint64 {
	rank := uint64(b.random.Uint32())
	rank |= uint64(maxRankedFree-min(max(u.free().CPU, 0), maxRankedFree)) << rankedFreeShift
	if u.reservedBy != nil {
		rank |= reservedRank
	}
	if b.takesGangSlot(s, u) || s.wide && !u.inPartition {
		rank |= wrongPartitionRank
	}
	if b.runTimes.SlowSlowness() > 0 && (!s.suitsSpeed(u) || !s.spec.Size().Fits(u.free())) {
		rank |= wrongSpeedRank
	}
	return rank
}

// ApplyAdvice applies the answer of the advisor to an approval request. A failed request has
// no answer and is repeated.
func (b *Planner) ApplyAdvice(request caorder.ApprovalRequest, approved []caorder.Approval, answered bool) {
	b.pendingRequests--
	if request.Long {
		b.pendingLongRequests--
	}
	j, ok := b.jobs[request.Job]
	if !ok {
		return
	}
	for _, s := range j.steps {
		if s.occurrence.Number != request.Occurrence || s.number != request.Step {
			continue
		}
		s.approvals.requestPending = false
		b.observeRequest(s, request)
		if answered {
			b.applyApprovals(s, request, approved, false)
		}
	}
}

// ApplyLateAdvice applies an answer to a request that had counted as failed. What the advisor decided
// about an upstream does not change.
func (b *Planner) ApplyLateAdvice(request caorder.ApprovalRequest, approved []caorder.Approval) {
	j, ok := b.jobs[request.Job]
	if !ok {
		return
	}
	for _, s := range j.steps {
		if s.occurrence.Number == request.Occurrence && s.number == request.Step {
			b.applyApprovals(s, request, approved, true)
		}
	}
}

func (b *Planner) incarnationsOf(ids []cawork.UpstreamID) []int64 {
	incarnations := make([]int64, 0, len(ids))
	for _, id := range ids {
		incarnations = append(incarnations, b.upstreams[id].info.Incarnation)
	}
	return incarnations
}

// askedUpstreams returns the upstreams of a request that still have the incarnation that the advisor was
// asked about.
func (b *Planner) askedUpstreams(request caorder.ApprovalRequest) map[cawork.UpstreamID]*upstream {
	asked := make(map[cawork.UpstreamID]*upstream, len(request.Upstreams))
	for i, id := range request.Upstreams {
		u, ok := b.upstreams[id]
		if ok && (i >= len(request.Incarnations) || request.Incarnations[i] == u.info.Incarnation) {
			asked[id] = u
		}
	}
	return asked
}

func (b *Planner) applyApprovals(s *step, request caorder.ApprovalRequest, approved []caorder.Approval, late bool) {
	q, ok := b.queueOf(s.job)
	if !ok || q.Approval == nil {
		return
	}
	asked := b.askedUpstreams(request)
	for _, u := range asked {
		s.approvals.hasAnswer = true
		s.approvals.answers.Decide(u.place(), len(b.bySlot))
	}
	expires := b.now.Monotonic.Add(q.Approval.Validity)
	maxMargin := time.Duration(maxTicketMarginShare * float64(q.Approval.Validity))
	for _, a := range approved {
		u, ok := asked[a.Upstream]
		if !ok {
			continue
		}
		if _, hasFresher := b.validTicket(s, u, b.now.Monotonic); late && hasFresher {
			continue
		}
		s.approvals.noRoomSince = 0
		s.approvals.answers.Approve(u.place(), len(b.bySlot), caticket.Ticket{Value: a.Ticket, Expires: expires, MaxMargin: maxMargin})
	}
	stats := b.statsOf(q.Name)
	rate := float64(len(approved)) / float64(len(request.Upstreams))
	stats.approvalRate += approvalRateWeight * (rate - stats.approvalRate)
	caevent.Info(b.log, caevent.StepApproved).Str("job", string(request.Job)).Int("step", request.Step).
		Int("asked", len(request.Upstreams)).Int("approved", len(approved)).Bool("late", late).
		Dur("took", b.now.Monotonic.Sub(s.approvals.lastRequestAt)).Send()
}
