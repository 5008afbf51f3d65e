// Package caplace keeps the room on the upstreams of one entry and finds the
// upstream for a task.
package caplace

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Demand is what a task takes of an upstream.
type Demand struct {
	Size        cawork.Resources
	Slots       int
	Connections int
}

// Fits reports whether the demand is within the other in every dimension.
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

// Times returns the demand n times.
func (d Demand) Times(n int) Demand {
	return Demand{d.Size.Times(int64(n)), d.Slots * n, d.Connections * n}
}

// Units returns how often the demand fits into the room, at most limit.
func (d Demand) Units(room Demand, limit int) int {
	n := int64(limit)
	n = units(int64(d.Size.CPU), int64(room.Size.CPU), n)
	n = units(int64(d.Size.Memory), int64(room.Size.Memory), n)
	n = units(d.Size.Accelerators, room.Size.Accelerators, n)
	n = units(int64(d.Slots), int64(room.Slots), n)
	return int(units(int64(d.Connections), int64(room.Connections), n))
}

func units(demand, room, limit int64) int64 {
	if room < 0 {
		return 0
	}
	if demand <= 0 {
		return limit
	}
	return min(limit, room/demand)
}

// larger returns the maximum of both in each dimension.
func (d Demand) larger(o Demand) Demand {
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

// attains reports whether the demand is as large as the other in a dimension.
func (d Demand) attains(o Demand) bool {
	return d.Size.CPU >= o.Size.CPU || d.Size.Memory >= o.Size.Memory ||
		d.Size.Accelerators >= o.Size.Accelerators ||
		d.Slots >= o.Slots || d.Connections >= o.Connections
}

// Hold keeps the room of an upstream for a job. Other tasks may use what is
// free until Until, when they are expected to end by then, and Slack for longer.
type Hold struct {
	Owner cawork.JobID
	Until time.Time
	Slack Demand
}

// Query asks for an upstream.
type Query struct {
	Demand      Demand
	Constraints cawork.Constraints
	Placement   cawork.Placement
	// Job may use the room that is held for it.
	Job cawork.JobID
	// End is when the task is expected to end, zero when never.
	End time.Time
	// Probe allows upstreams that are on trial.
	Probe bool
	// Near lists where tasks of the job run, for PlacementSpread.
	Near []HostIndex
}
