package cadecide

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/core/cashare"
)

// budget limits which tasks may be preempted for a job: no other team may fall
// below its share. Urgent jobs may also preempt tasks of their own team. The
// first preempted task of a gang costs all tasks of the gang.
type budget struct {
	s     *Scheduler
	job   *caledger.Job
	own   *cashare.Team
	level float64
	// nominalLevel is the level at which all active teams use the whole capacity
	// in proportion to their weights.
	nominalLevel float64
	// ownOnly is set when only tasks of the own team may be preempted.
	ownOnly bool
	// taken is what other teams lose.
	taken map[*cashare.Team]cawork.Resources
	// gangs counts the preempted tasks of each gang.
	gangs map[*caledger.Job]int
}

func (s *Scheduler) newBudget(t *team, j *caledger.Job) *budget {
	return &budget{
		s: s, job: j, own: t.Team, level: s.fairLevel(t), nominalLevel: 1 / float64(s.activeWeight(t)),
		taken: map[*cashare.Team]cawork.Resources{}, gangs: map[*caledger.Job]int{},
	}
}

// activeWeight returns the total weight of the given team and all teams with
// running or queued work.
func (s *Scheduler) activeWeight(t *team) int {
	sum := 0
	for _, o := range s.sortedTeams {
		if o == t || o.queue.Len() > 0 || !o.Use.IsZero() || !o.Remote.IsZero() {
			sum += o.Weight()
		}
	}
	return sum
}

// fairLevel returns the weighted share up to which every team with unmet demand
// is entitled. The given team, which may be nil, counts as wanting more.
func (s *Scheduler) fairLevel(t *team) float64 {
	return s.shares.FairLevel(func(o *cashare.Team) bool {
		return (t != nil && o == t.Team) || s.teams[o.Name].queue.Len() > 0
	})
}

// fitsShare reports whether the team stays within its share when it uses the
// amount in addition.
func (b *budget) fitsShare(t *team, r cawork.Resources) bool {
	return b.s.shares.DominantShareWith(t.Team, r) <= t.Entitlement(b.level)
}

// allows reports whether the task may be preempted in addition to those already
// spent.
func (b *budget) allows(v *caledger.Task) bool {
	if v.Account == b.own {
		return b.job.Spec.Urgent
	}
	return !b.ownOnly && b.keepsShare(v.Account, b.taken[v.Account].Plus(b.cost(v)))
}

// cost returns the size of the tasks that end when the task is preempted, without
// those already spent.
func (b *budget) cost(v *caledger.Task) cawork.Resources {
	if !v.InOwnGang() {
		return v.Demand.Size
	}
	if b.gangs[v.Job] > 0 {
		return cawork.Resources{}
	}
	return openSize(v.Job)
}

// openSize returns the total size of the open tasks of the job.
func openSize(j *caledger.Job) cawork.Resources {
	var sum cawork.Resources
	for _, t := range j.OpenTasks {
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
	if v.InOwnGang() {
		b.gangs[v.Job]++
	}
	return true
}

// Refund implements capreempt.Budget.
func (b *budget) Refund(v *caledger.Task) {
	if v.InOwnGang() {
		b.gangs[v.Job]--
	}
	if v.Account != b.own {
		b.taken[v.Account] = b.taken[v.Account].Minus(b.cost(v))
	}
}

// keepsShare reports whether the team keeps its share when it loses the amount
// and the tasks that were already asked to end.
func (b *budget) keepsShare(t *cashare.Team, r cawork.Resources) bool {
	less := cawork.Resources{}.Minus(r).Minus(t.Stopping)
	return b.s.shares.DominantShareWith(t, less) >= t.Entitlement(max(b.level, b.nominalLevel))
}

// check asserts that the preemption left no team below its share.
func (b *budget) check() {
	for t, r := range b.taken {
		if !r.IsZero() && !b.keepsShare(t, cawork.Resources{}) {
			b.s.reportViolation(casched.InvariantShareKept, "team %s fell below its share by losing %v", t.Name, r)
		}
	}
}
