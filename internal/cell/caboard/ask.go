package caboard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// approvalsInObjective is the number of upstreams in the question to the
// advisor that the objective of a step allows for.
const approvalsInObjective = 30

// AskSlots bounds the questions that the advisor has not answered, so that
// what is to be asked next is decided late.
type AskSlots struct {
	All int
	// Long bounds those that keep an entry busy for long.
	Long int
}

// SetAskSlots sets the bounds.
func (b *Board) SetAskSlots(s AskSlots) { b.askSlots = s }

// approvals are the answers of the advisor about one step. An answer holds for
// the life of the upstream; only tickets expire.
type approvals struct {
	asked   map[cawork.UpstreamID]int64
	tickets map[cawork.UpstreamID]ticket
	asking  bool
	askedAt time.Time
	// idleAt is when nobody was found last to ask about.
	idleAt time.Time
	// widenedAt is when upstreams were asked about last that had not been before.
	widenedAt time.Time
}

type ticket struct {
	born    int64
	value   string
	expires time.Time
}

func newApprovals() approvals {
	return approvals{asked: make(map[cawork.UpstreamID]int64), tickets: make(map[cawork.UpstreamID]ticket)}
}

// expire marks the ticket for an upstream as no longer valid.
func (a *approvals) expire(id cawork.UpstreamID) {
	if t, ok := a.tickets[id]; ok {
		t.expires = time.Time{}
		a.tickets[id] = t
	}
}

// approved reports whether the upstream may run the step in this life.
func (a *approvals) approved(u *upstream) bool {
	t, ok := a.tickets[u.info.ID]
	return ok && t.born == u.info.Born
}

// valid returns the ticket for the upstream if it holds long enough.
func (a *approvals) valid(u *upstream, now time.Time) (string, bool) {
	t, ok := a.tickets[u.info.ID]
	if !ok || t.born != u.info.Born || now.Add(ticketMargin).After(t.expires) {
		return "", false
	}
	return t.value, true
}

// asks returns the questions to the advisor that are due.
func (b *Board) asks() []Ask {
	var asks []Ask
	room := b.newHeadroom()
	for _, s := range b.steps {
		q, ok := b.queueOf(s.job)
		if !ok || q.Approval == nil || s.waiting == 0 {
			continue
		}
		if b.asking >= b.askSlots.All {
			break
		}
		if s.approval.asking {
			room.claim(s)
			continue
		}
		if !room.admits(s) {
			continue
		}
		if b.asking >= b.askSlots.All/2 && s.lateness == latenessUseless {
			continue
		}
		if !s.ready && !b.readySoon(s, q) {
			continue
		}
		if ask, ok := b.ask(s, q); ok {
			asks = append(asks, ask)
			room.claim(s)
		}
	}
	return asks
}

// readySoon reports whether the earlier steps are expected to end by the time
// the advisor has answered.
func (b *Board) readySoon(s *step, q caspec.Queue) bool {
	lead := q.Approval.Cost(approvalsInObjective)
	for _, earlier := range s.job.steps {
		if earlier.occurrence != s.occurrence || !slices.Contains(s.spec.After, earlier.number) {
			continue
		}
		if earlier.waiting > 0 || !earlier.ready {
			return false
		}
		for _, r := range b.runsOf(earlier) {
			if r.at.Add(earlier.spec.Estimate).After(b.now.Steady.Add(lead)) {
				return false
			}
		}
	}
	return true
}

// ask returns the next question about a step, if one is worth its cost.
func (b *Board) ask(s *step, q caspec.Queue) (Ask, bool) {
	now := b.now.Steady
	a := &s.approval
	if !a.askedAt.IsZero() && now.Sub(a.askedAt) < min(askAgain, askAgainCosts*q.Approval.Decision) {
		return Ask{}, false
	}
	if now.Sub(a.idleAt) < askIdle {
		return Ask{}, false
	}
	long := q.Approval.Cost(askedMost) >= longQuestion
	if long && b.askingLong >= b.askSlots.Long {
		return Ask{}, false
	}
	ids := b.renewals(s, q)
	if len(ids) == 0 {
		ids = b.candidates(s, q)
		if len(ids) > 0 {
			a.widenedAt = now
		}
	}
	if len(ids) == 0 {
		a.idleAt = now
		return Ask{}, false
	}
	a.asking = true
	b.asking++
	if long {
		b.askingLong++
	}
	a.askedAt = now
	return Ask{
		Job: s.job.Submission.ID, Occurrence: s.occurrence.Number, Step: s.number,
		Upstreams: ids, Cost: q.Approval.Cost(len(ids)), Long: long,
	}, true
}

// renewals returns approved upstreams whose tickets ran out, when those with
// valid ones have too little room for what waits and both together have enough.
func (b *Board) renewals(s *step, q caspec.Queue) []cawork.UpstreamID {
	if s.hold != nil {
		return b.holdRenewals(s, q)
	}
	if p := b.pools[q.Pool]; p == nil || !s.spec.Size().Fits(p.most) {
		return nil
	}
	var expired []*upstream
	validRoom, room := 0, 0
	for id := range s.approval.tickets {
		u, ok := b.upstreams[id]
		if !ok || !s.approval.approved(u) || !u.open || u.reservedBy != nil {
			continue
		}
		n := places(u.free(), s.spec)
		room += n
		if _, valid := s.approval.valid(u, b.now.Steady); valid {
			validRoom += n
		}
		if _, lasting := s.approval.valid(u, b.now.Steady.Add(renewTogether)); !lasting && n > 0 {
			expired = append(expired, u)
		}
	}
	needed := 1
	if s.spec.Gang {
		needed = s.spec.Tasks
	}
	if validRoom >= needed || room < needed {
		return nil
	}
	slices.SortFunc(expired, compareUpstreams)
	return b.roomiest(s, expired, askedMost)
}

// holdRenewals returns the upstreams held for a gang whose tickets run out, so
// that it starts as soon as it has its room. Tickets of a gang that does not
// start soon are let run out.
func (b *Board) holdRenewals(s *step, q caspec.Queue) []cawork.UpstreamID {
	now := b.now.Steady
	lead := q.Approval.Cost(len(s.hold.upstreams)) + renewMargin
	if s.hold.begins.Sub(now) > lead+freshFor {
		return nil
	}
	var ids []cawork.UpstreamID
	lacking := false
	for _, u := range s.hold.upstreams {
		if _, valid := s.approval.valid(u, now.Add(lead)); !valid {
			lacking = true
		}
		if _, lasting := s.approval.valid(u, now.Add(lead+renewTogether)); !lasting && u.open {
			ids = append(ids, u.info.ID)
		}
	}
	if !lacking {
		return nil
	}
	return ids
}

// candidates returns upstreams that were not asked about yet.
func (b *Board) candidates(s *step, q caspec.Queue) []cawork.UpstreamID {
	p := b.pools[q.Pool]
	first := len(s.approval.asked) == 0
	if p == nil || !first && (!s.spec.Size().Fits(p.most) || b.hasEnoughApproved(s) && !s.approval.isWidenedLongAgo(b.now.Steady, *q.Approval)) {
		return nil
	}
	var open []*upstream
	for _, u := range p.upstreams {
		if !u.info.HasLabel(s.spec.Label) {
			continue
		}
		if born, asked := s.approval.asked[u.info.ID]; asked && born == u.info.Born {
			continue
		}
		if places(u.info.Capacity, s.spec) == 0 || !first && places(u.free(), s.spec) == 0 {
			continue
		}
		open = append(open, u)
	}
	return b.roomiest(s, open, max(askCount(s, b.statsOf(q.Name).approvedShare), cheapCount(*q.Approval)))
}

// isWidenedLongAgo reports whether a step has waited so long that more upstreams
// should be asked about: those that were approved may be busy or held for others.
func (a *approvals) isWidenedLongAgo(now time.Time, q caspec.Approval) bool {
	return now.Sub(a.widenedAt) > min(widenAfter, askAgainCosts*q.Decision)
}

// hasEnoughApproved reports whether the approved upstreams of a gang hold it
// several times over when they are empty.
func (b *Board) hasEnoughApproved(s *step) bool {
	if !s.spec.Gang {
		return false
	}
	room := 0
	for id := range s.approval.tickets {
		if u, ok := b.upstreams[id]; ok && u.open && s.approval.approved(u) {
			room += places(u.info.Capacity, s.spec)
		}
	}
	return room >= approvedEnough*s.spec.Tasks
}

// askCount returns how many upstreams to ask about for what waits of a step,
// when each is approved with the probability.
func askCount(s *step, approvedShare float64) int {
	perUpstream := max(places(typicalFree, s.spec), 1)
	need := float64(s.waiting)/float64(perUpstream) + 1
	n := int(math.Ceil(need * askedSpare / max(approvedShare, 0.1)))
	return min(max(n, askedLeast), askedMost)
}

// cheapCount returns how many upstreams a question may name so that they add
// little to the fixed time of a decision.
func cheapCount(a caspec.Approval) int {
	if a.PerUpstream <= 0 {
		return askedMost
	}
	return min(int(cheapShare*float64(a.Decision)/float64(a.PerUpstream)), askedMost)
}

// typicalFree is the room that an upstream of a busy cell is taken to have.
var typicalFree = cawork.Resources{CPU: cawork.Cores(5), Memory: 12 * cawork.GiB, Accelerators: 1}

// roomiest returns the upstreams with the most free processors, at most n, those
// of the gang area first for wide gangs and last for all others.
func (b *Board) roomiest(s *step, list []*upstream, n int) []cawork.UpstreamID {
	ranked := make([]rankedUpstream, len(list))
	for i, u := range list {
		ranked[i] = rankedUpstream{up: u, held: u.reservedBy != nil, astray: b.takesPlace(s, u) || s.wide && !u.inArea, free: u.free().CPU, lot: b.random.Uint32()}
	}
	slices.SortFunc(ranked, rankedUpstream.compare)
	ids := make([]cawork.UpstreamID, 0, n)
	for _, r := range ranked[:min(n, len(ranked))] {
		ids = append(ids, r.up.info.ID)
	}
	return ids
}

// rankedUpstream is an upstream with what ranks it in a question.
type rankedUpstream struct {
	up   *upstream
	held bool
	// astray is set where the step should not go as long as there is room elsewhere.
	astray bool
	free   cawork.MilliCPU
	// lot decides between equal ones, so that not all steps ask about the same.
	lot uint32
}

// compare orders upstreams by who is named in a question first.
func (r rankedUpstream) compare(other rankedUpstream) int {
	if r.held != other.held {
		return compareBool(r.held, other.held)
	}
	if r.astray != other.astray {
		return compareBool(r.astray, other.astray)
	}
	if r.free != other.free {
		return cmp.Compare(other.free, r.free)
	}
	return cmp.Compare(r.lot, other.lot)
}

// Advised takes up the answer of the advisor. A failed question has no answer
// and is asked again.
func (b *Board) Advised(ask Ask, approved []Approval, answered bool) {
	b.asking--
	if ask.Long {
		b.askingLong--
	}
	j, ok := b.jobs[ask.Job]
	if !ok {
		return
	}
	for _, s := range j.steps {
		if s.occurrence.Number != ask.Occurrence || s.number != ask.Step {
			continue
		}
		s.approval.asking = false
		if answered {
			b.noteApprovals(s, ask, approved)
		}
	}
}

func (b *Board) noteApprovals(s *step, ask Ask, approved []Approval) {
	q, ok := b.queueOf(s.job)
	if !ok || q.Approval == nil {
		return
	}
	for _, id := range ask.Upstreams {
		if u, ok := b.upstreams[id]; ok {
			s.approval.asked[id] = u.info.Born
		}
	}
	expires := b.now.Steady.Add(q.Approval.Validity)
	for _, a := range approved {
		if u, ok := b.upstreams[a.Upstream]; ok {
			s.approval.tickets[a.Upstream] = ticket{born: u.info.Born, value: a.Ticket, expires: expires}
		}
	}
	stats := b.statsOf(q.Name)
	share := float64(len(approved)) / float64(len(ask.Upstreams))
	stats.approvedShare += approvedShareWeight * (share - stats.approvedShare)
	caevent.Info(b.log, caevent.StepApproved).Str("job", string(ask.Job)).Int("step", ask.Step).
		Int("asked", len(ask.Upstreams)).Int("approved", len(approved)).
		Dur("took", b.now.Steady.Sub(s.approval.askedAt)).Send()
}
