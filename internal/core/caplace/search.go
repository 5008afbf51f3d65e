package caplace

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// acceleratorPenalty makes tasks without accelerators avoid upstreams that
// have some. It is above any sum of scaled leftovers.
const acceleratorPenalty = 8.0

// Weights of the spread score: a task in the same rack counts more than any
// number of tasks on the same upstream within the bound of a leftover.
const (
	spreadRackWeight = 1e6
	spreadHostWeight = 1e2
)

// match is a set of constraints in numbers.
type match struct{ zone, rack, kind int32 }

func (x *Index) match(c cawork.Constraints) match {
	return match{
		zone: x.lookup("z", string(c.Zone)),
		rack: x.lookup("r", string(c.Rack)),
		kind: x.lookup("a", c.AcceleratorKind),
	}
}

func (m match) admits(r *room) bool {
	return (m.zone == 0 || m.zone == r.zone) &&
		(m.rack == 0 || m.rack == r.rack) &&
		(m.kind == 0 || m.kind == r.kind)
}

func endsBy(q *Query, h Hold) bool { return !q.End.IsZero() && !q.End.After(h.Until) }

// admits reports whether the upstream may take the task now.
func (x *Index) admits(q *Query, m match, h HostIndex) bool {
	return x.admitsUnheld(q, m, h) && (!x.rooms[h].held || x.admitsHeld(q, h))
}

// admitsUnheld reports whether the upstream could take the task now if its room
// were held for nobody else.
func (x *Index) admitsUnheld(q *Query, m match, h HostIndex) bool {
	r := &x.rooms[h]
	if r.state != StateOpen && (r.state != StateProbe || !q.Probe) {
		return false
	}
	return q.Demand.Fits(r.free) && m.admits(r)
}

func (x *Index) admitsHeld(q *Query, h HostIndex) bool {
	hold := x.hosts[h].hold
	return hold.Owner == q.Job || endsBy(q, hold) || q.Demand.Fits(hold.Slack)
}

// Takes reports whether the upstream may take the task of the query now.
func (x *Index) Takes(h HostIndex, q *Query) bool {
	return x.admits(q, x.match(q.Constraints), h)
}

// Best returns the upstream for the query.
//
// Example: with 3 and 8 cores free, packing puts a task of 2 cores on the
// first, which keeps the hole of 8 whole; spreading takes the second.
func (x *Index) Best(q *Query) (HostIndex, bool) {
	m := x.match(q.Constraints)
	if m.zone < 0 || m.rack < 0 || m.kind < 0 {
		return NoHost, false
	}
	spread := q.Placement == cawork.PlacementSpread
	if spread {
		x.countNear(q.Near, 1)
		defer x.countNear(q.Near, -1)
	}
	best, lowest := NoHost, 0.0
	for b := range x.blocks {
		if !q.Demand.Fits(x.blocks[b]) {
			continue
		}
		for h := HostIndex(b * blockSize); int(h) < min(len(x.rooms), (b+1)*blockSize); h++ {
			if !x.admits(q, m, h) {
				continue
			}
			score := x.score(q, h, spread)
			if best == NoHost || score < lowest {
				best, lowest = h, score
			}
		}
	}
	return best, best != NoHost
}

// score is lower for better upstreams.
func (x *Index) score(q *Query, h HostIndex, spread bool) float64 {
	r := &x.rooms[h]
	left := float64(r.free.Size.CPU-q.Demand.Size.CPU)*x.scale[0] +
		float64(r.free.Size.Memory-q.Demand.Size.Memory)*x.scale[1] +
		float64(r.free.Size.Accelerators-q.Demand.Size.Accelerators)*x.scale[2]
	if spread {
		left = spreadRackWeight*float64(x.nearRack[r.rack]) + spreadHostWeight*float64(x.nearHost[h]) - left
	}
	if r.accel && q.Demand.Size.Accelerators == 0 {
		left += acceleratorPenalty
	}
	return left
}

func (x *Index) countNear(near []HostIndex, n int32) {
	if len(x.nearRack) == 0 {
		x.nearRack = append(x.nearRack, 0)
	}
	for _, h := range near {
		x.nearHost[h] += n
		x.nearRack[x.rooms[h].rack] += n
	}
}

// Count returns how many tasks of the query fit together, at most limit.
func (x *Index) Count(q *Query, limit int) int {
	m := x.match(q.Constraints)
	n := 0
	for b := range x.blocks {
		if !q.Demand.Fits(x.blocks[b]) {
			continue
		}
		for h := HostIndex(b * blockSize); int(h) < min(len(x.rooms), (b+1)*blockSize) && n < limit; h++ {
			if x.admits(q, m, h) {
				n += q.Demand.Units(x.usable(q, h), limit-n)
			}
		}
	}
	return n
}

// usable returns the room that the query may use on the upstream.
func (x *Index) usable(q *Query, h HostIndex) Demand {
	o, r := &x.hosts[h], &x.rooms[h]
	if !r.held || o.hold.Owner == q.Job || endsBy(q, o.hold) {
		return r.free
	}
	return lesser(r.free, o.hold.Slack)
}

func lesser(a, b Demand) Demand {
	return Demand{
		Size: cawork.Resources{
			CPU:          min(a.Size.CPU, b.Size.CPU),
			Memory:       min(a.Size.Memory, b.Size.Memory),
			Accelerators: min(a.Size.Accelerators, b.Size.Accelerators),
		},
		Slots:       min(a.Slots, b.Slots),
		Connections: min(a.Connections, b.Connections),
	}
}

// FitsSince reports whether the query may fit on an upstream that got more room
// after the sequence number. It also reports true when that is not known. When
// none fits, held tells whether one only lacks room because it is held for a job
// other than that of the query.
func (x *Index) FitsSince(q *Query, seq uint64) (fits, held bool) {
	if seq < x.floor || x.seq-seq > freedSlots {
		return true, false
	}
	m := x.match(q.Constraints)
	for s := seq; s < x.seq; s++ {
		h := x.freed[s%freedSlots]
		if !x.admitsUnheld(q, m, h) {
			continue
		}
		if !x.rooms[h].held || x.admitsHeld(q, h) {
			return true, false
		}
		held = true
	}
	return false, held
}

// Freed is the largest room, in each dimension, on the upstreams that got more
// room after a sequence number. It is not known when that is long ago.
type Freed struct {
	Seq   uint64
	Room  cawork.Resources
	Known bool
}

// FreedSince returns the room that was freed after the sequence number.
func (x *Index) FreedSince(seq uint64) Freed {
	f := Freed{Seq: seq}
	if seq < x.floor || x.seq-seq > freedSlots {
		return f
	}
	f.Known = true
	largest := closedRoom()
	for n := seq; n < x.seq; n++ {
		if r := &x.rooms[x.freed[n%freedSlots]]; counted(r.state) {
			largest = largest.larger(r.free)
		}
	}
	f.Room = largest.Size
	return f
}

// Host returns the number of the upstream.
func (x *Index) Host(id cawork.UpstreamID) (HostIndex, bool) {
	h, ok := x.byID[id]
	return h, ok
}

// Upstream returns the description of the upstream.
func (x *Index) Upstream(h HostIndex) casched.Upstream { return x.hosts[h].upstream }

// ID returns the id of the upstream.
func (x *Index) ID(h HostIndex) cawork.UpstreamID { return x.hosts[h].upstream.ID }

// StateOf returns the state of the upstream.
func (x *Index) StateOf(h HostIndex) State { return x.rooms[h].state }

// FreeOn returns the room that is left on the upstream.
func (x *Index) FreeOn(h HostIndex) Demand { return x.rooms[h].free }

// UsedOn returns what is committed on the upstream.
func (x *Index) UsedOn(h HostIndex) Demand { return x.hosts[h].used }

// Hosts returns the bound of the numbers in use.
func (x *Index) Hosts() HostIndex { return HostIndex(len(x.hosts)) }

// Free returns the room that is left on upstreams that take tasks.
func (x *Index) Free() Demand { return x.free }

// Capacity returns the capacity of the upstreams that take tasks.
func (x *Index) Capacity() Demand { return x.capacity }

// Open returns the number of upstreams that take tasks.
func (x *Index) Open() int { return x.open }

// Admits reports whether the constraints allow the upstream and it takes
// tasks, whatever room is left.
func (x *Index) Admits(h HostIndex, c cawork.Constraints) bool {
	r := &x.rooms[h]
	return r.state == StateOpen && x.match(c).admits(r)
}

// HeldFor reports whether the upstream is held for another job.
func (x *Index) HeldFor(h HostIndex, job cawork.JobID) bool {
	o := x.hosts[h].hold.Owner
	return o != "" && o != job
}

// LargePart returns the largest part of a dimension that the demand takes of
// the largest upstream.
func (x *Index) LargePart(d Demand) float64 {
	return max(float64(d.Size.CPU)*x.scale[0], float64(d.Size.Memory)*x.scale[1],
		float64(d.Size.Accelerators)*x.scale[2])
}

// LargestHole returns the largest room under the constraints.
func (x *Index) LargestHole(c cawork.Constraints) cawork.Resources {
	var largest cawork.Resources
	for h := range x.rooms {
		r := &x.rooms[h]
		if !counted(r.state) || !x.match(c).admits(r) {
			continue
		}
		if r.free.Size.DominantShare(x.capacity.Size) > largest.DominantShare(x.capacity.Size) {
			largest = r.free.Size
		}
	}
	return largest
}

// Check verifies the sums and the blocks from scratch.
func (x *Index) Check() error {
	var free, capacity Demand
	for h := range x.rooms {
		r, o := &x.rooms[h], &x.hosts[h]
		if r.free != o.capacity.Minus(o.used) {
			return casched.Violated(casched.InvariantAccounts, "room of %s is %v", o.upstream.ID, r.free)
		}
		if counted(r.state) {
			free, capacity = free.Plus(r.free), capacity.Plus(o.capacity)
			if !r.free.Fits(x.blocks[h/blockSize]) {
				return casched.Violated(casched.InvariantAccounts, "block %d is below a room", h/blockSize)
			}
		}
	}
	if free != x.free || capacity != x.capacity {
		return casched.Violated(casched.InvariantAccounts, "sums of room are %v and %v", x.free, x.capacity)
	}
	return nil
}

// ExpectedEnd returns the time by which a task is taken to end. A task that
// runs longer than expected is taken to need half as long again.
func ExpectedEnd(started, end, now time.Time) time.Time {
	if end.IsZero() || end.After(now) {
		return end
	}
	return now.Add(max(time.Second, now.Sub(started)/2))
}
