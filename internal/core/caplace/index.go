package caplace

import (
	"math"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// HostIndex identifies an upstream as long as the upstream is in the index or
// still has tasks. Indexes are reused afterwards.
type HostIndex int32

// NoHost is the HostIndex that stands for no upstream.
const NoHost HostIndex = -1

// State is whether an upstream takes new tasks.
type State uint8

// The states.
const (
	StateOpen State = iota
	// StateProbe means that only queries with Probe set may use the upstream.
	StateProbe
	// StateClosed means that no new tasks are taken.
	StateClosed
	// StateRemoved means that the upstream was removed.
	StateRemoved
)

const (
	// blockSize is the number of upstreams in a block of the index.
	blockSize = 32
	// freedRingSize is how many of the latest capacity gains are recorded.
	freedRingSize = 64
)

// hostSummary has the data of an upstream that a search reads. It is kept apart
// from host so that searches read less memory.
type hostSummary struct {
	free            Demand
	zone            int32
	rack            int32
	acceleratorKind int32
	state           State
	held            bool
	hasAccelerators bool
}

type host struct {
	upstream    casched.Upstream
	capacity    Demand
	used        Demand
	tasks       int
	hold        Hold
	leaving     bool
	healthState State
}

// Index tracks the free capacity of upstreams. A search visits them in blocks and
// skips a block when the demand exceeds its largest free capacity in some
// dimension.
type Index struct {
	hosts       []host
	summaries   []hostSummary
	blockMax    []Demand
	byID        map[cawork.UpstreamID]HostIndex
	freeIndexes []HostIndex
	nameIDs     map[string]int32
	capacity    Demand
	free        Demand
	openCount   int
	scale       [3]float64
	// freedRing is a ring buffer of the upstreams that gained capacity, at the
	// position of the sequence number modulo freedRingSize. Results of searches
	// before oldestSeq are invalid.
	freedRing [freedRingSize]HostIndex
	seq       uint64
	oldestSeq uint64
	// jobTasksByRack and jobTasksByHost count the tasks of the job of a query, for
	// the duration of a search.
	jobTasksByRack []int32
	jobTasksByHost []int32
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{byID: map[cawork.UpstreamID]HostIndex{}, nameIDs: map[string]int32{"": 0}, seq: 1, oldestSeq: 1}
}

// Put adds an upstream or changes its description.
func (x *Index) Put(u casched.Upstream) HostIndex {
	h, ok := x.byID[u.ID]
	if !ok {
		h = x.allocateIndex()
		x.byID[u.ID] = h
	}
	x.removeFromTotals(h)
	o := &x.hosts[h]
	o.upstream = u
	o.leaving = u.Leaving
	o.capacity = Demand{Size: u.Capacity, Slots: u.Slots, Connections: u.Connections}
	r := &x.summaries[h]
	r.zone = x.intern("z", string(u.Zone))
	r.rack = x.intern("r", string(u.Rack))
	r.acceleratorKind = x.intern("a", u.AcceleratorKind)
	r.hasAccelerators = u.Capacity.Accelerators > 0
	r.state = o.state(false)
	x.addToTotals(h)
	x.rescale()
	return h
}

// Remove removes an upstream. Its HostIndex stays valid while it has tasks.
func (x *Index) Remove(id cawork.UpstreamID) {
	h, ok := x.byID[id]
	if !ok {
		return
	}
	x.removeFromTotals(h)
	x.hosts[h].hold = Hold{}
	x.summaries[h].held = false
	x.summaries[h].state = StateRemoved
	x.addToTotals(h)
	x.rescale()
	x.reclaim(h)
}

// reclaim frees the index of a removed upstream without tasks for reuse.
func (x *Index) reclaim(h HostIndex) {
	o := &x.hosts[h]
	if x.summaries[h].state != StateRemoved || o.tasks > 0 || o.used != (Demand{}) {
		return
	}
	delete(x.byID, o.upstream.ID)
	*o = host{}
	x.summaries[h] = hostSummary{state: StateRemoved}
	x.freeIndexes = append(x.freeIndexes, h)
}

func (x *Index) allocateIndex() HostIndex {
	if n := len(x.freeIndexes); n > 0 {
		h := x.freeIndexes[n-1]
		x.freeIndexes = x.freeIndexes[:n-1]
		return h
	}
	x.hosts = append(x.hosts, host{})
	x.summaries = append(x.summaries, hostSummary{state: StateRemoved})
	x.jobTasksByHost = append(x.jobTasksByHost, 0)
	if len(x.summaries) > len(x.blockMax)*blockSize {
		x.blockMax = append(x.blockMax, lowestDemand())
	}
	return HostIndex(len(x.hosts) - 1)
}

// intern returns the ID of a name within a namespace, and assigns one if needed.
// The empty name has the ID zero.
func (x *Index) intern(namespace, name string) int32 {
	if name == "" {
		return 0
	}
	n, ok := x.nameIDs[namespace+name]
	if !ok {
		n = int32(len(x.nameIDs))
		x.nameIDs[namespace+name] = n
		for len(x.jobTasksByRack) <= int(n) {
			x.jobTasksByRack = append(x.jobTasksByRack, 0)
		}
	}
	return n
}

// lookup returns the ID of a name, zero when the name is empty, -1 when unknown.
func (x *Index) lookup(namespace, name string) int32 {
	if name == "" {
		return 0
	}
	n, ok := x.nameIDs[namespace+name]
	if !ok {
		return -1
	}
	return n
}

func (o *host) state(removed bool) State {
	switch {
	case removed:
		return StateRemoved
	case o.leaving:
		return StateClosed
	default:
		return o.healthState
	}
}

// SetHealthState sets the state that outlier ejection gives the upstream: open, probe
// or closed.
func (x *Index) SetHealthState(h HostIndex, s State) {
	x.removeFromTotals(h)
	x.hosts[h].healthState = s
	x.summaries[h].state = x.hosts[h].state(x.summaries[h].state == StateRemoved)
	x.addToTotals(h)
}

// SetHold replaces the hold on the upstream. A hold without an owner removes it.
func (x *Index) SetHold(h HostIndex, hold Hold) {
	x.hosts[h].hold = hold
	x.summaries[h].held = hold.Owner != ""
	if !x.summaries[h].held {
		x.recordFreed(h)
	}
}

// HoldOf returns the hold on the upstream. It has no owner when there is none.
func (x *Index) HoldOf(h HostIndex) Hold { return x.hosts[h].hold }

// Commit commits capacity of the upstream for a task.
func (x *Index) Commit(h HostIndex, d Demand) {
	x.hosts[h].tasks++
	x.adjust(h, d)
}

// CommitFor commits capacity for a task that the query placed on the upstream. A
// task that uses the slack of another job's hold reduces that slack.
func (x *Index) CommitFor(h HostIndex, q *Query) {
	if o := &x.hosts[h]; o.hold.Owner != "" && o.hold.Owner != q.Job && !endsWithinHold(q, o.hold) {
		o.hold.Slack = o.hold.Slack.Minus(q.Demand)
	}
	x.Commit(h, q.Demand)
}

// Release frees the capacity that was committed for a task.
func (x *Index) Release(h HostIndex, d Demand) {
	x.hosts[h].tasks--
	x.adjust(h, Demand{}.Minus(d))
	x.reclaim(h)
}

// Resize changes the capacity that is committed for a task by delta.
func (x *Index) Resize(h HostIndex, delta Demand) { x.adjust(h, delta) }

func (x *Index) adjust(h HostIndex, d Demand) {
	o, r := &x.hosts[h], &x.summaries[h]
	before := r.free
	o.used = o.used.Plus(d)
	r.free = o.capacity.Minus(o.used)
	if r.state == StateRemoved {
		return
	}
	if takesTasks(r.state) {
		x.free = x.free.Minus(d)
	}
	block := &x.blockMax[h/blockSize]
	switch {
	case !r.free.Fits(before):
		*block = block.componentMax(r.free)
		x.recordFreed(h)
	case before.reachesAny(*block):
		x.recomputeBlock(h)
	}
}

func takesTasks(s State) bool { return s == StateOpen || s == StateProbe }

// removeFromTotals subtracts the upstream from the totals; addToTotals adds it
// again and updates its free capacity. Every change of its state, capacity or
// constraint attributes happens between the two.
func (x *Index) removeFromTotals(h HostIndex) {
	if takesTasks(x.summaries[h].state) {
		x.capacity = x.capacity.Minus(x.hosts[h].capacity)
		x.free = x.free.Minus(x.summaries[h].free)
		x.openCount--
	}
}

func (x *Index) addToTotals(h HostIndex) {
	o, r := &x.hosts[h], &x.summaries[h]
	r.free = o.capacity.Minus(o.used)
	if takesTasks(r.state) {
		x.capacity = x.capacity.Plus(o.capacity)
		x.free = x.free.Plus(r.free)
		x.openCount++
	}
	x.recomputeBlock(h)
	x.recordFreed(h)
}

func lowestDemand() Demand {
	return Demand{
		Size:  cawork.Resources{CPU: math.MinInt64, Memory: math.MinInt64, Accelerators: math.MinInt64},
		Slots: math.MinInt, Connections: math.MinInt,
	}
}

func (x *Index) recomputeBlock(h HostIndex) {
	b := int(h) / blockSize
	largest := lowestDemand()
	for i := b * blockSize; i < min(len(x.summaries), (b+1)*blockSize); i++ {
		if takesTasks(x.summaries[i].state) {
			largest = largest.componentMax(x.summaries[i].free)
		}
	}
	x.blockMax[b] = largest
}

// rescale computes the factors that make dimensions comparable: the inverse of the
// largest capacity of an upstream in each dimension.
func (x *Index) rescale() {
	var largest Demand
	for h := range x.hosts {
		if x.summaries[h].state != StateRemoved {
			largest = largest.componentMax(x.hosts[h].capacity)
		}
	}
	x.scale = [3]float64{
		inverse(int64(largest.Size.CPU)),
		inverse(int64(largest.Size.Memory)),
		inverse(largest.Size.Accelerators),
	}
}

func inverse(n int64) float64 {
	if n == 0 {
		return 0
	}
	return 1 / float64(n)
}

func (x *Index) recordFreed(h HostIndex) {
	x.freedRing[x.seq%freedRingSize] = h
	x.seq++
}

// Seq returns a sequence number that increases whenever an upstream gains
// capacity.
func (x *Index) Seq() uint64 { return x.seq }

// InvalidateSearches invalidates the results of all earlier searches, as if every
// upstream had gained capacity.
func (x *Index) InvalidateSearches() {
	x.seq++
	x.oldestSeq = x.seq
}
