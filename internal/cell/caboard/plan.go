package caboard

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caadmission"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// Plan assigns waiting tasks to upstreams and returns the orders that are due now. The
// assignments become part of the next batch.
func (b *Planner) Plan() caorder.Orders {
	b.plans++
	b.checkUnansweredStarts()
	b.pruneSteps()
	b.updateDepartures()
	b.sortSteps()
	b.pools = b.newPoolPlans()
	b.updateOutages()
	b.planPartitions()
	b.noteViewExpiry()
	if !b.storeUnavailable && !b.isViewExpired() {
		b.copyStragglers()
		b.reserveForSingleTasks()
		b.placeSteps()
		b.stopDepartingRuns()
	}
	return caorder.Orders{Stops: append(b.dueStops(), b.lateStops()...), ApprovalRequests: b.approvalRequests(), Probes: b.takeProbes()}
}

// placeSteps assigns tasks that have room, in the order of the steps.
func (b *Planner) placeSteps() {
	b.updateProbation()
	for _, s := range b.steps {
		if s.waitingTasks == 0 || !s.ready {
			continue
		}
		if !b.mayStartTasks(s) {
			b.dropReservation(s)
			continue
		}
		q, ok := b.queueOf(s.job)
		if !ok {
			continue
		}
		p := b.pools[q.Pool]
		if p == nil {
			continue
		}
		b.chooseSpeed(s)
		if !s.spec.Gang {
			b.placeTasks(s, q, p)
			continue
		}
		if b.placeGang(s, q, p) {
			b.dropReservation(s)
			continue
		}
		b.updateReservation(s, q, p)
	}
}

// poolPlan is the state of a pool during one plan.
type poolPlan struct {
	// upstreams are those that accept new work, and rooms what each of them has free. A plan
	// reads the rooms of all of them for many steps.
	upstreams []*upstream
	rooms     []cawork.Resources
	// maxFree bounds the free room of each upstream, in each dimension. It is outdated while tasks
	// are placed where the room was the largest.
	maxFree           cawork.Resources
	isMaxFreeOutdated bool
	// free is the free room of all upstreams.
	free cawork.Resources
	// capacity is that of all upstreams, reservedCPU the part that is reserved for gangs,
	// and taskReservedCPU the part that is reserved for single tasks, of which there are
	// taskReservations.
	capacity                     cawork.MilliCPU
	reservedCPU, taskReservedCPU float64
	taskReservations             int
	// maxCapacity bounds the capacity of each upstream, in each dimension.
	maxCapacity cawork.Resources
	// demand is what runs and waits, in thousandths of a core. wideDemand is the part of
	// wide gangs, and waitingWideTasks counts their waiting tasks.
	demand, wideDemand float64
	waitingWideTasks   int
	// spareGangSlots is how many slots of the gang partition other work may take.
	spareGangSlots int
	// contended is set when a gang that can meet its objective finds the limit for
	// reservations reached.
	contended bool
}

func (b *Planner) newPoolPlans() map[caspec.PoolName]*poolPlan {
	pools := make(map[caspec.PoolName]*poolPlan)
	for _, u := range b.sortedUpstreams {
		if r := u.reservedBy; r != nil && (r.reservation == nil || r.waitingTasks+r.tasksEnding == 0 || r.job.Phase.IsFinal() || b.isDrained(u)) {
			u.release(r)
		}
		u.available = u.acceptsWork(b.now.Monotonic) && !b.isDrained(u) && b.mayExtendLease(u)
		b.growth.notice(u)
		if !u.available {
			continue
		}
		p, ok := pools[u.info.Pool]
		if !ok {
			p = &poolPlan{upstreams: make([]*upstream, 0, len(b.sortedUpstreams)), rooms: make([]cawork.Resources, 0, len(b.sortedUpstreams))}
			pools[u.info.Pool] = p
		}
		u.planIndex = len(p.upstreams)
		p.upstreams = append(p.upstreams, u)
		p.rooms = append(p.rooms, u.free())
		p.free = p.free.Plus(u.free().Floor())
		p.capacity += u.info.Capacity.CPU
		p.demand += float64(u.used.CPU)
		p.wideDemand += float64(u.usedWide)
		p.maxCapacity = p.maxCapacity.Most(u.info.Capacity)
		switch {
		case u.reservedBy == nil:
		case u.reservedBy.spec.Gang:
			p.reservedCPU += float64(u.info.Capacity.CPU)
		default:
			p.taskReservedCPU += float64(u.reservedRoom.CPU)
			p.taskReservations++
		}
	}
	b.growth.trim()
	for _, p := range pools {
		p.updateMaxFree()
	}
	return pools
}

// updateMaxFree recomputes the bound of the free room.
func (p *poolPlan) updateMaxFree() {
	p.maxFree = cawork.Resources{}
	for i := range p.rooms {
		p.maxFree = p.maxFree.Most(p.rooms[i])
	}
}

// updateRoom applies what an upstream has free after a run was assigned to it.
func (p *poolPlan) updateRoom(u *upstream) {
	before, now := p.rooms[u.planIndex].Floor(), u.free()
	p.rooms[u.planIndex], u.seen.free = now, now
	p.free = p.free.Minus(before).Plus(now.Floor())
	if before.CPU == p.maxFree.CPU || before.Memory == p.maxFree.Memory || before.Accelerators == p.maxFree.Accelerators {
		p.isMaxFreeOutdated = true
	}
}

// endPlacement ends the placement of the tasks of a step.
func (p *poolPlan) endPlacement() {
	if p.isMaxFreeOutdated {
		p.updateMaxFree()
		p.isMaxFreeOutdated = false
	}
}

// pruneSteps drops steps that have ended.
func (b *Planner) pruneSteps() {
	kept := b.steps[:0]
	for _, s := range b.steps {
		if s.job.Phase.IsFinal() || s.waitingTasks == 0 && s.state().IsDone() {
			continue
		}
		kept = append(kept, s)
	}
	clear(b.steps[len(kept):])
	b.steps = kept
}

// sortSteps sorts the steps in the order in which they are placed.
func (b *Planner) sortSteps() {
	// The steps whose keys did not change since the last plan are still in order.
	moved, kept := b.movedSteps[:0], b.keptSteps[:0]
	for i, s := range b.steps {
		s.lateness = b.lateness(s)
		s.tasksToRestart = s.countTasksToRestart()
		s.position = i
		key := stepKey{lateness: s.lateness, priority: s.job.priority, restarts: s.restarts() > 0, acceptedAt: s.job.acceptedAt}
		if key == s.sortedBy {
			kept = append(kept, s)
			continue
		}
		s.sortedBy = key
		moved = append(moved, s)
	}
	slices.SortFunc(moved, compareSteps)
	b.steps = mergeSteps(b.steps[:0], kept, moved)
	clear(kept)
	clear(moved)
	b.keptSteps, b.movedSteps = kept, moved
}

// stepKey holds what may change of that by which a step was sorted last.
type stepKey struct {
	lateness, priority int
	restarts           bool
	acceptedAt         time.Time
}

// mergeSteps appends two sorted lists in order.
func mergeSteps(merged, x, y []*step) []*step {
	for len(x) > 0 && len(y) > 0 {
		if compareSteps(x[0], y[0]) < 0 {
			merged, x = append(merged, x[0]), x[1:]
			continue
		}
		merged, y = append(merged, y[0]), y[1:]
	}
	return append(append(merged, x...), y...)
}

// compareSteps orders steps as they are placed, and steps without a difference as they were.
func compareSteps(x, y *step) int {
	switch {
	case x.lateness != y.lateness:
		return cmp.Compare(x.lateness, y.lateness)
	case x.job == y.job:
		return cmp.Or(compareBool(y.restarts() > 0, x.restarts() > 0), cmp.Compare(x.number, y.number), cmp.Compare(x.position, y.position))
	case x.job.priority != y.job.priority:
		return cmp.Compare(x.job.priority, y.job.priority)
	case x.restarts() > 0 != (y.restarts() > 0):
		return compareBool(y.restarts() > 0, x.restarts() > 0)
	case x.job.OverRate != y.job.OverRate:
		return compareBool(x.job.OverRate, y.job.OverRate)
	case !x.job.acceptedAt.Equal(y.job.acceptedAt):
		return x.job.acceptedAt.Compare(y.job.acceptedAt)
	default:
		return cmp.Compare(x.job.Submission.ID, y.job.Submission.ID)
	}
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// The ranks of lateness.
const (
	latenessNone = iota
	latenessLate
	// latenessUseless means that the result has lost its value. The job still runs,
	// behind all others.
	latenessUseless
)

// lateness ranks a step by the remaining value of its job's result. A job that can no
// longer meet its objective counts as late at once, so that it takes no room from jobs
// that can.
func (b *Planner) lateness(s *step) int {
	j := s.job
	if !s.mayBeLate() {
		return latenessNone
	}
	age := b.age(j)
	switch {
	case age > uselessAfterObjectives*j.objective:
		return latenessUseless
	case age+time.Duration(neededEstimateShare*float64(s.criticalPath)) > j.objective:
		return latenessLate
	default:
		return latenessNone
	}
}

// mayBeLate reports whether the step has a time by which it should end.
func (s *step) mayBeLate() bool {
	return s.job.objective != 0 && !s.job.isTimed && !s.spec.LongRunning
}

// placeTasks assigns the waiting tasks of a step one by one.
func (b *Planner) placeTasks(s *step, q caspec.Queue, p *poolPlan) {
	if !s.spec.Size().Fits(p.maxFree) || !b.withinLimit(s.job.Submission.Team, s.spec.Size()) {
		return
	}
	if q.Approval != nil && !b.hasRoomAtApproved(s) {
		return
	}
	placed := false
	tasks := s.state().Tasks
	for i := range tasks {
		if tasks[i].Phase != castate.TaskWaiting || b.isHeldBack(s, i) {
			continue
		}
		u, ticket := b.bestUpstream(s, q, p, i)
		if u == nil && s.job.onProbation {
			continue
		}
		if u == nil {
			break
		}
		b.assign(s, i, tasks[i].Run+1, u, ticket)
		placed = true
	}
	if placed {
		p.endPlacement()
	}
}

// upstreamToAvoid returns the upstream that a task should not run on again, if any: its
// last run failed there, or that run is being copied.
func upstreamToAvoid(s *step, t *castate.Task) cawork.UpstreamID {
	if t.Failures == 0 && !mayCopy(s.spec) {
		return ""
	}
	return t.Upstream
}

// bestUpstream returns the upstream for a task of the step, with its ticket. The upstream to
// avoid is the last choice.
func (b *Planner) bestUpstream(s *step, q caspec.Queue, p *poolPlan, index int) (*upstream, string) {
	size, avoid := s.spec.Size(), upstreamToAvoid(s, &s.state().Tasks[index])
	if !b.withinLimit(s.job.Submission.Team, size) {
		return nil, ""
	}
	var best *upstream
	var bestTicket string
	var bestScore float64
	for _, u := range b.usableUpstreams(s, q, p) {
		if !size.Fits(u.free()) {
			continue
		}
		score := b.placementScore(s, u, avoid)
		if best != nil && (score > bestScore || score == bestScore && u.info.ID >= best.info.ID) {
			continue
		}
		if ticket, ok := b.mayPlace(s, q, u); ok && b.isTaskApart(s, index, u) {
			best, bestTicket, bestScore = u, ticket, score
		}
	}
	return best, bestTicket
}

// placementScore scores an upstream for one more task of a step. The lowest score is the
// best.
func (b *Planner) placementScore(s *step, u *upstream, avoid cawork.UpstreamID) float64 {
	score := s.baseScore(u, b.takesGangSlot(s, u)) + s.probationPenalty(u)
	if s.urgent {
		score += unplacedShareWeight * unplacedShare(s, u)
	}
	if u.info.ID == avoid || u.health.WasEjected() {
		score += avoidPenalty
	}
	return score
}

// unplacedShare returns the fraction of a step's waiting tasks that does not fit on an
// upstream.
func unplacedShare(s *step, u *upstream) float64 {
	return max(1-float64(caroom.TasksIn(u.free(), s.spec))/float64(s.waitingTasks), 0)
}

// usableUpstreams returns the upstreams that may be considered for a step: the approved
// ones, where approval is needed. The next call overwrites the result.
func (b *Planner) usableUpstreams(s *step, q caspec.Queue, p *poolPlan) []*upstream {
	if q.Approval == nil {
		b.visits += int64(len(p.upstreams))
		return p.upstreams
	}
	b.visits += int64(len(s.approvals.answers.Tickets()))
	usable := b.usable[:0]
	for _, t := range s.approvals.answers.Tickets() {
		if u := b.bySlot[t.Place.Slot]; u != nil && u.available {
			usable = append(usable, u)
		}
	}
	b.usable = usable
	return usable
}

// mayPlace reports whether one more task of the step may be placed on an upstream, and
// returns the ticket that permits it.
func (b *Planner) mayPlace(s *step, q caspec.Queue, u *upstream) (string, bool) {
	if !u.available || u.slow && s.avoidsSlow || u.info.Pool != q.Pool || !u.info.HasLabel(s.spec.Label) || !b.mayBackfill(s, u) || !b.mayUsePartition(s, q, u) || !b.isApart(s, u) {
		return "", false
	}
	if s.spec.MaxPerUpstream > 0 && u.runCount(s) >= s.spec.MaxPerUpstream || !b.isRackAllowed(s, u) {
		return "", false
	}
	if q.Approval == nil {
		return "", true
	}
	return b.validTicket(s, u, b.now.Monotonic)
}

// runCount returns the number of runs of the step at the upstream.
func (u *upstream) runCount(s *step) int {
	n := 0
	for _, r := range u.runs {
		if r.step == s {
			n++
		}
	}
	return n
}

// isRackAllowed reports whether the step may use the upstream: it is in the rack of the
// step's data, or the step has waited long enough to use another rack.
func (b *Planner) isRackAllowed(s *step, u *upstream) bool {
	return s.spec.Rack == "" || u.info.HasLabel(s.spec.Rack) || b.isRackWaitOver(s)
}

// isRackWaitOver reports whether the step has waited long enough for its preferred rack.
func (b *Planner) isRackWaitOver(s *step) bool {
	return b.now.Monotonic.Sub(s.readyAt) > time.Duration(maxRackWaitShare*float64(s.spec.Estimate))
}

// assign assigns a new run of a task to an upstream.
func (b *Planner) assign(s *step, index, number int, u *upstream, ticket string) {
	t := &s.state().Tasks[index]
	t.Phase = castate.TaskAssigned
	t.Run = number
	t.Upstream, t.Born = u.info.ID, u.info.Incarnation
	s.waitingTasks--
	s.starts++
	r := b.newRun(s, index, u)
	r.ticket = ticket
	r.ticketExpires = s.approvals.answers.Expiry(u.slot)
	b.statsOf(s.job.Submission.Queue).startRate.Add(b.now.Monotonic, caadmission.CoreTimeOf(s.spec.CPU, s.spec.Estimate, 1))
	r.resumed = t.Checkpoint != ""
	s.releaseStarted(u)
	b.charge(r)
	if p := b.pools[u.info.Pool]; p != nil {
		p.updateRoom(u)
	}
	b.countGangSlotUse(s, u)
	b.startProbationOf(r)
	b.checkInvariants(r)
	if !s.job.RunOrdered {
		s.job.RunOrdered = true
		if s.job.Phase == castate.PhaseQueued {
			s.job.Phase = castate.PhaseRunning
		}
	}
	b.markChanged(s.job)
	b.pendingStarts = append(b.pendingStarts, r)
}
