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
	// maxDeferral is how long placements are deferred for a team that starts
	// nothing in the meantime.
	maxDeferral = time.Minute
	// deferTolerance is how far a team may exceed its share before its placements
	// are deferred, as a fraction of the share of a team of weight 1.
	deferTolerance = 0.025
	// maxTriesBehindHead is how many jobs behind the head of a class are tried in
	// one round.
	maxTriesBehindHead = 8
	// maxPlaceRounds limits the placement rounds in one call of Decide.
	maxPlaceRounds = 8
)

// tryResult is the result of trying to place a job.
type tryResult int

const (
	resultPlaced tryResult = iota
	// resultLimited means that the job exceeds the allowance of its team.
	resultLimited
	// resultBlocked means that no upstream has enough free capacity.
	resultBlocked
	// resultDeferred means that the free capacity is kept for a team below its
	// share.
	resultDeferred
	resultCount
)

type (
	class = caqueue.Class[*caledger.Job]
	group = caqueue.Group[*caledger.Job]
)

// placeAll places tasks until none fits. If nothing was decided yet, it runs up
// to maxPlaceRounds rounds to try more jobs behind the heads of their classes.
func (s *Scheduler) placeAll(now time.Time) {
	s.placeRound(now)
	for i := 1; i < maxPlaceRounds && s.hasUntried && len(s.decisions) == 0; i++ {
		s.placeRound(now)
	}
}

// placeRound places tasks one by one, each time for the team with the lowest
// share.
func (s *Scheduler) placeRound(now time.Time) {
	s.round++
	s.hasUntried = false
	s.roundLevel = s.fairLevel(nil)
	for !s.full() {
		t := s.lowestShareTeam()
		if t == nil {
			return
		}
		if !s.placeFromTeam(t, now) {
			t.exhaustedRound = s.round
		}
	}
}

// lowestShareTeam returns the team with the lowest weighted share among those
// with queued jobs that are not exhausted in this round, nil when there is none.
func (s *Scheduler) lowestShareTeam() *team {
	var best *team
	for _, t := range s.sortedTeams {
		if t.exhaustedRound == s.round || t.queue.Len() == 0 {
			continue
		}
		if best == nil || t.Share() < best.Share() {
			best = t
		}
	}
	return best
}

// placeFromTeam places the first job of the team that fits, and reports whether
// there was one.
func (s *Scheduler) placeFromTeam(t *team, now time.Time) bool {
	s.collectCandidates(t, now)
	for len(s.candidates) > 0 {
		c := s.popEarliest(t)
		if s.tryClass(t, c, now) {
			return true
		}
	}
	return false
}

// collectCandidates sets s.candidates to the classes of the team with a job that
// may fit.
func (s *Scheduler) collectCandidates(t *team, now time.Time) {
	s.candidates = s.candidates[:0]
	seq := s.index.Seq()
	freed := s.index.FreedSince(0)
	factors := t.sizeFactors()
	shapes, groups := t.queue.GroupStates(), t.queue.Groups()
	for i := range shapes {
		shape := &shapes[i]
		if shape.Tried(t.allowanceSeq) {
			if shape.BlockedAt == seq {
				continue
			}
			if s.loadFreed(&freed, shape.BlockedAt); freed.Known && !factors.overall.Apply(shape.MinSize).Fits(freed.Largest) {
				shape.BlockedAt = seq
				continue
			}
		}
		t.queue.MarkGroupUntried(groups[i])
		s.collectFromGroup(t, groups[i], &factors, &freed, now)
		t.queue.MarkGroupTried(groups[i], seq, t.allowanceSeq)
	}
}

// collectFromGroup appends the classes of the group with a job that may fit to
// s.candidates.
func (s *Scheduler) collectFromGroup(t *team, g *group, factors *sizeFactors, freed *caplace.FreedCapacity, now time.Time) {
	seq := s.index.Seq()
	classes, marks := g.Classes(), g.ClassStates()
	for i := range marks {
		m := &marks[i]
		if m.Tried(seq, t.allowanceSeq) && m.NewCount == 0 {
			continue
		}
		if m.BlockedAt != 0 && m.BlockedAt != seq && !s.mayFit(m, classes[i], factors, freed, now) {
			m.BlockedAt = seq
			if m.Tried(seq, t.allowanceSeq) && m.NewCount == 0 {
				continue
			}
		}
		s.candidates = append(s.candidates, classes[i])
	}
}

// loadFreed updates f to the capacity freed after the sequence number.
func (s *Scheduler) loadFreed(f *caplace.FreedCapacity, seq uint64) {
	if f.Seq != seq {
		*f = s.index.FreedSince(seq)
	}
}

// mayFit reports whether a job of a blocked class may fit on an upstream whose
// free capacity has grown since the class was tried.
func (s *Scheduler) mayFit(m *caqueue.ClassState, c *class, factors *sizeFactors, freed *caplace.FreedCapacity, now time.Time) bool {
	s.loadFreed(freed, m.BlockedAt)
	if !freed.Known {
		return true
	}
	size := factors.byKind[m.Kind].Apply(m.MinSize)
	if !size.Fits(freed.Largest) {
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

// sizeFactors are the factors by which declared sizes are multiplied to get
// lower bounds of the corrected sizes.
type sizeFactors struct {
	byKind [workKindCount]caestimate.SizeFactor
	// overall is the lowest factor over all kinds.
	overall caestimate.SizeFactor
}

// sizeFactors returns the current size factors of the team.
func (t *team) sizeFactors() sizeFactors {
	var f sizeFactors
	for k, r := range t.records {
		f.byKind[k] = r.LowerBound()
		if k == 0 {
			f.overall = f.byKind[k]
		}
		f.overall = f.overall.Min(f.byKind[k])
	}
	return f
}

// popEarliest removes and returns the candidate whose head is due first.
func (s *Scheduler) popEarliest(t *team) *class {
	first := 0
	for i, c := range s.candidates {
		if t.queue.HeadLess(c, s.candidates[first]) {
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
// job behind it. It tries a limited number of jobs and continues with the others
// in the next call. When all were tried, the class is marked so that it is
// skipped until capacity or allowance is freed.
func (s *Scheduler) tryClass(t *team, c *class, now time.Time) bool {
	if t.queue.ClassState(c).Tried(s.index.Seq(), t.allowanceSeq) {
		return s.tryFresh(t, c, now)
	}
	seq, allowanceSeq := c.BeginScan(s.index.Seq(), t.allowanceSeq)
	head := c.Head().Value
	result := s.tryJob(t, head, now)
	if result == resultPlaced || result == resultDeferred {
		return result == resultPlaced
	}
	t.queue.ClassState(c).HeadBlocked = result == resultBlocked
	var seen [resultCount]bool
	seen[result] = true
	atEnd := c.Scan(maxTriesBehindHead, func(j *caledger.Job) bool {
		if s.demand(head).Fits(s.demand(j)) && head.TasksPerStart() <= j.TasksPerStart() {
			return true
		}
		result = s.tryJob(t, j, now)
		seen[result] = true
		return result != resultPlaced && result != resultDeferred
	})
	if !atEnd || seen[resultPlaced] || seen[resultDeferred] {
		s.hasUntried = s.hasUntried || !seen[resultPlaced] && !seen[resultDeferred]
		return seen[resultPlaced]
	}
	if !seen[resultBlocked] {
		seq = 0
	}
	if !seen[resultLimited] {
		allowanceSeq = 0
	}
	t.queue.MarkClassTried(c, seq, allowanceSeq)
	return false
}

// tryFresh places a job that was queued after all others of its class were
// tried.
func (s *Scheduler) tryFresh(t *team, c *class, now time.Time) bool {
	for range maxTriesBehindHead {
		j, ok := t.queue.TakeNew(c)
		if !ok {
			return false
		}
		switch m := t.queue.ClassState(c); s.tryJob(t, j, now) {
		case resultPlaced:
			return true
		case resultLimited:
			m.LimitedAt = t.allowanceSeq
		case resultBlocked:
			m.BlockedAt = s.index.Seq()
		case resultDeferred:
			m.BlockedAt, m.LimitedAt = 0, 0
			return false
		}
	}
	s.hasUntried = true
	return false
}

// tryJob places the job or returns why it cannot be placed.
func (s *Scheduler) tryJob(t *team, j *caledger.Job, now time.Time) tryResult {
	q := s.query(j, now)
	n := j.TasksPerStart()
	if !t.Allows(q.Demand.Size.Times(int64(n))) {
		return resultLimited
	}
	if s.isDeferrable(j) && s.mustDefer(t, q.Demand.Size.Times(int64(n)), now) {
		return resultDeferred
	}
	if !s.findHosts(&q, n) {
		return resultBlocked
	}
	s.openTasks(t, j, &q, now)
	return resultPlaced
}

// isDeferrable reports whether the job may be deferred in favor of teams below
// their share. Urgent jobs and look-ups are not deferred because a user waits
// for them; a look-up also ends long before enough capacity would be free for a
// larger task. A job with held capacity is not deferred either.
func (s *Scheduler) isDeferrable(j *caledger.Job) bool {
	return !j.Spec.Urgent && j.Spec.Kind != cawork.WorkKindLookup && !s.hasHold(j)
}

// mustDefer reports whether the amount would take the team beyond its share
// while a team below its share waits for capacity. Without deferral, teams with
// small tasks and gangs would take each piece of free capacity at once, and it
// would never become large enough for the larger tasks of other teams.
func (s *Scheduler) mustDefer(t *team, r cawork.Resources, now time.Time) bool {
	if s.shares.DominantShareWith(t.Team, r) <= t.Entitlement(s.roundLevel)+deferTolerance*s.roundLevel {
		return false
	}
	for _, o := range s.sortedTeams {
		if o == t || o.exhaustedRound != s.round || s.shares.DominantShareWith(o.Team, cawork.Resources{}) >= o.Entitlement(s.roundLevel) {
			continue
		}
		if o.awaitsRound != s.round {
			o.awaitsRound, o.awaitsCapacity = s.round, s.isAwaitingCapacity(o, now)
		}
		if o.awaitsCapacity {
			return true
		}
	}
	return false
}

// isAwaitingCapacity reports whether placements of other teams are deferred for
// the first blocked job of the team. They are not for a job with constraints or
// accelerators, which may not fit on the upstreams whose tasks end. If the team
// starts nothing within maxDeferral, the deferral ends until it does, so that a
// job that is too large does not leave capacity idle.
func (s *Scheduler) isAwaitingCapacity(t *team, now time.Time) bool {
	c := s.firstBlocked(t, func(*caqueue.ClassState) bool { return true })
	if c == nil {
		return false
	}
	j := c.Head().Value
	if j.Spec.Constraints != (cawork.Constraints{}) || j.Spec.Size.Accelerators > 0 {
		return false
	}
	if t.deferredToSince.IsZero() {
		t.deferredToSince = now
	}
	return now.Sub(t.deferredToSince) < maxDeferral
}

// findHosts finds upstreams for n tasks and commits the capacity, for all n tasks
// or for none. It sets s.foundHosts to the upstreams.
func (s *Scheduler) findHosts(q *caplace.Query, n int) bool {
	s.foundHosts = s.foundHosts[:0]
	if n > 1 && s.index.CountFitting(q, n) < n {
		return false
	}
	for len(s.foundHosts) < n {
		h, ok := s.index.Best(q)
		if !ok {
			s.releaseHosts(q.Demand)
			return false
		}
		s.takeHost(h, q)
		for len(s.foundHosts) < n && q.Placement == cawork.PlacementPack && s.index.Accepts(h, q) {
			s.takeHost(h, q)
		}
	}
	return true
}

func (s *Scheduler) takeHost(h caplace.HostIndex, q *caplace.Query) {
	s.index.CommitFor(h, q)
	s.foundHosts = append(s.foundHosts, h)
	if q.Placement == cawork.PlacementSpread {
		s.siblingHosts = append(q.JobHosts, h)
		q.JobHosts = s.siblingHosts
	}
}

func (s *Scheduler) releaseHosts(d caplace.Demand) {
	for _, h := range s.foundHosts {
		s.index.Release(h, d)
	}
	s.foundHosts = s.foundHosts[:0]
}

// openTasks opens the next tasks of the job on the upstreams in s.foundHosts,
// whose capacity is already committed.
func (s *Scheduler) openTasks(t *team, j *caledger.Job, q *caplace.Query, now time.Time) {
	d := s.jobDecision(casched.DecisionPlace, s.placeReason(j, s.foundHosts[0]), j, now)
	if j.IsGang() {
		d.Kind = casched.DecisionPlaceGang
	}
	if j.IsGang() && len(s.foundHosts) != j.Queued() {
		s.reportViolation(casched.InvariantGangWhole, "%d of %d tasks of gang %s are placed",
			len(s.foundHosts), j.Queued(), j.ID)
	}
	d.Placements = make([]casched.Placement, 0, len(s.foundHosts))
	for _, h := range s.foundHosts {
		o := caledger.OpenParams{
			Host: h, Upstream: s.index.ID(h), Demand: q.Demand, Account: t.Team, Now: now, ExpectedEnd: q.End,
		}
		task := s.ledger.OpenNext(j, o)
		d.Attempts = task.Attempts - 1
		d.Placements = append(d.Placements, task.Placement())
		s.afterTake(h)
	}
	s.chargeOpened(t, j, q.Demand.Size.Times(int64(len(s.foundHosts))), len(s.foundHosts), now)
	s.emit(d)
}

// chargeOpened charges n opened tasks to the team and removes them from its
// queue.
func (s *Scheduler) chargeOpened(t *team, j *caledger.Job, charge cawork.Resources, n int, now time.Time) {
	s.charge(t, charge)
	if !t.Use.Fits(t.Allowance) {
		s.reportViolation(casched.InvariantWithinAllowance, "team %s uses %v of an allowance of %v",
			t.Name, t.Use, t.Allowance)
	}
	t.startIntervals[j.Spec.Kind].add(n, now)
	t.noteDequeued(j.Spec.Kind, n)
	t.deferredToSince = time.Time{}
	j.ReservedAt = time.Time{}
	s.dropDeadline(j)
	s.dropHoldOf(j)
	s.refreshEntry(j)
}

// afterTake asserts that the upstream is not overcommitted, and closes an
// upstream on trial so that it gets no second task.
func (s *Scheduler) afterTake(h caplace.HostIndex) {
	if free := s.index.FreeOn(h); free.Size.IsNegative() || free.Slots < 0 || free.Connections < 0 {
		s.reportViolation(casched.InvariantNoOvercommit, "upstream %s has negative free capacity: %v", s.index.ID(h), free)
	}
	if s.index.StateOf(h) == caplace.StateProbe {
		s.index.SetHealthState(h, caplace.StateClosed)
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
	case j.IsGang():
		return casched.ReasonGangFits
	case j.Spec.Urgent:
		return casched.ReasonUrgent
	default:
		return casched.ReasonLowestShare
	}
}
