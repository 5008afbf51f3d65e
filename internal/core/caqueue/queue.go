// Package caqueue implements the queue of a team. Entries are grouped into classes
// of like demands and ordered by due time within a class. Removal takes amortized
// constant time.
//
// A class that does not fit now is skipped as a whole, so that the cost of a
// scheduling decision grows with the number of classes instead of the length of
// the queue. Classes of like sizes form a group, which is skipped after one
// comparison while none of its classes can fit.
package caqueue

import (
	"math/bits"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// compactThreshold is the number of removed entries above which the heap of a
// class may be compacted.
const compactThreshold = 64

// Key identifies a class of like demands. CPU, Memory and Tasks are bucket
// numbers.
type Key struct {
	Kind         cawork.WorkKind
	CPU          int
	Memory       int
	Accelerators int64
	Tasks        int
	Constraints  cawork.Constraints
}

// KeyOf returns the class of a job. The amounts in a class differ by a factor of
// less than 1.5.
func KeyOf(s cawork.JobSpec) Key {
	k := Key{
		Kind: s.Kind, CPU: bucket(int64(s.Size.CPU)), Memory: bucket(int64(s.Size.Memory)),
		Accelerators: s.Size.Accelerators, Constraints: s.Constraints,
	}
	if s.Kind == cawork.WorkKindGang {
		k.Tasks = bucket(int64(s.Tasks))
	}
	return k
}

// bucket returns the bucket number of an amount. Buckets divide the amounts by
// the length in bits and the second highest bit.
func bucket(n int64) int {
	bitLen := bits.Len64(uint64(n))
	if bitLen <= 2 {
		return int(n)
	}
	return bitLen*2 + int(n>>(bitLen-2))&1
}

// minSize returns a lower bound of the declared sizes in the class.
func (k Key) minSize() cawork.Resources {
	return cawork.Resources{
		CPU: cawork.MilliCPU(bucketMin(k.CPU)), Memory: cawork.Bytes(bucketMin(k.Memory)), Accelerators: k.Accelerators,
	}
}

// bucketMin returns the smallest amount in a bucket.
func bucketMin(b int) int64 {
	if b <= 3 {
		return int64(b)
	}
	return int64(2+b%2) << (b/2 - 2)
}

// Entry is an element of a queue. Entries are not reused: work that is queued
// again gets a new one.
type Entry[T any] struct {
	Value   T
	due     time.Time
	seq     uint64
	class   *Class[T]
	removed bool
}

// Class returns the class of an entry that is in a queue.
func (e *Entry[T]) Class() *Class[T] { return e.class }

// Class holds the entries of like demands in a heap, ordered by due time. Removed
// entries stay in the heap until it is compacted or they reach its top; live
// counts the others.
type Class[T any] struct {
	Key   Key
	heap  []*Entry[T]
	live  int
	group *Group[T]
	pos   int
	// scanPos is where the scan over the entries behind the head continues.
	// scanStart has the sequence numbers at which that scan began.
	scanPos   int
	scanStart ClassState
	// newEntries lists the entries that were pushed after all others were tried.
	// It may contain removed entries.
	newEntries []*Entry[T]
}

// ClassState is the state of a class that a scan over the classes reads first. It is
// stored apart from the class to make it cheap to skip classes that cannot fit.
type ClassState struct {
	// MinSize is a lower bound of the declared sizes in the class.
	MinSize cawork.Resources
	Kind    cawork.WorkKind
	// Constrained is set when the class has constraints.
	Constrained bool
	// BlockedAt is the sequence number of freed capacity (caplace.Index.Seq) at
	// which no entry of the class fitted and at least one lacked capacity. It is
	// zero when no entry lacked capacity or the class was not tried.
	BlockedAt uint64
	// LimitedAt is the sequence number of the team's account at which the
	// allowance did not suffice for at least one entry. It is zero when it
	// sufficed for all or the class was not tried.
	LimitedAt uint64
	// HeadBlocked is set when the head lacked capacity at its last try.
	HeadBlocked bool
	// Held is set when capacity is held for the head.
	Held bool
	// NewCount counts the entries that were pushed after all others were tried,
	// including those that were removed since.
	NewCount int
	// ReliefFailed is set when neither preemption nor a reservation was possible for
	// the head.
	ReliefFailed bool
	// headDue caches the due time of the head in Unix nanoseconds. It is zero when
	// it has to be looked up.
	headDue int64
}

// Tried reports whether all entries of the class were tried and the capacity or
// allowance that they lacked is unchanged since then.
func (s *ClassState) Tried(capacitySeq, accountSeq uint64) bool {
	if s.BlockedAt == 0 && s.LimitedAt == 0 {
		return false
	}
	return (s.BlockedAt == 0 || s.BlockedAt == capacitySeq) && (s.LimitedAt == 0 || s.LimitedAt == accountSeq)
}

// Queue is the queue of a team. The elements of groupStates describe the groups
// at the same positions.
type Queue[T any] struct {
	groupStates []GroupState
	groups      []*Group[T]
	byKey       map[Key]*Class[T]
	byGroupKey  map[groupKey]*Group[T]
	lastSeq     uint64
	live        int
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{byKey: map[Key]*Class[T]{}, byGroupKey: map[groupKey]*Group[T]{}}
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.live }

// Push adds a value to its class in the order of due times.
func (q *Queue[T]) Push(value T, k Key, due time.Time) *Entry[T] {
	c, ok := q.byKey[k]
	if !ok {
		c = q.addClass(k)
	}
	q.lastSeq++
	e := &Entry[T]{Value: value, due: due, seq: q.lastSeq, class: c}
	heapPos := c.push(e)
	c.live++
	q.live++
	q.MarkGroupUntried(c.group)
	switch s := q.ClassState(c); {
	case heapPos == 0:
		q.resetState(c)
	case s.BlockedAt != 0 || s.LimitedAt != 0:
		c.newEntries = append(c.newEntries, e)
		s.NewCount = len(c.newEntries)
	default:
		c.scanPos = min(c.scanPos, heapPos)
	}
	return e
}

// Remove removes an entry. Its position in the heap is freed later, at an
// amortized constant cost.
func (q *Queue[T]) Remove(e *Entry[T]) {
	c := e.class
	e.removed = true
	c.live--
	q.live--
	if c.live == 0 {
		q.dropClass(c)
		return
	}
	if c.heap[0] == e {
		q.resetState(c)
	}
	if removed := len(c.heap) - c.live; removed > compactThreshold && removed > c.live {
		c.compact()
	}
}

// resetState marks the class as not tried, after its head has changed.
func (q *Queue[T]) resetState(c *Class[T]) {
	q.MarkGroupUntried(c.group)
	q.groupStates[c.group.pos].earliestDue = 0
	s := q.ClassState(c)
	*s = ClassState{MinSize: s.MinSize, Kind: s.Kind, Constrained: s.Constrained}
	c.scanPos, c.newEntries = 1, c.newEntries[:0]
}

// First returns the class whose head is due first among those that the function
// accepts, nil when there is none.
func (q *Queue[T]) First(accept func(*ClassState) bool) *Class[T] {
	var first *Class[T]
	var earliest int64
	for n, g := range q.groups {
		if first != nil && q.groupDue(n) >= earliest {
			continue
		}
		for i := range g.states {
			if !accept(&g.states[i]) {
				continue
			}
			if due := g.headDue(i); first == nil || due < earliest {
				first, earliest = g.classes[i], due
			}
		}
	}
	return first
}

// HeadLess reports whether the head of c is due before the head of o.
func (q *Queue[T]) HeadLess(c, o *Class[T]) bool {
	return c.group.headDue(c.pos) < o.group.headDue(o.pos)
}

// ClassState returns the state of the class.
func (q *Queue[T]) ClassState(c *Class[T]) *ClassState { return &c.group.states[c.pos] }

// Head returns the entry that is due first, nil when there is none.
func (c *Class[T]) Head() *Entry[T] {
	for len(c.heap) > 0 && c.heap[0].removed {
		c.pop()
	}
	if len(c.heap) == 0 {
		return nil
	}
	return c.heap[0]
}

// TakeNew removes and returns the latest of the entries that NewCount includes
// and that are still queued. The entry itself stays queued.
func (q *Queue[T]) TakeNew(c *Class[T]) (T, bool) {
	for len(c.newEntries) > 0 {
		e := c.newEntries[len(c.newEntries)-1]
		c.newEntries = c.newEntries[:len(c.newEntries)-1]
		q.ClassState(c).NewCount = len(c.newEntries)
		if !e.removed {
			return e.Value, true
		}
	}
	var none T
	return none, false
}

// MarkClassTried marks the class as tried at the given sequence numbers. Zero means that
// no entry lacked capacity or allowance, respectively.
func (q *Queue[T]) MarkClassTried(c *Class[T], capacitySeq, accountSeq uint64) {
	s := q.ClassState(c)
	c.newEntries = c.newEntries[:0]
	s.NewCount, s.BlockedAt, s.LimitedAt = 0, capacitySeq, accountSeq
}

// BeginScan records the given sequence numbers if a new scan over the entries begins.
// It returns the numbers at which the current scan began.
func (c *Class[T]) BeginScan(capacitySeq, accountSeq uint64) (uint64, uint64) {
	if c.scanPos <= 1 {
		c.scanStart.BlockedAt, c.scanStart.LimitedAt = capacitySeq, accountSeq
	}
	return c.scanStart.BlockedAt, c.scanStart.LimitedAt
}

// Scan continues the scan over the entries behind the head: it calls the function
// for up to n of them, until it returns false. It reports whether the scan is
// complete.
func (c *Class[T]) Scan(n int, f func(T) bool) bool {
	c.scanPos = max(c.scanPos, 1)
	for ; c.scanPos < len(c.heap) && n > 0; c.scanPos++ {
		e := c.heap[c.scanPos]
		if e.removed {
			continue
		}
		n--
		if !f(e.Value) {
			return false
		}
	}
	if c.scanPos < len(c.heap) {
		return false
	}
	c.scanPos = 1
	return true
}

// EachBefore calls the function for the entries of the kind that are due before
// the time, in no particular order, until it returns false.
func (q *Queue[T]) EachBefore(k cawork.WorkKind, due time.Time, f func(T) bool) {
	for _, g := range q.groups {
		for _, c := range g.classes {
			if c.Key.Kind == k && !c.eachBefore(0, due, f) {
				return
			}
		}
	}
}

// eachBefore visits the subheap at position i. It stops at entries that are not
// due before the time, as no entry is due before its parent.
func (c *Class[T]) eachBefore(i int, due time.Time, f func(T) bool) bool {
	if i >= len(c.heap) || !c.heap[i].due.Before(due) {
		return true
	}
	if e := c.heap[i]; !e.removed && !f(e.Value) {
		return false
	}
	return c.eachBefore(2*i+1, due, f) && c.eachBefore(2*i+2, due, f)
}

// Less reports whether e precedes o: by due time, then in the order of pushes.
func (e *Entry[T]) Less(o *Entry[T]) bool {
	if c := e.due.Compare(o.due); c != 0 {
		return c < 0
	}
	return e.seq < o.seq
}

func (c *Class[T]) compact() {
	kept := c.heap[:0]
	for _, e := range c.heap {
		if !e.removed {
			kept = append(kept, e)
		}
	}
	clear(c.heap[len(kept):])
	c.heap = kept
	c.scanPos = 1
	c.heapify()
}

func (c *Class[T]) heapify() {
	for i := len(c.heap)/2 - 1; i >= 0; i-- {
		c.siftDown(i)
	}
}

// push adds an entry to the heap and returns its position.
func (c *Class[T]) push(e *Entry[T]) int {
	c.heap = append(c.heap, e)
	i := len(c.heap) - 1
	for parent := (i - 1) / 2; i > 0 && e.Less(c.heap[parent]); parent = (i - 1) / 2 {
		c.heap[i], c.heap[parent] = c.heap[parent], e
		i = parent
	}
	return i
}

func (c *Class[T]) pop() {
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = nil
	c.heap = c.heap[:last]
	c.scanPos = 1
	c.siftDown(0)
}

func (c *Class[T]) siftDown(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c.heap); child++ {
			if c.heap[child].Less(c.heap[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		c.heap[i], c.heap[smallest] = c.heap[smallest], c.heap[i]
		i = smallest
	}
}
