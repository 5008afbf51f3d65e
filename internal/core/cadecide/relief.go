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
	// reliefPeriod is the least time between two searches for relief.
	reliefPeriod = 50 * time.Millisecond
	// reliefPause is how long jobs that could not be helped are passed over.
	reliefPause = 2 * time.Second
	// urgentPause is how long a team waits for the next search for its urgent jobs
	// when it got no new one.
	urgentPause = 200 * time.Millisecond
	// maxPassed is the most jobs of a team that are passed over in a period.
	maxPassed = 4
	// shareTolerance is how far below its share a team takes room from others, as
	// a part of the share of a team of weight 1. Above it, the ends of tasks even
	// the shares out.
	//
	// Example: teams of the weights 4 and 1 are owed 0.4 and 0.1. Were the first
	// to wait until it lacks 0.05 of its own share, 0.02, the other could be
	// at 0.12, a fifth beyond its own.
	shareTolerance = 0.05
	// minRun is how long a task runs at least before it makes room for one that
	// is not urgent.
	minRun = 30 * time.Second
	// maxReserving is the most jobs that have a reservation at a time.
	maxReserving = 4
	// maxPreempting is the most jobs that wait for preempted room at a time.
	maxPreempting = 16
	// overdueGrace is the time that a reservation is kept after its room was
	// expected.
	overdueGrace = 2 * time.Second
)

// claim is room that is held for a job.
type claim struct {
	job     *caledger.Job
	hosts   []caplace.HostIndex
	expires time.Time
	preempt bool
}

// relieve helps jobs that do not fit: room is taken from teams above their
// share for jobs of teams below theirs, and is reserved for jobs that have
// waited long. One search is made in each period, and one in each call for urgent
// jobs.
func (s *Scheduler) relieve(now time.Time) {
	if s.relieveUrgent(now) || s.full() || now.Before(s.nextRelief) {
		return
	}
	s.nextRelief = now.Add(reliefPeriod)
	s.round++
	for t := s.lowest(); t != nil; t = s.lowest() {
		t.exhausted = s.round
		if s.relieveTeam(t, now) {
			return
		}
	}
}

// relieveUrgent searches room for the first blocked urgent job of a team that has
// a new one, or one whose last search was in vain a while ago. It reports
// whether it searched.
func (s *Scheduler) relieveUrgent(now time.Time) bool {
	for _, t := range s.order {
		if t.urgent == 0 || now.Before(t.nextUrgent) || s.full() || s.countClaims(true) >= maxPreempting {
			continue
		}
		t.nextUrgent = now.Add(urgentPause)
		c := s.firstBlocked(t, func(m *caqueue.Mark) bool { return !m.PassedOver })
		if c == nil || !c.Head().Value.Spec.Urgent || !s.mayPreempt(t, c.Head().Value, now) {
			continue
		}
		if s.preemptFor(t, c.Head().Value, now) {
			t.nextUrgent = now
		} else {
			t.queue.Mark(c).PassedOver = true
		}
		return true
	}
	return false
}

// relieveTeam searches relief for the first blocked job of the team for which
// there may be some, and reports whether it searched. Jobs that cannot be
// helped are passed over for a while.
func (s *Scheduler) relieveTeam(t *team, now time.Time) bool {
	if !now.Before(t.nextRelief) {
		t.nextRelief = now.Add(reliefPause)
		for _, g := range t.queue.Groups() {
			marks := g.Marks()
			for i := range marks {
				marks[i].PassedOver = false
			}
		}
	}
	for range maxPassed {
		c := s.firstBlocked(t, func(m *caqueue.Mark) bool { return !m.PassedOver })
		if c == nil {
			return false
		}
		j := c.Head().Value
		if now.Sub(j.Accepted) < s.reliefAfter(j) {
			return false
		}
		preempt, reserve := s.mayPreempt(t, j, now), s.mayReserve(t, j, now)
		if (preempt && s.preemptFor(t, j, now)) || (reserve && s.reserveFor(j, now)) {
			return true
		}
		t.queue.Mark(c).PassedOver = true
		if preempt || reserve {
			return true
		}
	}
	return false
}

// reliefAfter returns the wait from which on the job may be helped.
func (s *Scheduler) reliefAfter(j *caledger.Job) time.Duration {
	p := s.policy.Kind(j.Spec.Kind)
	if p.PreemptAfter == 0 {
		return p.ReserveAfter
	}
	if j.Spec.Urgent {
		return min(p.PreemptAfter, p.UrgentPreemptAfter)
	}
	return min(p.PreemptAfter, p.ReserveAfter)
}

// firstBlocked returns the class whose head is due first among those that lack
// only room, have none held for them, and are accepted by the function.
func (s *Scheduler) firstBlocked(t *team, accept func(*caqueue.Mark) bool) *class {
	for {
		c := t.queue.First(func(m *caqueue.Mark) bool { return m.HeadBlocked && !m.Held && accept(m) })
		if c == nil || !s.claimed(c.Head().Value) {
			return c
		}
		t.queue.Mark(c).Held = true
	}
}

func (s *Scheduler) claimed(j *caledger.Job) bool {
	return len(s.claims) > 0 && slices.ContainsFunc(s.claims, func(c *claim) bool { return c.job == j })
}

func (s *Scheduler) countClaims(preempt bool) int {
	n := 0
	for _, c := range s.claims {
		if c.preempt == preempt {
			n++
		}
	}
	return n
}

// mayPreempt reports whether the job may take room from others by now.
func (s *Scheduler) mayPreempt(t *team, j *caledger.Job, now time.Time) bool {
	p := s.policy.Kind(j.Spec.Kind)
	after := p.PreemptAfter
	if j.Spec.Urgent {
		after = min(after, p.UrgentPreemptAfter)
	}
	if p.PreemptAfter == 0 || now.Sub(j.Accepted) < after || s.countClaims(true) >= maxPreempting {
		return false
	}
	whole := s.demand(j).Size.Times(int64(j.Width()))
	if !t.Allows(whole) {
		return false
	}
	level := s.level(t)
	owed := t.Entitlement(level)
	return j.Spec.Urgent || (s.shares.Dominant(t.Team, whole) <= owed &&
		s.shares.Dominant(t.Team, cawork.Resources{}) < owed-shareTolerance*level)
}

// preemptFor makes running tasks end for the job, when its team stays within
// its share.
func (s *Scheduler) preemptFor(t *team, j *caledger.Job, now time.Time) bool {
	d, n := s.demand(j), j.Width()
	b := s.newBudget(t, j)
	b.ownOnly = !b.within(t, d.Size.Times(int64(n)))
	plan, ok := capreempt.Find(s.victims(j, b, now), d, n, b)
	if !ok || len(plan.Victims) == 0 {
		return false
	}
	ending := withGangs(plan.Victims)
	if len(s.out)+len(ending) > casched.MaxDecisions {
		return false
	}
	reason := casched.ReasonShare
	if j.Spec.Urgent {
		reason = casched.ReasonUrgentPreemption
	}
	for _, t := range ending {
		if t.Stopping == caledger.StoppingNot {
			s.emit(s.checkpoint(t, reason, now))
		}
	}
	b.check()
	c := &claim{job: j, expires: now.Add(2 * s.policy.PreemptGrace), preempt: true}
	s.hold(c, plan, d, now)
	return true
}

// withGangs lists the victims with the other tasks of their gangs.
func withGangs(victims []capreempt.Victim) []*caledger.Task {
	var out []*caledger.Task
	seen := map[*caledger.Job]bool{}
	for _, v := range victims {
		j := v.Task.Job
		switch {
		case j == nil || !j.Gang():
			out = append(out, v.Task)
		case !seen[j]:
			seen[j] = true
			out = append(out, j.Open...)
		}
	}
	return out
}

// victims lists the upstreams that the job may use, with the tasks on them that
// may be stopped for it.
func (s *Scheduler) victims(j *caledger.Job, b *budget, now time.Time) []capreempt.Host {
	s.hostPool, s.victimPool = s.hostPool[:0], s.victimPool[:0]
	youngest := now
	if !j.Spec.Urgent {
		youngest = now.Add(-minRun)
	}
	for _, h := range s.hostsOf(b) {
		if !s.index.Admits(h, j.Spec.Constraints) || s.index.HeldFor(h, j.ID) {
			continue
		}
		first := len(s.victimPool)
		for _, t := range s.ledger.On(h) {
			if t.Stopping == caledger.StoppingNot && mayEnd(t) && !t.Urgent && !t.Placed.After(youngest) && b.allows(t) {
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

// hostsOf returns the upstreams on which the budget may be spent.
func (s *Scheduler) hostsOf(b *budget) []caplace.HostIndex {
	s.victimHosts = s.victimHosts[:0]
	if b.ownOnly {
		s.victimHosts = s.ledger.HostsOf(b.own, s.victimHosts)
		return s.victimHosts
	}
	for h := range s.index.Hosts() {
		s.victimHosts = append(s.victimHosts, h)
	}
	return s.victimHosts
}

// mayEnd reports whether the task may be ended without others that are not known
// here. A foreign gang may have tasks elsewhere.
func mayEnd(t *caledger.Task) bool { return t.Job != nil || t.Kind != cawork.WorkKindGang }

// mayReserve reports whether room may be reserved for the job by now. A team
// whose share the job would pass reserves only while it uses less than half of
// it, so that the room that it waits for is not taken from other teams.
func (s *Scheduler) mayReserve(t *team, j *caledger.Job, now time.Time) bool {
	p := s.policy.Kind(j.Spec.Kind)
	if p.ReserveBound == 0 || now.Sub(j.Accepted) < p.ReserveAfter || now.Before(j.NextReserve) ||
		!s.large(j) || s.countClaims(false) >= maxReserving {
		return false
	}
	whole := s.demand(j).Size.Times(int64(j.Width()))
	if !t.Allows(whole) {
		return false
	}
	owed := t.Entitlement(s.level(t))
	return s.shares.Dominant(t.Team, whole) <= owed || s.shares.Dominant(t.Team, cawork.Resources{}) <= owed/2
}

// large reports whether smaller work could keep the job from ever fitting: it
// is a gang, or a task takes more than half of the largest upstream.
func (s *Scheduler) large(j *caledger.Job) bool {
	return j.Gang() || s.index.LargePart(s.demand(j)) > 0.5
}

// reserveFor reserves room for a job that has waited long.
func (s *Scheduler) reserveFor(j *caledger.Job, now time.Time) bool {
	p := s.policy.Kind(j.Spec.Kind)
	if j.ReservedAt.IsZero() {
		j.ReservedAt = now
	}
	last := j.ReservedAt.Add(p.ReserveBound)
	if !now.Before(last) {
		j.ReservedAt, j.NextReserve = time.Time{}, now.Add(p.ReserveBound)
		return false
	}
	plan, ok := s.planFor(j, now)
	if !ok || plan.At.After(last) {
		j.ReservedAt, j.NextReserve = time.Time{}, now.Add(p.ReserveAfter)
		return false
	}
	c := &claim{job: j, expires: earlier(plan.At.Add(overdueGrace), last)}
	for _, part := range plan.Parts {
		c.hosts = append(c.hosts, part.Host)
		s.index.SetHold(part.Host, s.holdOf(j, part, plan.At, now))
	}
	s.claims = append(s.claims, c)
	s.emit(s.onJob(casched.DecisionReserve, casched.ReasonBlocked, j, now))
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *Scheduler) holdOf(j *caledger.Job, p cabackfill.Part, at, now time.Time) caplace.Hold {
	h := caplace.Hold{Owner: j.ID, Until: at, Slack: p.Slack}
	if !s.policy.Backfill {
		h.Until = now
	}
	return h
}

// planFor finds when and where the job will fit.
func (s *Scheduler) planFor(j *caledger.Job, now time.Time) (cabackfill.Plan, bool) {
	var hosts []cabackfill.Host
	var releases []cabackfill.Release
	for h := range s.index.Hosts() {
		if !s.index.Admits(h, j.Spec.Constraints) || s.index.HeldFor(h, j.ID) {
			continue
		}
		hosts = append(hosts, cabackfill.Host{Index: h, Free: s.index.FreeOn(h)})
		for _, t := range s.ledger.On(h) {
			end := caplace.ExpectedEnd(t.Placed, t.End, now)
			if t.Stopping != caledger.StoppingNot {
				end = now.Add(s.policy.PreemptGrace)
			}
			if !end.IsZero() {
				releases = append(releases, cabackfill.Release{Host: h, Demand: t.Demand, At: end})
			}
		}
	}
	return cabackfill.Find(hosts, releases, s.demand(j), j.Width(), now)
}

// hold keeps the room that the plan makes for the job of the claim alone. What
// is left beside it may be used.
func (s *Scheduler) hold(c *claim, p capreempt.Plan, unit caplace.Demand, now time.Time) {
	for _, h := range p.Hosts {
		slack := s.index.FreeOn(h)
		if slices.Contains(c.hosts, h) {
			slack = s.index.HoldOf(h).Slack
		}
		slack = slack.Minus(unit)
		if !slices.Contains(c.hosts, h) {
			c.hosts = append(c.hosts, h)
			for _, v := range p.Victims {
				if v.Task.Host == h {
					slack = slack.Plus(v.Task.Demand)
				}
			}
		}
		s.index.SetHold(h, caplace.Hold{Owner: c.job.ID, Until: now, Slack: slack})
	}
	s.claims = append(s.claims, c)
}

func (s *Scheduler) release(c *claim) {
	for _, h := range c.hosts {
		s.index.SetHold(h, caplace.Hold{})
	}
	if e := c.job.Entry; e != nil {
		s.team(c.job.Team).queue.Mark(e.Class()).Held = false
	}
}

func (s *Scheduler) dropClaims(drop func(*claim) bool) {
	s.claims = slices.DeleteFunc(s.claims, func(c *claim) bool {
		if !drop(c) {
			return false
		}
		s.release(c)
		return true
	})
}

func (s *Scheduler) dropClaimOf(j *caledger.Job) {
	if len(s.claims) > 0 {
		s.dropClaims(func(c *claim) bool { return c.job == j })
	}
}

func (s *Scheduler) dropClaimsOn(h caplace.HostIndex) {
	s.dropClaims(func(c *claim) bool { return slices.Contains(c.hosts, h) })
}

func (s *Scheduler) expireClaims(now time.Time) {
	s.dropClaims(func(c *claim) bool { return !now.Before(c.expires) })
}
