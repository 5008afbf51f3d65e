// Package caplace tracks the free capacity of the upstreams of one entry and
// selects the upstream for a task.
package caplace

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Demand is what a task occupies on its upstream. Free and total capacity of
// upstreams are also expressed as a Demand.
type Demand struct {
	Size        cawork.Resources
	Slots       int
	Connections int
}

// Fits reports whether d is at most in, in every dimension.
func (d Demand) Fits(in Demand) bool {
	return d.Size.Fits(in.Size) && d.Slots <= in.Slots && d.Connections <= in.Connections
}

// Plus returns the sum of both demands.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.Size.Plus(o.Size), d.Slots + o.Slots, d.Connections + o.Connections}
}

// Minus returns the difference of both demands.
func (d Demand) Minus(o Demand) Demand {
	return Demand{d.Size.Minus(o.Size), d.Slots - o.Slots, d.Connections - o.Connections}
}

// Times returns n times the demand.
func (d Demand) Times(n int) Demand {
	return Demand{d.Size.Times(int64(n)), d.Slots * n, d.Connections * n}
}

// FitCount returns how many times the demand fits into the free capacity, at most
// limit.
func (d Demand) FitCount(free Demand, limit int) int {
	n := int64(limit)
	n = unitCount(int64(d.Size.CPU), int64(free.Size.CPU), n)
	n = unitCount(int64(d.Size.Memory), int64(free.Size.Memory), n)
	n = unitCount(d.Size.Accelerators, free.Size.Accelerators, n)
	n = unitCount(int64(d.Slots), int64(free.Slots), n)
	return int(unitCount(int64(d.Connections), int64(free.Connections), n))
}

func unitCount(demand, free, limit int64) int64 {
	if free < 0 {
		return 0
	}
	if demand <= 0 {
		return limit
	}
	return min(limit, free/demand)
}

// componentMax returns the maximum of both demands in each dimension.
func (d Demand) componentMax(o Demand) Demand {
	return Demand{
		Size: cawork.Resources{
			CPU:          max(d.Size.CPU, o.Size.CPU),
			Memory:       max(d.Size.Memory, o.Size.Memory),
			Accelerators: max(d.Size.Accelerators, o.Size.Accelerators),
		},
		Slots:       max(d.Slots, o.Slots),
		Connections: max(d.Connections, o.Connections),
	}
}

// reachesAny reports whether d is at least o in some dimension.
func (d Demand) reachesAny(o Demand) bool {
	return d.Size.CPU >= o.Size.CPU || d.Size.Memory >= o.Size.Memory ||
		d.Size.Accelerators >= o.Size.Accelerators ||
		d.Slots >= o.Slots || d.Connections >= o.Connections
}

// Hold reserves the free capacity of an upstream for the job Owner. A task of
// another job may use it only if it is expected to end by Until, or if it fits
// into Slack.
type Hold struct {
	Owner cawork.JobID
	Until time.Time
	Slack Demand
}

// Query describes a task for which an upstream is searched.
type Query struct {
	Demand      Demand
	Constraints cawork.Constraints
	Placement   cawork.Placement
	// Job is the job of the task, which may use the capacity held for it.
	Job cawork.JobID
	// End is when the task is expected to end, zero when no end is expected.
	End time.Time
	// Probe allows upstreams in StateProbe.
	Probe bool
	// JobHosts lists the upstream of each open task of the job. PlacementSpread avoids
	// these upstreams and their racks.
	JobHosts []HostIndex
}
