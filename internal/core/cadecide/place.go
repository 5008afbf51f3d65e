package cadecide

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caestimate"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/caqueue"
	"celeryarch.example/celeryarch/internal/core/casched"
)

const (
	// deferBound is how long room is left to a team that starts nothing.
	deferBound = time.Minute
	// deferAbove is how far beyond its share a team leaves room, as a part of the
	// share of a team of weight 1.
	deferAbove = 0.025
	// moreTries is how many jobs behind the head of a class are tried at a time.
	moreTries = 8
	// maxRounds bounds the rounds of one call.
	maxRounds = 8
)

// tried tells what became of an attempt to place a job.
type tried int

const (
	triedPlaced tried = iota
	// triedLimited means that the allowance does not suffice.
	triedLimited
	// triedBlocked means that there is no room.
	triedBlocked
	// triedDeferred means that room is left to a team below its share.
	triedDeferred
	triedCount
)

type (
	class = caqueue.Class[*caledger.Job]
	group = caqueue.Group[*caledger.Job]
)

// placeAll places tasks until none fits. When nothing else was decided, the walk
// over the jobs behind the heads of classes goes on for a few rounds.
func (s *Scheduler) placeAll(now time.Time) {
	s.placeRound(now)
	for i := 1; i < maxRounds && s.unfinished && len(s.out) == 0; i++ {
		s.placeRound(now)
	}
}

// placeRound places tasks, of the team with the lowest share first.
func (s *Scheduler) placeRound(now time.Time) {
	s.round++
	s.unfinished = false
	s.owed = s.level(nil)
	for !s.full() {
		t := s.lowest()
		if t == nil {
			return
		}
		if !s.placeFrom(t, now) {
			t.exhausted = s.round
		}
	}
}

// lowest returns the team with the lowest weighted share among those that have
// work and were not found to have none that fits.
func (s *Scheduler) lowest() *team {
	var best *team
	for _, t := range s.order {
		if t.exhausted == s.round || t.queue.Len() == 0 {
			continue
		}
		if best == nil || t.Share() < best.Share() {
			best = t
		}
	}
	return best
}

// placeFrom places the first job of the team that fits.
func (s *Scheduler) placeFrom(t *team, now time.Time) bool {
	s.collect(t, now)
	for len(s.candidates) > 0 {
		c := s.takeFirst(t)
		if s.tryClass(t, c, now) {
			return true
		}
	}
	return false
}

// collect gathers the classes whose head may fit.
func (s *Scheduler) collect(t *team, now time.Time) {
	s.candidates = s.candidates[:0]
	seq := s.index.Seq()
	freed := s.index.FreedSince(0)
	least := t.least()
	shapes, groups := t.queue.Shapes(), t.queue.Groups()
	for i := range shapes {
		h := &shapes[i]
		if h.Settled(t.room) {
			if h.BlockedAt == seq {
				continue
			}
			if s.freedSince(&freed, h.BlockedAt); freed.Known && !least.any.Of(h.Least).Fits(freed.Room) {
				h.BlockedAt = seq
				continue
			}
		}
		t.queue.Unsettle(groups[i])
		s.collectGroup(t, groups[i], &least, &freed, now)
		t.queue.Settle(groups[i], seq, t.room)
	}
}

// collectGroup gathers the classes of the group whose head may fit.
func (s *Scheduler) collectGroup(t *team, g *group, least *leastSizes, freed *caplace.Freed, now time.Time) {
	seq := s.index.Seq()
	classes, marks := g.Classes(), g.Marks()
	for i := range marks {
		m := &marks[i]
		if m.Tried(seq, t.room) && m.Fresh == 0 {
			continue
		}
		if m.BlockedAt != 0 && m.BlockedAt != seq && !s.mayFit(m, classes[i], least, freed, now) {
			m.BlockedAt = seq
			if m.Tried(seq, t.room) && m.Fresh == 0 {
				continue
			}
		}
		s.candidates = append(s.candidates, classes[i])
	}
}

// freedSince brings the room that was freed after the sequence number.
func (s *Scheduler) freedSince(f *caplace.Freed, seq uint64) {
	if f.Seq != seq {
		*f = s.index.FreedSince(seq)
	}
}

// mayFit reports whether a job of a class of which none did fit may do so on an
// upstream that got more room since.
func (s *Scheduler) mayFit(m *caqueue.Mark, c *class, least *leastSizes, freed *caplace.Freed, now time.Time) bool {
	s.freedSince(freed, m.BlockedAt)
	if !freed.Known {
		return true
	}
	size := least.kinds[m.Kind].Of(m.Least)
	if !size.Fits(freed.Room) {
		return false
	}
	q := caplace.Query{Demand: s.demandOf(size, m.Kind), End: now, Probe: true}
	if m.Constrained {
		q.Constraints = c.Key.Constraints
	}
	fits, held := s.index.FitsSince(&q, m.BlockedAt)
	if !held {
		return fits
	}
	q.Job = c.Head().Value.ID
	fits, _ = s.index.FitsSince(&q, m.BlockedAt)
	return fits
}

// leastSizes are the factors from declared sizes to lower bounds of corrected
// ones.
type leastSizes struct {
	kinds [kindCount]caestimate.Factor
	// any is the lowest of all kinds.
	any caestimate.Factor
}

// least returns the lower bounds of the corrected sizes of the team.
func (t *team) least() leastSizes {
	var l leastSizes
	for k, r := range t.records {
		l.kinds[k] = r.Least()
		if k == 0 {
			l.any = l.kinds[k]
		}
		l.any = l.any.Min(l.kinds[k])
	}
	return l
}

// takeFirst removes and returns the candidate whose head is due first.
func (s *Scheduler) takeFirst(t *team) *class {
	first := 0
	for i, c := range s.candidates {
		if t.queue.Less(c, s.candidates[first]) {
			first = i
		}
	}
	c := s.candidates[first]
	last := len(s.candidates) - 1
	s.candidates[first] = s.candidates[last]
	s.candidates = s.candidates[:last]
	return c
}

// tryClass places the head of the class or, when that does not fit, a smaller
// job behind it. Some are tried at a time, the others at the next calls; when
// none is left, the class is marked.
func (s *Scheduler) tryClass(t *team, c *class, now time.Time) bool {
	if t.queue.Mark(c).Tried(s.index.Seq(), t.room) {
		return s.tryFresh(t, c, now)
	}
	seq, account := c.Begin(s.index.Seq(), t.room)
	head := c.Head().Value
	result := s.tryJob(t, head, now)
	if result == triedPlaced || result == triedDeferred {
		return result == triedPlaced
	}
	t.queue.Mark(c).HeadBlocked = result == triedBlocked
	var seen [triedCount]bool
	seen[result] = true
	atEnd := c.More(moreTries, func(j *caledger.Job) bool {
		if s.demand(head).Fits(s.demand(j)) && head.Width() <= j.Width() {
			return true
		}
		result = s.tryJob(t, j, now)
		seen[result] = true
		return result != triedPlaced && result != triedDeferred
	})
	if !atEnd || seen[triedPlaced] || seen[triedDeferred] {
		s.unfinished = s.unfinished || !seen[triedPlaced] && !seen[triedDeferred]
		return seen[triedPlaced]
	}
	if !seen[triedBlocked] {
		seq = 0
	}
	if !seen[triedLimited] {
		account = 0
	}
	t.queue.Walked(c, seq, account)
	return false
}

// tryFresh places a job that was pushed after all others of its class were
// tried.
func (s *Scheduler) tryFresh(t *team, c *class, now time.Time) bool {
	for range moreTries {
		j, ok := t.queue.TakeFresh(c)
		if !ok {
			return false
		}
		switch m := t.queue.Mark(c); s.tryJob(t, j, now) {
		case triedPlaced:
			return true
		case triedLimited:
			m.LimitedAt = t.room
		case triedBlocked:
			m.BlockedAt = s.index.Seq()
		case triedDeferred:
			m.BlockedAt, m.LimitedAt = 0, 0
			return false
		}
	}
	s.unfinished = true
	return false
}

// tryJob places the job, or tells why not.
func (s *Scheduler) tryJob(t *team, j *caledger.Job, now time.Time) tried {
	q := s.query(j, now)
	n := j.Width()
	if !t.Allows(q.Demand.Size.Times(int64(n))) {
		return triedLimited
	}
	if s.leavesRoom(j) && s.defers(t, q.Demand.Size.Times(int64(n)), now) {
		return triedDeferred
	}
	if !s.findHosts(&q, n) {
		return triedBlocked
	}
	s.open(t, j, &q, now)
	return triedPlaced
}

// leavesRoom reports whether the job may be kept back for teams below their
// share. Urgent work and look-ups are not: somebody waits for them, and a
// look-up has ended long before a hole would have grown.
func (s *Scheduler) leavesRoom(j *caledger.Job) bool {
	return !j.Spec.Urgent && j.Spec.Kind != cawork.WorkKindLookup && !s.claimed(j)
}

// defers reports whether the amount would take the team beyond its share while
// a team below its share waits for room. The room is left to it then, as holes
// would otherwise go to whoever happens to have tasks and gangs that are small
// enough, and would never grow for those that are not.
func (s *Scheduler) defers(t *team, r cawork.Resources, now time.Time) bool {
	if s.shares.Dominant(t.Team, r) <= t.Entitlement(s.owed)+deferAbove*s.owed {
		return false
	}
	for _, o := range s.order {
		if o == t || o.exhausted != s.round || s.shares.Dominant(o.Team, cawork.Resources{}) >= o.Entitlement(s.owed) {
			continue
		}
		if o.waitsSince != s.round {
			o.waitsSince, o.waits = s.round, s.waitsForRoom(o, now)
		}
		if o.waits {
			return true
		}
	}
	return false
}

// waitsForRoom reports whether the first blocked job of the team fits as soon as
// enough tasks have ended, whatever the upstreams. Room that does not suffice
// within a while is not left to the team until it has started something, so
// that a job that is too large does not idle the cell.
func (s *Scheduler) waitsForRoom(t *team, now time.Time) bool {
	c := s.firstBlocked(t, func(*caqueue.Mark) bool { return true })
	if c == nil {
		return false
	}
	j := c.Head().Value
	if j.Spec.Constraints != (cawork.Constraints{}) || j.Spec.Size.Accelerators > 0 {
		return false
	}
	if t.leftSince.IsZero() {
		t.leftSince = now
	}
	return now.Sub(t.leftSince) < deferBound
}

// findHosts finds and takes room for n tasks, which are all placed or none. The
// upstreams are left in s.hosts.
func (s *Scheduler) findHosts(q *caplace.Query, n int) bool {
	s.hosts = s.hosts[:0]
	if n > 1 && s.index.Count(q, n) < n {
		return false
	}
	for len(s.hosts) < n {
		h, ok := s.index.Best(q)
		if !ok {
			s.giveHosts(q.Demand)
			return false
		}
		s.takeHost(h, q)
		for len(s.hosts) < n && q.Placement == cawork.PlacementPack && s.index.Takes(h, q) {
			s.takeHost(h, q)
		}
	}
	return true
}

func (s *Scheduler) takeHost(h caplace.HostIndex, q *caplace.Query) {
	s.index.TakeFor(h, q)
	s.hosts = append(s.hosts, h)
	if q.Placement == cawork.PlacementSpread {
		s.near = append(q.Near, h)
		q.Near = s.near
	}
}

func (s *Scheduler) giveHosts(d caplace.Demand) {
	for _, h := range s.hosts {
		s.index.Give(h, d)
	}
	s.hosts = s.hosts[:0]
}

// open starts the next tasks of the job on the upstreams in s.hosts, whose room
// is taken.
func (s *Scheduler) open(t *team, j *caledger.Job, q *caplace.Query, now time.Time) {
	d := s.onJob(casched.DecisionPlace, s.placeReason(j, s.hosts[0]), j, now)
	if j.Gang() {
		d.Kind = casched.DecisionPlaceGang
	}
	if j.Gang() && len(s.hosts) != j.Queued() {
		s.violated(casched.InvariantGangWhole, "%d of %d tasks of %s are placed", len(s.hosts), j.Queued(), j.ID)
	}
	d.Placements = make([]casched.Placement, 0, len(s.hosts))
	for _, h := range s.hosts {
		o := caledger.Opening{
			Host: h, Upstream: s.index.ID(h), Demand: q.Demand, Account: t.Team, Now: now, End: q.End,
		}
		task := s.ledger.OpenNext(j, o)
		d.Attempts = task.Attempts - 1
		d.Placements = append(d.Placements, task.Placement())
		s.afterTake(h)
	}
	s.opened(t, j, q.Demand.Size.Times(int64(len(s.hosts))), len(s.hosts), now)
	s.emit(d)
}

// opened charges tasks that were opened and takes them out of the queue.
func (s *Scheduler) opened(t *team, j *caledger.Job, charge cawork.Resources, n int, now time.Time) {
	s.charge(t, charge)
	if !t.Use.Fits(t.Allowance) {
		s.violated(casched.InvariantWithinAllowance, "team %s has %v of %v", t.Name, t.Use, t.Allowance)
	}
	t.pace[j.Spec.Kind].note(n, now)
	t.dequeued(j.Spec.Kind, n)
	t.leftSince = time.Time{}
	j.ReservedAt = time.Time{}
	s.dropDeadline(j)
	s.dropClaimOf(j)
	s.refreshEntry(j)
}

// afterTake asserts that the upstream is not overcommitted and lets an upstream
// on trial take no second task.
func (s *Scheduler) afterTake(h caplace.HostIndex) {
	if free := s.index.FreeOn(h); free.Size.IsNegative() || free.Slots < 0 || free.Connections < 0 {
		s.violated(casched.InvariantNoOvercommit, "upstream %s has %v left", s.index.ID(h), free)
	}
	if s.index.StateOf(h) == caplace.StateProbe {
		s.index.SetVerdict(h, caplace.StateClosed)
	}
}

func (s *Scheduler) placeReason(j *caledger.Job, h caplace.HostIndex) casched.Reason {
	hold := s.index.HoldOf(h)
	switch {
	case s.index.StateOf(h) == caplace.StateProbe:
		return casched.ReasonProbe
	case hold.Owner == j.ID:
		return casched.ReasonReservation
	case hold.Owner != "":
		return casched.ReasonBackfill
	case j.Gang():
		return casched.ReasonGangFits
	case j.Spec.Urgent:
		return casched.ReasonUrgent
	default:
		return casched.ReasonLowestShare
	}
}
