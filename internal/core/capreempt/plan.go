// Package capreempt selects running tasks to preempt for a job, so that little
// work is lost.
//
// Example: a job needs 4 cores. On upstream a, two tasks of 2 cores each have run
// for 1 min and 3 min. On b, a task of 4 cores has run for 2 min. The task on b is
// selected, because it loses 2 min of work and those on a would lose 4.
package capreempt

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
)

// Victim is a task that may be preempted, with the work that would be lost.
type Victim struct {
	Task *caledger.Task
	Loss time.Duration
}

// Host is an upstream with its free capacity and its possible victims.
type Host struct {
	Index   caplace.HostIndex
	Free    caplace.Demand
	Victims []Victim
}

// Budget bounds the preemptions. Spend returns false if the task must not be
// preempted. Refund reverts a successful Spend.
type Budget interface {
	Spend(t *caledger.Task) bool
	Refund(t *caledger.Task)
}

// Plan lists the victims, and for each unit the upstream on which it will fit.
type Plan struct {
	Victims []Victim
	Hosts   []caplace.HostIndex
}

// Find returns a plan for n units of the demand, and whether it found one. It takes
// the upstreams in the order of the work lost for one unit, so the total loss is
// low but not always minimal. It spends the victims of the plan from the budget.
func Find(hosts []Host, unit caplace.Demand, n int, b Budget) (Plan, bool) {
	type candidate struct {
		host *Host
		loss time.Duration
	}
	var candidates []candidate
	for i := range hosts {
		h := &hosts[i]
		slices.SortStableFunc(h.Victims, func(x, y Victim) int { return cmp.Compare(x.Loss, y.Loss) })
		if picked, ok := h.pickVictims(unit, b); ok {
			refund(picked, b)
			candidates = append(candidates, candidate{h, totalLoss(picked)})
		}
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.loss, y.loss) })
	var plan Plan
	for _, c := range candidates {
		for n > 0 {
			picked, ok := c.host.pickVictims(unit, b)
			if !ok {
				break
			}
			plan.Victims = append(plan.Victims, picked...)
			plan.Hosts = append(plan.Hosts, c.host.Index)
			c.host.reserve(unit, picked)
			n--
		}
	}
	if n > 0 {
		refund(plan.Victims, b)
		return Plan{}, false
	}
	return plan, true
}

// pickVictims returns victims that free the capacity for one unit, and spends them.
// It adds victims in the order of their loss until the unit fits, and then removes
// those that are not needed, the highest loss first.
func (h *Host) pickVictims(unit caplace.Demand, b Budget) ([]Victim, bool) {
	free := h.Free
	var picked []Victim
	for _, v := range h.Victims {
		if unit.Fits(free) {
			break
		}
		if b.Spend(v.Task) {
			picked = append(picked, v)
			free = free.Plus(v.Task.Demand)
		}
	}
	if !unit.Fits(free) {
		refund(picked, b)
		return nil, false
	}
	for i := len(picked) - 1; i >= 0; i-- {
		if remaining := free.Minus(picked[i].Task.Demand); unit.Fits(remaining) {
			free = remaining
			b.Refund(picked[i].Task)
			picked = slices.Delete(picked, i, i+1)
		}
	}
	return picked, true
}

// reserve removes the victims from the host and subtracts the unit from its free
// capacity.
func (h *Host) reserve(unit caplace.Demand, picked []Victim) {
	for _, v := range picked {
		h.Free = h.Free.Plus(v.Task.Demand)
		h.Victims = slices.DeleteFunc(h.Victims, func(o Victim) bool { return o.Task == v.Task })
	}
	h.Free = h.Free.Minus(unit)
}

func refund(picked []Victim, b Budget) {
	for _, v := range picked {
		b.Refund(v.Task)
	}
}

func totalLoss(picked []Victim) time.Duration {
	var sum time.Duration
	for _, v := range picked {
		sum += v.Loss
	}
	return sum
}
