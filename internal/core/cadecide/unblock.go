package cadecide

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cabackfill"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/capreempt"
	"celeryarch.example/celeryarch/internal/core/caqueue"
	"celeryarch.example/celeryarch/internal/core/casched"
)

const (
	// unblockPeriod is the minimum time between two searches of unblockJobs.
	unblockPeriod = 50 * time.Millisecond
	// unblockRetryPeriod is how long jobs that could not be unblocked are passed
	// over.
	unblockRetryPeriod = 2 * time.Second
	// urgentSearchPeriod is the time between two searches for the urgent jobs of a
	// team to which no urgent job was added.
	urgentSearchPeriod = 200 * time.Millisecond
	// maxPassedOver limits the jobs of a team that one search may pass over.
	maxPassedOver = 4
	// shareTolerance is how far a team must be below its share before it preempts
	// tasks of other teams, as a fraction of the share of a team of weight 1.
	// Smaller differences are evened out as tasks end.
	//
	// Example: teams of weights 4 and 1 have the fair shares 0.4 and 0.1. If the
	// tolerance were 0.05 of the team's own share, the first team could stay 0.02
	// below its share and the second at 0.12, a fifth above its own.
	shareTolerance = 0.05
	// minRunBeforePreempt is how long a task runs before it may be preempted for a
	// job that is not urgent.
	minRunBeforePreempt = 30 * time.Second
	// maxReserveHolds limits the jobs that hold reserved capacity at a time.
	maxReserveHolds = 4
	// maxPreemptHolds limits the jobs that hold preempted capacity at a time.
	maxPreemptHolds = 16
	// reservationGrace is how long a reservation is kept after the time at which
	// its capacity was expected to be free.
	reservationGrace = 2 * time.Second
)

// jobHold is the capacity held for a blocked job: until preempted tasks have
// ended or, as a reservation, until running tasks are expected to end.
type jobHold struct {
	job          *caledger.Job
	hosts        []caplace.HostIndex
	expires      time.Time
	byPreemption bool
}

// unblockJobs frees or reserves capacity for blocked jobs: it preempts tasks of
// teams above their share for jobs of teams below theirs, and reserves capacity
// for jobs that have waited long. Each call makes at most one search, for an
// urgent job first; other jobs get one search per unblockPeriod.
func (s *Scheduler) unblockJobs(now time.Time) {
	if s.unblockUrgent(now) || s.full() || now.Before(s.nextUnblock) {
		return
	}
	s.nextUnblock = now.Add(unblockPeriod)
	s.round++
	for t := s.lowestShareTeam(); t != nil; t = s.lowestShareTeam() {
		t.exhaustedRound = s.round
		if s.unblockTeam(t, now) {
			return
		}
	}
}

// unblockUrgent preempts tasks for the first blocked urgent job of a team. Each
// team gets a search when an urgent job is added, after each successful search,
// and otherwise once per urgentSearchPeriod. It reports whether it searched.
func (s *Scheduler) unblockUrgent(now time.Time) bool {
	for _, t := range s.sortedTeams {
		if t.urgentQueued == 0 || now.Before(t.nextUrgentSearch) || s.full() || s.countHolds(true) >= maxPreemptHolds {
			continue
		}
		t.nextUrgentSearch = now.Add(urgentSearchPeriod)
		c := s.firstBlocked(t, func(m *caqueue.ClassState) bool { return !m.ReliefFailed })
		if c == nil || !c.Head().Value.Spec.Urgent || !s.mayPreempt(t, c.Head().Value, now) {
			continue
		}
		if s.preemptFor(t, c.Head().Value, now) {
			t.nextUrgentSearch = now
		} else {
			t.queue.ClassState(c).ReliefFailed = true
		}
		return true
	}
	return false
}

// unblockTeam preempts tasks or reserves capacity for the first blocked job of
// the team that the policy allows it for, and reports whether it searched. Jobs
// that cannot be unblocked are passed over until nextRetry.
func (s *Scheduler) unblockTeam(t *team, now time.Time) bool {
	if !now.Before(t.nextRetry) {
		t.nextRetry = now.Add(unblockRetryPeriod)
		for _, g := range t.queue.Groups() {
			marks := g.ClassStates()
			for i := range marks {
				marks[i].ReliefFailed = false
			}
		}
	}
	for range maxPassedOver {
		c := s.firstBlocked(t, func(m *caqueue.ClassState) bool { return !m.ReliefFailed })
		if c == nil {
			return false
		}
		j := c.Head().Value
		if now.Sub(j.Accepted) < s.unblockAfter(j) {
			return false
		}
		preempt, reserve := s.mayPreempt(t, j, now), s.mayReserve(t, j, now)
		if (preempt && s.preemptFor(t, j, now)) || (reserve && s.reserveFor(j, now)) {
			return true
		}
		t.queue.ClassState(c).ReliefFailed = true
		if preempt || reserve {
			return true
		}
	}
	return false
}

// unblockAfter returns how long the job waits before it may be unblocked.
func (s *Scheduler) unblockAfter(j *caledger.Job) time.Duration {
	p := s.policy.Kind(j.Spec.Kind)
	if p.PreemptAfter == 0 {
		return p.ReserveAfter
	}
	if j.Spec.Urgent {
		return min(p.PreemptAfter, p.UrgentPreemptAfter)
	}
	return min(p.PreemptAfter, p.ReserveAfter)
}

// firstBlocked returns the class whose head is due first among the classes that
// accept returns true for and whose head lacks only capacity and holds none. It
// returns nil when there is none.
func (s *Scheduler) firstBlocked(t *team, accept func(*caqueue.ClassState) bool) *class {
	for {
		c := t.queue.First(func(m *caqueue.ClassState) bool { return m.HeadBlocked && !m.Held && accept(m) })
		if c == nil || !s.hasHold(c.Head().Value) {
			return c
		}
		t.queue.ClassState(c).Held = true
	}
}

func (s *Scheduler) hasHold(j *caledger.Job) bool {
	return len(s.holds) > 0 && slices.ContainsFunc(s.holds, func(held *jobHold) bool { return held.job == j })
}

func (s *Scheduler) countHolds(byPreemption bool) int {
	n := 0
	for _, held := range s.holds {
		if held.byPreemption == byPreemption {
			n++
		}
	}
	return n
}

// mayPreempt reports whether the job has waited long enough to preempt other
// tasks and, unless it is urgent, its team is far enough below its share.
func (s *Scheduler) mayPreempt(t *team, j *caledger.Job, now time.Time) bool {
	p := s.policy.Kind(j.Spec.Kind)
	after := p.PreemptAfter
	if j.Spec.Urgent {
		after = min(after, p.UrgentPreemptAfter)
	}
	if p.PreemptAfter == 0 || now.Sub(j.Accepted) < after || s.countHolds(true) >= maxPreemptHolds {
		return false
	}
	total := s.demand(j).Size.Times(int64(j.TasksPerStart()))
	if !t.Allows(total) {
		return false
	}
	level := s.fairLevel(t)
	entitlement := t.Entitlement(level)
	return j.Spec.Urgent || (s.shares.DominantShareWith(t.Team, total) <= entitlement &&
		s.shares.DominantShareWith(t.Team, cawork.Resources{}) < entitlement-shareTolerance*level)
}

// preemptFor checkpoints running tasks to free capacity for the job and holds
// that capacity for it. If the job would take its team beyond its share, only
// tasks of the same team are preempted. It reports whether it found a plan.
func (s *Scheduler) preemptFor(t *team, j *caledger.Job, now time.Time) bool {
	d, n := s.demand(j), j.TasksPerStart()
	b := s.newBudget(t, j)
	b.ownOnly = !b.fitsShare(t, d.Size.Times(int64(n)))
	plan, ok := capreempt.Find(s.victims(j, b, now), d, n, b)
	if !ok || len(plan.Victims) == 0 {
		return false
	}
	ending := withGangs(plan.Victims)
	if len(s.decisions)+len(ending) > casched.MaxDecisions {
		return false
	}
	reason := casched.ReasonShare
	if j.Spec.Urgent {
		reason = casched.ReasonUrgentPreemption
	}
	for _, t := range ending {
		if t.StopStage == caledger.StopStageNone {
			s.emit(s.checkpoint(t, reason, now))
		}
	}
	b.check()
	held := &jobHold{job: j, expires: now.Add(2 * s.policy.PreemptGrace), byPreemption: true}
	s.holdPreempted(held, plan, d, now)
	return true
}

// withGangs returns the tasks of the victims and all other open tasks of their
// gangs.
func withGangs(victims []capreempt.Victim) []*caledger.Task {
	var out []*caledger.Task
	seen := map[*caledger.Job]bool{}
	for _, v := range victims {
		j := v.Task.Job
		switch {
		case j == nil || !j.IsGang():
			out = append(out, v.Task)
		case !seen[j]:
			seen[j] = true
			out = append(out, j.OpenTasks...)
		}
	}
	return out
}

// victims returns the upstreams that the job may use and the tasks on them that
// may be preempted for it.
func (s *Scheduler) victims(j *caledger.Job, b *budget, now time.Time) []capreempt.Host {
	s.hostPool, s.victimPool = s.hostPool[:0], s.victimPool[:0]
	youngest := now
	if !j.Spec.Urgent {
		youngest = now.Add(-minRunBeforePreempt)
	}
	for _, h := range s.hostsInBudget(b) {
		if !s.index.Admits(h, j.Spec.Constraints) || s.index.HeldForOther(h, j.ID) {
			continue
		}
		first := len(s.victimPool)
		for _, t := range s.ledger.TasksOn(h) {
			if t.StopStage == caledger.StopStageNone && isPreemptible(t) && !t.Urgent && !t.PlacedAt.After(youngest) && b.allows(t) {
				s.victimPool = append(s.victimPool, capreempt.Victim{Task: t, Loss: loss(t, now)})
			}
		}
		if len(s.victimPool) > first {
			s.hostPool = append(s.hostPool, capreempt.Host{
				Index: h, Free: s.index.FreeOn(h), Victims: s.victimPool[first:len(s.victimPool):len(s.victimPool)],
			})
		}
	}
	return s.hostPool
}

// hostsInBudget returns the upstreams to search for tasks to preempt: those with
// tasks of the own team if the budget allows no others, or else all.
func (s *Scheduler) hostsInBudget(b *budget) []caplace.HostIndex {
	s.victimHosts = s.victimHosts[:0]
	if b.ownOnly {
		s.victimHosts = s.ledger.TeamHosts(b.own, s.victimHosts)
		return s.victimHosts
	}
	for h := range s.index.HostBound() {
		s.victimHosts = append(s.victimHosts, h)
	}
	return s.victimHosts
}

// isPreemptible reports whether this entry can preempt the task with all tasks
// that must end together with it. A gang of another shard may have tasks that
// are unknown here.
func isPreemptible(t *caledger.Task) bool { return t.Job != nil || t.Kind != cawork.WorkKindGang }

// mayReserve reports whether the job has waited long enough to reserve capacity.
// If the job would take its team beyond its share, the team may reserve only
// while it uses at most half of its share, so that other teams do not lose the
// capacity to the reservation. A single task that is overdue may reserve as soon
// as its team is not beyond its share: smaller work of the team would otherwise
// keep the share in use for ever.
func (s *Scheduler) mayReserve(t *team, j *caledger.Job, now time.Time) bool {
	p := s.policy.Kind(j.Spec.Kind)
	if p.ReserveBound == 0 || now.Sub(j.Accepted) < p.ReserveAfter || now.Before(j.NextReserveAt) ||
		!s.isLarge(j) || s.countHolds(false) >= maxReserveHolds {
		return false
	}
	total := s.demand(j).Size.Times(int64(j.TasksPerStart()))
	if !t.Allows(total) {
		return false
	}
	entitlement, use := t.Entitlement(s.fairLevel(t)), s.shares.DominantShareWith(t.Team, cawork.Resources{})
	if s.shares.DominantShareWith(t.Team, total) <= entitlement || use <= entitlement/2 {
		return true
	}
	isOverdue := now.After(s.policy.DueTime(j.Job, s.expectedRunTime(j)))
	return j.TasksPerStart() == 1 && isOverdue && use <= entitlement
}

// isLarge reports whether smaller jobs could starve the job: it is a gang, or a
// task takes more than half of the largest upstream.
func (s *Scheduler) isLarge(j *caledger.Job) bool {
	return j.IsGang() || s.index.DominantFraction(s.demand(j)) > 0.5
}

// reserveFor reserves capacity for the job, for at most ReserveBound in total,
// and reports whether it succeeded. After a failure the job waits until
// NextReserveAt.
func (s *Scheduler) reserveFor(j *caledger.Job, now time.Time) bool {
	p := s.policy.Kind(j.Spec.Kind)
	if j.ReservedAt.IsZero() {
		j.ReservedAt = now
	}
	latest := j.ReservedAt.Add(p.ReserveBound)
	if !now.Before(latest) {
		j.ReservedAt, j.NextReserveAt = time.Time{}, now.Add(p.ReserveBound)
		return false
	}
	plan, ok := s.planReservation(j, now)
	if !ok || plan.At.After(latest) {
		j.ReservedAt, j.NextReserveAt = time.Time{}, now.Add(p.ReserveAfter)
		return false
	}
	held := &jobHold{job: j, expires: earlier(plan.At.Add(reservationGrace), latest)}
	for _, part := range plan.Allocations {
		held.hosts = append(held.hosts, part.Host)
		s.index.SetHold(part.Host, s.backfillHold(j, part, plan.At, now))
	}
	s.holds = append(s.holds, held)
	s.emit(s.jobDecision(casched.DecisionReserve, casched.ReasonBlocked, j, now))
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *Scheduler) backfillHold(j *caledger.Job, p cabackfill.Allocation, at, now time.Time) caplace.Hold {
	h := caplace.Hold{Owner: j.ID, Until: at, Slack: p.Slack}
	if !s.policy.Backfill {
		h.Until = now
	}
	return h
}

// planReservation returns the earliest time at which the job is expected to fit,
// and on which upstreams.
func (s *Scheduler) planReservation(j *caledger.Job, now time.Time) (cabackfill.Plan, bool) {
	var hosts []cabackfill.Host
	var releases []cabackfill.Release
	for h := range s.index.HostBound() {
		if !s.index.Admits(h, j.Spec.Constraints) || s.index.HeldForOther(h, j.ID) {
			continue
		}
		hosts = append(hosts, cabackfill.Host{Index: h, Free: s.index.FreeOn(h)})
		for _, t := range s.ledger.TasksOn(h) {
			end := caplace.ExpectedEnd(t.PlacedAt, t.ExpectedEnd, now)
			if t.StopStage != caledger.StopStageNone {
				end = now.Add(s.policy.PreemptGrace)
			}
			if !end.IsZero() {
				releases = append(releases, cabackfill.Release{Host: h, Demand: t.Demand, At: end})
			}
		}
	}
	return cabackfill.Find(hosts, releases, s.demand(j), j.TasksPerStart(), now)
}

// holdPreempted holds the capacity that the plan frees for the job. Other tasks
// may use the rest of the free capacity on those upstreams.
func (s *Scheduler) holdPreempted(held *jobHold, p capreempt.Plan, unit caplace.Demand, now time.Time) {
	for _, h := range p.Hosts {
		slack := s.index.FreeOn(h)
		if slices.Contains(held.hosts, h) {
			slack = s.index.HoldOf(h).Slack
		}
		slack = slack.Minus(unit)
		if !slices.Contains(held.hosts, h) {
			held.hosts = append(held.hosts, h)
			for _, v := range p.Victims {
				if v.Task.Host == h {
					slack = slack.Plus(v.Task.Demand)
				}
			}
		}
		s.index.SetHold(h, caplace.Hold{Owner: held.job.ID, Until: now, Slack: slack})
	}
	s.holds = append(s.holds, held)
}

func (s *Scheduler) releaseHold(held *jobHold) {
	for _, h := range held.hosts {
		s.index.SetHold(h, caplace.Hold{})
	}
	if e := held.job.QueueEntry; e != nil {
		s.team(held.job.Team).queue.ClassState(e.Class()).Held = false
	}
}

func (s *Scheduler) dropHolds(drop func(*jobHold) bool) {
	s.holds = slices.DeleteFunc(s.holds, func(held *jobHold) bool {
		if !drop(held) {
			return false
		}
		s.releaseHold(held)
		return true
	})
}

func (s *Scheduler) dropHoldOf(j *caledger.Job) {
	if len(s.holds) > 0 {
		s.dropHolds(func(held *jobHold) bool { return held.job == j })
	}
}

func (s *Scheduler) dropHoldsOn(h caplace.HostIndex) {
	s.dropHolds(func(held *jobHold) bool { return slices.Contains(held.hosts, h) })
}

func (s *Scheduler) expireHolds(now time.Time) {
	s.dropHolds(func(held *jobHold) bool { return !now.Before(held.expires) })
}
