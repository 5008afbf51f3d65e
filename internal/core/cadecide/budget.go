package cadecide

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/core/cashare"
)

// budget bounds a preemption: no team goes below the share that it is owed.
// Urgent jobs may also take from other work of their own team. The first task
// that is taken of a gang spends the whole gang.
type budget struct {
	s       *Scheduler
	job     *caledger.Job
	own     *cashare.Team
	level   float64
	nominal float64
	ownOnly bool
	taken   map[*cashare.Team]cawork.Resources
	gangs   map[*caledger.Job]int
}

func (s *Scheduler) newBudget(t *team, j *caledger.Job) *budget {
	return &budget{
		s: s, job: j, own: t.Team, level: s.level(t), nominal: 1 / float64(s.activeWeight(t)),
		taken: map[*cashare.Team]cawork.Resources{}, gangs: map[*caledger.Job]int{},
	}
}

// activeWeight returns the weight of all teams that use or want something, with
// the given one.
func (s *Scheduler) activeWeight(t *team) int {
	sum := 0
	for _, o := range s.order {
		if o == t || o.queue.Len() > 0 || !o.Use.IsZero() || !o.Remote.IsZero() {
			sum += o.Weight()
		}
	}
	return sum
}

// level returns the weighted share that each team is owed at least, when the given
// team wants more.
func (s *Scheduler) level(t *team) float64 {
	return s.shares.Level(func(o *cashare.Team) bool {
		return (t != nil && o == t.Team) || s.teams[o.Name].queue.Len() > 0
	})
}

// within reports whether the team stays within its share with the amount added.
func (b *budget) within(t *team, r cawork.Resources) bool {
	return b.s.shares.Dominant(t.Team, r) <= t.Entitlement(b.level)
}

// allows reports whether the task alone is within the budget.
func (b *budget) allows(v *caledger.Task) bool {
	if v.Account == b.own {
		return b.job.Spec.Urgent
	}
	return !b.ownOnly && b.keeps(v.Account, b.taken[v.Account].Plus(b.cost(v)))
}

// cost returns what ends with the task, beside what was taken already.
func (b *budget) cost(v *caledger.Task) cawork.Resources {
	if !v.OfOwnGang() {
		return v.Demand.Size
	}
	if b.gangs[v.Job] > 0 {
		return cawork.Resources{}
	}
	return whole(v.Job)
}

// whole returns the size of all open tasks of the job.
func whole(j *caledger.Job) cawork.Resources {
	var sum cawork.Resources
	for _, t := range j.Open {
		sum = sum.Plus(t.Demand.Size)
	}
	return sum
}

// Spend implements capreempt.Budget.
func (b *budget) Spend(v *caledger.Task) bool {
	if !b.allows(v) {
		return false
	}
	if v.Account != b.own {
		b.taken[v.Account] = b.taken[v.Account].Plus(b.cost(v))
	}
	if v.OfOwnGang() {
		b.gangs[v.Job]++
	}
	return true
}

// Refund implements capreempt.Budget.
func (b *budget) Refund(v *caledger.Task) {
	if v.OfOwnGang() {
		b.gangs[v.Job]--
	}
	if v.Account != b.own {
		b.taken[v.Account] = b.taken[v.Account].Minus(b.cost(v))
	}
}

// keeps reports whether the team keeps its share without the amount and
// without what was asked to end already.
func (b *budget) keeps(t *cashare.Team, r cawork.Resources) bool {
	less := cawork.Resources{}.Minus(r).Minus(t.Stopping)
	return b.s.shares.Dominant(t, less) >= t.Entitlement(max(b.level, b.nominal))
}

// check asserts that no team was taken below its share.
func (b *budget) check() {
	for t, r := range b.taken {
		if !r.IsZero() && !b.keeps(t, cawork.Resources{}) {
			b.s.violated(casched.InvariantShareKept, "team %s lost %v", t.Name, r)
		}
	}
}
