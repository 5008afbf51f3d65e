package cadecide

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// budget bounds a preemption: no team goes below the share that it is owed.
// Urgent jobs may also take from other work of their own team.
type budget struct {
	s       *Scheduler
	job     *caledger.Job
	active  int
	ownOnly bool
	taken   map[*team]cawork.Resources
}

func (s *Scheduler) newBudget(t *team, j *caledger.Job) *budget {
	b := &budget{s: s, job: j, taken: map[*team]cawork.Resources{}}
	for _, o := range s.order {
		if o == t || o.queue.Len() > 0 || !o.Use.IsZero() || !o.Remote.IsZero() {
			b.active += o.Weight()
		}
	}
	return b
}

// within reports whether the team stays within its share with the amount added.
func (b *budget) within(t *team, r cawork.Resources) bool {
	return b.s.shares.Dominant(t.Team, r) <= t.Entitlement(b.active)
}

// Spend implements capreempt.Budget.
func (b *budget) Spend(v *caledger.Task) bool {
	t := b.s.team(v.Team)
	if v.Team == b.job.Team {
		return b.job.Spec.Urgent
	}
	if b.ownOnly {
		return false
	}
	after := b.taken[t].Plus(v.Demand.Size)
	if !b.keeps(t, after) {
		return false
	}
	b.taken[t] = after
	return true
}

// Refund implements capreempt.Budget.
func (b *budget) Refund(v *caledger.Task) {
	if v.Team != b.job.Team {
		t := b.s.team(v.Team)
		b.taken[t] = b.taken[t].Minus(v.Demand.Size)
	}
}

// keeps reports whether the team keeps its share without the amount and
// without what was asked to end already.
func (b *budget) keeps(t *team, r cawork.Resources) bool {
	less := cawork.Resources{}.Minus(r).Minus(t.stopping)
	return b.s.shares.Dominant(t.Team, less) >= t.Entitlement(b.active)
}

// check asserts that no team was taken below its share.
func (b *budget) check() {
	for t := range b.taken {
		if !b.keeps(t, cawork.Resources{}) && !b.taken[t].IsZero() {
			b.s.violated(casched.InvariantShareKept, "team %s lost %v", t.Name, b.taken[t])
		}
	}
}
