// Package cabackfill plans reservations for jobs that do not fit now: the
// upstreams and the earliest time at which a job is expected to fit. Until then,
// shorter tasks may use the reserved capacity (backfill).
//
// Example: a gang of 2 tasks of 4 cores is queued. Upstream a has 4 free cores.
// Upstream b will have 4 when its task ends in 5 min. The plan reserves a and b
// for that time. A task of 3 min may still run on a, one of 10 min may not.
package cabackfill

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/core/caplace"
)

// Host is an upstream that may be reserved.
type Host struct {
	Index caplace.HostIndex
	Free  caplace.Demand
}

// Release is capacity that is expected to become free at the time At.
type Release struct {
	Host   caplace.HostIndex
	Demand caplace.Demand
	At     time.Time
}

// Allocation is the capacity that a plan reserves on one upstream, in units of the
// demand. Slack is the capacity expected to stay free beside it.
type Allocation struct {
	Host  caplace.HostIndex
	Units int
	Slack caplace.Demand
}

// Plan is a reservation whose capacity is expected to be free at the time At.
type Plan struct {
	At          time.Time
	Allocations []Allocation
}

type hostState struct {
	host  caplace.HostIndex
	free  caplace.Demand
	units int
}

// Find returns the earliest plan for n units of the demand. It returns false if
// they do not fit even after all releases.
func Find(hosts []Host, releases []Release, unit caplace.Demand, n int, now time.Time) (Plan, bool) {
	states := make([]hostState, len(hosts))
	indexByHost := make(map[caplace.HostIndex]int, len(hosts))
	total := 0
	for i, h := range hosts {
		states[i] = hostState{host: h.Index, free: h.Free, units: unit.FitCount(h.Free, n)}
		indexByHost[h.Index] = i
		total += states[i].units
	}
	if total >= n {
		return allocate(states, unit, n, now), true
	}
	slices.SortFunc(releases, func(a, b Release) int { return a.At.Compare(b.At) })
	for _, r := range releases {
		i, ok := indexByHost[r.Host]
		if !ok {
			continue
		}
		s := &states[i]
		s.free = s.free.Plus(r.Demand)
		units := unit.FitCount(s.free, n)
		total += units - s.units
		s.units = units
		if total >= n {
			return allocate(states, unit, n, r.At), true
		}
	}
	return Plan{}, false
}

// allocate prefers the upstreams that fit the most units, which keeps the number
// of reserved upstreams small.
func allocate(states []hostState, unit caplace.Demand, n int, at time.Time) Plan {
	slices.SortStableFunc(states, func(a, b hostState) int { return b.units - a.units })
	p := Plan{At: at}
	for _, s := range states {
		units := min(n, s.units)
		if units == 0 {
			break
		}
		n -= units
		p.Allocations = append(p.Allocations, Allocation{Host: s.host, Units: units, Slack: s.free.Minus(unit.Times(units))})
	}
	return p
}
