package caplace

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// acceleratorPenalty is added to the score of upstreams with accelerators for
// tasks that need none. It exceeds any sum of scaled free capacities.
const acceleratorPenalty = 8.0

// Weights of the spread score. A task of the job in the same rack outweighs any
// realistic number of tasks on the same upstream, and each of these outweighs the
// scaled free capacity that is left.
const (
	spreadRackWeight = 1e6
	spreadHostWeight = 1e2
)

// constraintIDs has the IDs of the names in a set of constraints. Zero means no
// constraint, -1 a name that no upstream ever had.
type constraintIDs struct{ zone, rack, acceleratorKind int32 }

func (x *Index) resolveConstraints(c cawork.Constraints) constraintIDs {
	return constraintIDs{
		zone:            x.lookup("z", string(c.Zone)),
		rack:            x.lookup("r", string(c.Rack)),
		acceleratorKind: x.lookup("a", c.AcceleratorKind),
	}
}

func (m constraintIDs) matches(r *hostSummary) bool {
	return (m.zone == 0 || m.zone == r.zone) &&
		(m.rack == 0 || m.rack == r.rack) &&
		(m.acceleratorKind == 0 || m.acceleratorKind == r.acceleratorKind)
}

func endsWithinHold(q *Query, h Hold) bool { return !q.End.IsZero() && !q.End.After(h.Until) }

// accepts reports whether the upstream may take the task of the query now.
func (x *Index) accepts(q *Query, m constraintIDs, h HostIndex) bool {
	return x.acceptsIgnoringHold(q, m, h) && (!x.summaries[h].held || x.holdPermits(q, h))
}

// acceptsIgnoringHold reports whether the upstream could take the task of the
// query now if it had no hold.
func (x *Index) acceptsIgnoringHold(q *Query, m constraintIDs, h HostIndex) bool {
	r := &x.summaries[h]
	if r.state != StateOpen && (r.state != StateProbe || !q.Probe) {
		return false
	}
	return q.Demand.Fits(r.free) && m.matches(r)
}

func (x *Index) holdPermits(q *Query, h HostIndex) bool {
	hold := x.hosts[h].hold
	return hold.Owner == q.Job || endsWithinHold(q, hold) || q.Demand.Fits(hold.Slack)
}

// Accepts reports whether the upstream may take the task of the query now.
func (x *Index) Accepts(h HostIndex, q *Query) bool {
	return x.accepts(q, x.resolveConstraints(q.Constraints), h)
}

// Best returns the upstream with the lowest score for the query, and whether any
// upstream may take the task.
//
// Example: with 3 and 8 cores free, packing puts a task of 2 cores on the first
// upstream, which leaves the 8 cores available to a larger task; spreading takes
// the second.
func (x *Index) Best(q *Query) (HostIndex, bool) {
	m := x.resolveConstraints(q.Constraints)
	if m.zone < 0 || m.rack < 0 || m.acceleratorKind < 0 {
		return NoHost, false
	}
	spread := q.Placement == cawork.PlacementSpread
	if spread {
		x.countJobTasks(q.JobHosts, 1)
		defer x.countJobTasks(q.JobHosts, -1)
	}
	best, lowestScore := NoHost, 0.0
	for b := range x.blockMax {
		if !q.Demand.Fits(x.blockMax[b]) {
			continue
		}
		for h := HostIndex(b * blockSize); int(h) < min(len(x.summaries), (b+1)*blockSize); h++ {
			if !x.accepts(q, m, h) {
				continue
			}
			score := x.score(q, h, spread)
			if best == NoHost || score < lowestScore {
				best, lowestScore = h, score
			}
		}
	}
	return best, best != NoHost
}

// score returns the score of an upstream for the query. Lower is better.
func (x *Index) score(q *Query, h HostIndex, spread bool) float64 {
	r := &x.summaries[h]
	score := float64(r.free.Size.CPU-q.Demand.Size.CPU)*x.scale[0] +
		float64(r.free.Size.Memory-q.Demand.Size.Memory)*x.scale[1] +
		float64(r.free.Size.Accelerators-q.Demand.Size.Accelerators)*x.scale[2]
	if spread {
		score = spreadRackWeight*float64(x.jobTasksByRack[r.rack]) + spreadHostWeight*float64(x.jobTasksByHost[h]) - score
	}
	if r.hasAccelerators && q.Demand.Size.Accelerators == 0 {
		score += acceleratorPenalty
	}
	return score
}

func (x *Index) countJobTasks(near []HostIndex, n int32) {
	if len(x.jobTasksByRack) == 0 {
		x.jobTasksByRack = append(x.jobTasksByRack, 0)
	}
	for _, h := range near {
		x.jobTasksByHost[h] += n
		x.jobTasksByRack[x.summaries[h].rack] += n
	}
}

// CountFitting returns how many tasks like that of the query fit at the same time, at
// most limit.
func (x *Index) CountFitting(q *Query, limit int) int {
	m := x.resolveConstraints(q.Constraints)
	n := 0
	for b := range x.blockMax {
		if !q.Demand.Fits(x.blockMax[b]) {
			continue
		}
		for h := HostIndex(b * blockSize); int(h) < min(len(x.summaries), (b+1)*blockSize) && n < limit; h++ {
			if x.accepts(q, m, h) {
				n += q.Demand.FitCount(x.usable(q, h), limit-n)
			}
		}
	}
	return n
}

// usable returns the free capacity of the upstream that the query may use.
func (x *Index) usable(q *Query, h HostIndex) Demand {
	o, r := &x.hosts[h], &x.summaries[h]
	if !r.held || o.hold.Owner == q.Job || endsWithinHold(q, o.hold) {
		return r.free
	}
	return componentMin(r.free, o.hold.Slack)
}

func componentMin(a, b Demand) Demand {
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

// FitsSince reports whether the query may fit on an upstream that gained capacity
// after the sequence number. It also returns true when the changes since then are
// no longer recorded. If no upstream fits, held reports whether the query would
// fit on one without the hold of another job.
func (x *Index) FitsSince(q *Query, seq uint64) (fits, held bool) {
	if seq < x.oldestSeq || x.seq-seq > freedRingSize {
		return true, false
	}
	m := x.resolveConstraints(q.Constraints)
	for s := seq; s < x.seq; s++ {
		h := x.freedRing[s%freedRingSize]
		if !x.acceptsIgnoringHold(q, m, h) {
			continue
		}
		if !x.summaries[h].held || x.holdPermits(q, h) {
			return true, false
		}
		held = true
	}
	return false, held
}

// FreedCapacity is the largest free capacity, in each dimension, of the upstreams that
// gained capacity after the sequence number Seq. Known is false when the changes
// since Seq are no longer recorded.
type FreedCapacity struct {
	Seq     uint64
	Largest cawork.Resources
	Known   bool
}

// FreedSince returns the capacity that was freed after the sequence number.
func (x *Index) FreedSince(seq uint64) FreedCapacity {
	f := FreedCapacity{Seq: seq}
	if seq < x.oldestSeq || x.seq-seq > freedRingSize {
		return f
	}
	f.Known = true
	largest := lowestDemand()
	for n := seq; n < x.seq; n++ {
		if r := &x.summaries[x.freedRing[n%freedRingSize]]; takesTasks(r.state) {
			largest = largest.componentMax(r.free)
		}
	}
	f.Largest = largest.Size
	return f
}

// Host returns the index of the upstream, and whether the upstream has one.
func (x *Index) Host(id cawork.UpstreamID) (HostIndex, bool) {
	h, ok := x.byID[id]
	return h, ok
}

// Upstream returns the description of the upstream.
func (x *Index) Upstream(h HostIndex) casched.Upstream { return x.hosts[h].upstream }

// ID returns the ID of the upstream.
func (x *Index) ID(h HostIndex) cawork.UpstreamID { return x.hosts[h].upstream.ID }

// StateOf returns the state of the upstream.
func (x *Index) StateOf(h HostIndex) State { return x.summaries[h].state }

// FreeOn returns the free capacity of the upstream.
func (x *Index) FreeOn(h HostIndex) Demand { return x.summaries[h].free }

// UsedOn returns the committed capacity of the upstream.
func (x *Index) UsedOn(h HostIndex) Demand { return x.hosts[h].used }

// HostBound returns the exclusive upper bound of the indexes in use.
func (x *Index) HostBound() HostIndex { return HostIndex(len(x.hosts)) }

// Free returns the free capacity of the upstreams that take tasks.
func (x *Index) Free() Demand { return x.free }

// Capacity returns the capacity of the upstreams that take tasks.
func (x *Index) Capacity() Demand { return x.capacity }

// OpenCount returns the number of upstreams that take tasks.
func (x *Index) OpenCount() int { return x.openCount }

// Admits reports whether the upstream is open and satisfies the constraints,
// regardless of its free capacity.
func (x *Index) Admits(h HostIndex, c cawork.Constraints) bool {
	r := &x.summaries[h]
	return r.state == StateOpen && x.resolveConstraints(c).matches(r)
}

// HeldForOther reports whether the upstream is held for another job.
func (x *Index) HeldForOther(h HostIndex, job cawork.JobID) bool {
	o := x.hosts[h].hold.Owner
	return o != "" && o != job
}

// DominantFraction returns the largest fraction that the demand takes of the largest
// upstream capacity in any dimension.
func (x *Index) DominantFraction(d Demand) float64 {
	return max(float64(d.Size.CPU)*x.scale[0], float64(d.Size.Memory)*x.scale[1],
		float64(d.Size.Accelerators)*x.scale[2])
}

// LargestFree returns the free capacity of the upstream with the largest dominant
// share of the total capacity, among those that satisfy the constraints.
func (x *Index) LargestFree(c cawork.Constraints) cawork.Resources {
	var largest cawork.Resources
	for h := range x.summaries {
		r := &x.summaries[h]
		if !takesTasks(r.state) || !x.resolveConstraints(c).matches(r) {
			continue
		}
		if r.free.Size.DominantShare(x.capacity.Size) > largest.DominantShare(x.capacity.Size) {
			largest = r.free.Size
		}
	}
	return largest
}

// Check verifies the totals and the blocks by computing them anew.
func (x *Index) Check() error {
	var free, capacity Demand
	for h := range x.summaries {
		r, o := &x.summaries[h], &x.hosts[h]
		if r.free != o.capacity.Minus(o.used) {
			return casched.Violationf(casched.InvariantAccounts, "free capacity of %s is %v", o.upstream.ID, r.free)
		}
		if takesTasks(r.state) {
			free, capacity = free.Plus(r.free), capacity.Plus(o.capacity)
			if !r.free.Fits(x.blockMax[h/blockSize]) {
				return casched.Violationf(casched.InvariantAccounts, "maximum of block %d is too low", h/blockSize)
			}
		}
	}
	if free != x.free || capacity != x.capacity {
		return casched.Violationf(casched.InvariantAccounts, "totals of free and all capacity are %v and %v", x.free, x.capacity)
	}
	return nil
}

// ExpectedEnd returns the time by which a task is assumed to end. A task that has
// run past its expected end is assumed to need half of its time so far again, and
// at least 1 s.
func ExpectedEnd(started, end, now time.Time) time.Time {
	if end.IsZero() || end.After(now) {
		return end
	}
	return now.Add(max(time.Second, now.Sub(started)/2))
}
