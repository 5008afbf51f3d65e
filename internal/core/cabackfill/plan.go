// Package cabackfill plans reservations: where and when a job that does not fit
// now will fit, so that shorter work may use the room until then.
//
// Example: a gang of 2 tasks of 4 cores waits; upstream a has 4 cores free, b
// gets 4 when its task ends in 5 min. The plan reserves a and b for that time;
// a task of 3 min may still run on a, one of 10 min may not.
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

// Release is room that is expected to become free.
type Release struct {
	Host   caplace.HostIndex
	Demand caplace.Demand
	At     time.Time
}

// Part is what a plan reserves on one upstream. Slack is the room beside it.
type Part struct {
	Host  caplace.HostIndex
	Units int
	Slack caplace.Demand
}

// Plan is a reservation that is expected to be usable at the time At.
type Plan struct {
	At    time.Time
	Parts []Part
}

type state struct {
	host  caplace.HostIndex
	free  caplace.Demand
	units int
}

// Find returns the earliest plan for n units of the demand. It reports false
// when the releases do not suffice.
func Find(hosts []Host, releases []Release, unit caplace.Demand, n int, now time.Time) (Plan, bool) {
	states := make([]state, len(hosts))
	at := make(map[caplace.HostIndex]int, len(hosts))
	total := 0
	for i, h := range hosts {
		states[i] = state{host: h.Index, free: h.Free, units: unit.Units(h.Free, n)}
		at[h.Index] = i
		total += states[i].units
	}
	if total >= n {
		return choose(states, unit, n, now), true
	}
	slices.SortFunc(releases, func(a, b Release) int { return a.At.Compare(b.At) })
	for _, r := range releases {
		i, ok := at[r.Host]
		if !ok {
			continue
		}
		s := &states[i]
		s.free = s.free.Plus(r.Demand)
		units := unit.Units(s.free, n)
		total += units - s.units
		s.units = units
		if total >= n {
			return choose(states, unit, n, r.At), true
		}
	}
	return Plan{}, false
}

// choose takes the upstreams that hold most units, which keeps their number
// small.
func choose(states []state, unit caplace.Demand, n int, at time.Time) Plan {
	slices.SortStableFunc(states, func(a, b state) int { return b.units - a.units })
	p := Plan{At: at}
	for _, s := range states {
		take := min(n, s.units)
		if take == 0 {
			break
		}
		n -= take
		p.Parts = append(p.Parts, Part{Host: s.host, Units: take, Slack: s.free.Minus(unit.Times(take))})
	}
	return p
}
