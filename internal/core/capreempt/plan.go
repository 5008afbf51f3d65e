// Package capreempt chooses which running tasks make room for a job, the
// cheapest loss first.
//
// Example: 4 cores are wanted. On a, tasks of 2 cores ran for 1 min and 3 min;
// on b, one of 4 cores ran for 2 min. Upstream b is chosen, which loses 2 min
// where a would lose 4.
package capreempt

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
)

// Victim is a task that may be stopped, with the work that it would lose.
type Victim struct {
	Task *caledger.Task
	Loss time.Duration
}

// Host is an upstream with its room and its victims.
type Host struct {
	Index   caplace.HostIndex
	Free    caplace.Demand
	Victims []Victim
}

// Budget bounds what may be taken. Spend reports false when the task may not
// be stopped; Refund takes a successful Spend back.
type Budget interface {
	Spend(t *caledger.Task) bool
	Refund(t *caledger.Task)
}

// Plan lists the victims, and the upstreams on which the units will fit.
type Plan struct {
	Victims []Victim
	Hosts   []caplace.HostIndex
}

// Find returns a cheap plan for n units of the demand, and reports whether
// there is one. What it returns is spent of the budget.
func Find(hosts []Host, unit caplace.Demand, n int, b Budget) (Plan, bool) {
	type offer struct {
		host *Host
		loss time.Duration
	}
	var offers []offer
	for i := range hosts {
		h := &hosts[i]
		slices.SortStableFunc(h.Victims, func(x, y Victim) int { return cmp.Compare(x.Loss, y.Loss) })
		if picked, ok := h.pick(unit, b); ok {
			refund(picked, b)
			offers = append(offers, offer{h, loss(picked)})
		}
	}
	slices.SortStableFunc(offers, func(x, y offer) int { return cmp.Compare(x.loss, y.loss) })
	var p Plan
	for _, o := range offers {
		for n > 0 {
			picked, ok := o.host.pick(unit, b)
			if !ok {
				break
			}
			p.Victims = append(p.Victims, picked...)
			p.Hosts = append(p.Hosts, o.host.Index)
			o.host.use(unit, picked)
			n--
		}
	}
	if n > 0 {
		refund(p.Victims, b)
		return Plan{}, false
	}
	return p, true
}

// pick returns victims that make room for one unit and spends them. Those that
// are not needed after all are left out, the costliest first.
func (h *Host) pick(unit caplace.Demand, b Budget) ([]Victim, bool) {
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
		if rest := free.Minus(picked[i].Task.Demand); unit.Fits(rest) {
			free = rest
			b.Refund(picked[i].Task)
			picked = slices.Delete(picked, i, i+1)
		}
	}
	return picked, true
}

// use takes the unit and the victims out of the host.
func (h *Host) use(unit caplace.Demand, picked []Victim) {
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

func loss(picked []Victim) time.Duration {
	var sum time.Duration
	for _, v := range picked {
		sum += v.Loss
	}
	return sum
}
