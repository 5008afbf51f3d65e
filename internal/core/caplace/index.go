package caplace

import (
	"math"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// HostIndex numbers an upstream while it is known or has tasks.
type HostIndex int32

// NoHost is the index of no upstream.
const NoHost HostIndex = -1

// State tells whether an upstream takes new tasks.
type State uint8

// The states.
const (
	StateOpen State = iota
	// StateProbe means that only tasks that may be risked are taken.
	StateProbe
	// StateClosed means that no new tasks are taken.
	StateClosed
	// StateGone means that the upstream is not known any more.
	StateGone
)

const (
	blockSize  = 32
	freedSlots = 64
)

// room is what a search reads of an upstream.
type room struct {
	free  Demand
	zone  int32
	rack  int32
	kind  int32
	state State
	held  bool
	accel bool
}

type host struct {
	upstream casched.Upstream
	capacity Demand
	used     Demand
	tasks    int
	hold     Hold
	leaving  bool
	verdict  State
}

// Index keeps the room on upstreams. A search walks over the rooms in blocks
// and skips those whose largest room in each dimension is below the demand.
type Index struct {
	hosts    []host
	rooms    []room
	blocks   []Demand
	byID     map[cawork.UpstreamID]HostIndex
	unused   []HostIndex
	names    map[string]int32
	capacity Demand
	free     Demand
	open     int
	scale    [3]float64
	// freed is a ring of the upstreams that got more room.
	freed [freedSlots]HostIndex
	seq   uint64
	floor uint64
	// near holds scratch counts by rack and by upstream.
	nearRack []int32
	nearHost []int32
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{byID: map[cawork.UpstreamID]HostIndex{}, names: map[string]int32{"": 0}, seq: 1, floor: 1}
}

// Put adds an upstream or changes its description.
func (x *Index) Put(u casched.Upstream) HostIndex {
	h, ok := x.byID[u.ID]
	if !ok {
		h = x.allocate()
		x.byID[u.ID] = h
	}
	x.uncount(h)
	o := &x.hosts[h]
	o.upstream = u
	o.leaving = u.Leaving
	o.capacity = Demand{Size: u.Capacity, Slots: u.Slots, Connections: u.Connections}
	r := &x.rooms[h]
	r.zone = x.intern("z", string(u.Zone))
	r.rack = x.intern("r", string(u.Rack))
	r.kind = x.intern("a", u.AcceleratorKind)
	r.accel = u.Capacity.Accelerators > 0
	r.state = o.state(false)
	x.count(h)
	x.rescale()
	return h
}

// Remove takes an upstream away. Its number stays while tasks are on it.
func (x *Index) Remove(id cawork.UpstreamID) {
	h, ok := x.byID[id]
	if !ok {
		return
	}
	x.uncount(h)
	x.hosts[h].hold = Hold{}
	x.rooms[h].held = false
	x.rooms[h].state = StateGone
	x.count(h)
	x.rescale()
	x.reclaim(h)
}

// reclaim frees the number of an upstream that is gone and has no tasks.
func (x *Index) reclaim(h HostIndex) {
	o := &x.hosts[h]
	if x.rooms[h].state != StateGone || o.tasks > 0 || o.used != (Demand{}) {
		return
	}
	delete(x.byID, o.upstream.ID)
	*o = host{}
	x.rooms[h] = room{state: StateGone}
	x.unused = append(x.unused, h)
}

func (x *Index) allocate() HostIndex {
	if n := len(x.unused); n > 0 {
		h := x.unused[n-1]
		x.unused = x.unused[:n-1]
		return h
	}
	x.hosts = append(x.hosts, host{})
	x.rooms = append(x.rooms, room{state: StateGone})
	x.nearHost = append(x.nearHost, 0)
	if len(x.rooms) > len(x.blocks)*blockSize {
		x.blocks = append(x.blocks, closedRoom())
	}
	return HostIndex(len(x.hosts) - 1)
}

// intern numbers a name within a space of names.
func (x *Index) intern(space, name string) int32 {
	if name == "" {
		return 0
	}
	n, ok := x.names[space+name]
	if !ok {
		n = int32(len(x.names))
		x.names[space+name] = n
		for len(x.nearRack) <= int(n) {
			x.nearRack = append(x.nearRack, 0)
		}
	}
	return n
}

// lookup returns the number of a name, zero when empty, -1 when unknown.
func (x *Index) lookup(space, name string) int32 {
	if name == "" {
		return 0
	}
	n, ok := x.names[space+name]
	if !ok {
		return -1
	}
	return n
}

func (o *host) state(gone bool) State {
	switch {
	case gone:
		return StateGone
	case o.leaving:
		return StateClosed
	default:
		return o.verdict
	}
}

// SetVerdict sets whether the upstream is open, on trial or closed.
func (x *Index) SetVerdict(h HostIndex, s State) {
	x.uncount(h)
	x.hosts[h].verdict = s
	x.rooms[h].state = x.hosts[h].state(x.rooms[h].state == StateGone)
	x.count(h)
}

// SetHold keeps the room of the upstream for a job, or for none any more when
// the hold has no owner.
func (x *Index) SetHold(h HostIndex, hold Hold) {
	x.hosts[h].hold = hold
	x.rooms[h].held = hold.Owner != ""
	if !x.rooms[h].held {
		x.noteFreed(h)
	}
}

// HoldOf returns the hold on the upstream, without an owner when there is none.
func (x *Index) HoldOf(h HostIndex) Hold { return x.hosts[h].hold }

// Take commits room for a task.
func (x *Index) Take(h HostIndex, d Demand) {
	x.hosts[h].tasks++
	x.change(h, d)
}

// TakeFor commits room for a task that the query placed.
func (x *Index) TakeFor(h HostIndex, q *Query) {
	if o := &x.hosts[h]; o.hold.Owner != "" && o.hold.Owner != q.Job && !endsBy(q, o.hold) {
		o.hold.Slack = o.hold.Slack.Minus(q.Demand)
	}
	x.Take(h, q.Demand)
}

// Give frees the room of a task.
func (x *Index) Give(h HostIndex, d Demand) {
	x.hosts[h].tasks--
	x.change(h, Demand{}.Minus(d))
	x.reclaim(h)
}

// Resize changes the room of a task by the difference.
func (x *Index) Resize(h HostIndex, difference Demand) { x.change(h, difference) }

func (x *Index) change(h HostIndex, d Demand) {
	o, r := &x.hosts[h], &x.rooms[h]
	before := r.free
	o.used = o.used.Plus(d)
	r.free = o.capacity.Minus(o.used)
	if r.state == StateGone {
		return
	}
	if counted(r.state) {
		x.free = x.free.Minus(d)
	}
	block := &x.blocks[h/blockSize]
	switch {
	case !r.free.Fits(before):
		*block = block.larger(r.free)
		x.noteFreed(h)
	case before.attains(*block):
		x.refreshBlock(h)
	}
}

func counted(s State) bool { return s == StateOpen || s == StateProbe }

// uncount takes the upstream out of the sums, count puts it in.
func (x *Index) uncount(h HostIndex) {
	if counted(x.rooms[h].state) {
		x.capacity = x.capacity.Minus(x.hosts[h].capacity)
		x.free = x.free.Minus(x.rooms[h].free)
		x.open--
	}
}

func (x *Index) count(h HostIndex) {
	o, r := &x.hosts[h], &x.rooms[h]
	r.free = o.capacity.Minus(o.used)
	if counted(r.state) {
		x.capacity = x.capacity.Plus(o.capacity)
		x.free = x.free.Plus(r.free)
		x.open++
	}
	x.refreshBlock(h)
	x.noteFreed(h)
}

func closedRoom() Demand {
	return Demand{
		Size:  cawork.Resources{CPU: math.MinInt64, Memory: math.MinInt64, Accelerators: math.MinInt64},
		Slots: math.MinInt, Connections: math.MinInt,
	}
}

func (x *Index) refreshBlock(h HostIndex) {
	b := int(h) / blockSize
	largest := closedRoom()
	for i := b * blockSize; i < min(len(x.rooms), (b+1)*blockSize); i++ {
		if counted(x.rooms[i].state) {
			largest = largest.larger(x.rooms[i].free)
		}
	}
	x.blocks[b] = largest
}

// rescale computes the factors that make dimensions comparable.
func (x *Index) rescale() {
	var largest Demand
	for h := range x.hosts {
		if x.rooms[h].state != StateGone {
			largest = largest.larger(x.hosts[h].capacity)
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

func (x *Index) noteFreed(h HostIndex) {
	x.freed[x.seq%freedSlots] = h
	x.seq++
}

// Seq returns a number that grows whenever an upstream gets more room.
func (x *Index) Seq() uint64 { return x.seq }

// NoteAllFreed makes every search worth trying again.
func (x *Index) NoteAllFreed() {
	x.seq++
	x.floor = x.seq
}
