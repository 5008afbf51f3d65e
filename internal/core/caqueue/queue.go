// Package caqueue holds the queue of a team: entries in the order of due times
// within classes of like demands, with removal in constant time.
//
// A class that does not fit now is skipped as a whole, so that the cost of a
// decision follows the number of classes and not the length of the queue. Classes
// of like sizes form a group, which is passed over by one comparison while
// none of its classes can fit.
package caqueue

import (
	"math/bits"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// compactAbove is the least number of removed entries that are dropped at once.
const compactAbove = 64

// Key names a class of like demands.
type Key struct {
	Kind         cawork.WorkKind
	CPU          int
	Memory       int
	Accelerators int64
	Tasks        int
	Constraints  cawork.Constraints
}

// KeyOf returns the class of a job. Amounts of a class differ by less than a
// half.
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

// bucket numbers amounts by their highest bit and the one below it.
func bucket(n int64) int {
	length := bits.Len64(uint64(n))
	if length <= 2 {
		return int(n)
	}
	return length*2 + int(n>>(length-2))&1
}

// least returns the lower bound of the amounts in the class.
func (k Key) least() cawork.Resources {
	return cawork.Resources{
		CPU: cawork.MilliCPU(floor(k.CPU)), Memory: cawork.Bytes(floor(k.Memory)), Accelerators: k.Accelerators,
	}
}

// floor returns the least amount in a bucket.
func floor(b int) int64 {
	if b <= 3 {
		return int64(b)
	}
	return int64(2+b%2) << (b/2 - 2)
}

// Entry is an element of a queue. It is used once: work that is queued again
// gets a new one.
type Entry[T any] struct {
	Value T
	due   time.Time
	order uint64
	class *Class[T]
	dead  bool
}

// Class returns the class of an entry that is in a queue.
func (e *Entry[T]) Class() *Class[T] { return e.class }

// Class holds the entries of like demands.
type Class[T any] struct {
	Key   Key
	heap  []*Entry[T]
	live  int
	group *Group[T]
	pos   int
	// cursor is where the walk over entries behind the head goes on, began what
	// the room and the account were when it began.
	cursor int
	began  Mark
	// fresh lists the entries that were pushed after all others were tried.
	fresh []*Entry[T]
}

// Mark is what a walk over the classes reads first, kept apart from them so
// that it passes over those that cannot fit at a low cost.
type Mark struct {
	// Least is the lower bound of the declared amounts in the class.
	Least cawork.Resources
	Kind  cawork.WorkKind
	// Constrained is set when the class has constraints.
	Constrained bool
	// BlockedAt is the sequence number of the room index at which an entry of
	// the class did not fit, and none did. It is zero when none was tried.
	BlockedAt uint64
	// LimitedAt is the like number of the account of the team at which the
	// allowance did not suffice.
	LimitedAt uint64
	// HeadBlocked is set when the head lacked room when it was tried last.
	HeadBlocked bool
	// Held is set when room is held for the head.
	Held bool
	// Fresh counts the entries that were pushed after all others were tried.
	Fresh int
	// PassedOver is set when relief was searched for the head in vain.
	PassedOver bool
	// due is that of the head in nanoseconds, zero when it has to be looked up.
	due int64
}

// Tried reports whether nothing has changed since all of the class was tried.
func (m *Mark) Tried(room, account uint64) bool {
	if m.BlockedAt == 0 && m.LimitedAt == 0 {
		return false
	}
	return (m.BlockedAt == 0 || m.BlockedAt == room) && (m.LimitedAt == 0 || m.LimitedAt == account)
}

// Queue is the queue of a team. Shapes and groups have the same order.
type Queue[T any] struct {
	shapes  []Shape
	groups  []*Group[T]
	byKey   map[Key]*Class[T]
	byShape map[shapeKey]*Group[T]
	order   uint64
	live    int
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{byKey: map[Key]*Class[T]{}, byShape: map[shapeKey]*Group[T]{}}
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.live }

// Push adds a value in the order of due times.
func (q *Queue[T]) Push(value T, k Key, due time.Time) *Entry[T] {
	c, ok := q.byKey[k]
	if !ok {
		c = q.addClass(k)
	}
	q.order++
	e := &Entry[T]{Value: value, due: due, order: q.order, class: c}
	place := c.push(e)
	c.live++
	q.live++
	q.Unsettle(c.group)
	switch m := q.Mark(c); {
	case place == 0:
		q.unmark(c)
	case m.BlockedAt != 0 || m.LimitedAt != 0:
		c.fresh = append(c.fresh, e)
		m.Fresh = len(c.fresh)
	default:
		c.cursor = min(c.cursor, place)
	}
	return e
}

// Remove takes an entry out. Its place in the heap is freed later, at a
// constant cost for each removal on the average.
func (q *Queue[T]) Remove(e *Entry[T]) {
	c := e.class
	e.dead = true
	c.live--
	q.live--
	if c.live == 0 {
		q.drop(c)
		return
	}
	if c.heap[0] == e {
		q.unmark(c)
	}
	if dead := len(c.heap) - c.live; dead > compactAbove && dead > c.live {
		c.compact()
	}
}

// unmark forgets why the head of the class did not fit.
func (q *Queue[T]) unmark(c *Class[T]) {
	q.Unsettle(c.group)
	q.shapes[c.group.pos].earliest = 0
	m := q.Mark(c)
	*m = Mark{Least: m.Least, Kind: m.Kind, Constrained: m.Constrained}
	c.cursor, c.fresh = 1, c.fresh[:0]
}

// First returns the class whose head is due first among those that the function
// accepts, nil when there is none.
func (q *Queue[T]) First(accept func(*Mark) bool) *Class[T] {
	var first *Class[T]
	var earliest int64
	for n, g := range q.groups {
		if first != nil && q.earliest(n) >= earliest {
			continue
		}
		for i := range g.marks {
			if !accept(&g.marks[i]) {
				continue
			}
			if due := g.due(i); first == nil || due < earliest {
				first, earliest = g.classes[i], due
			}
		}
	}
	return first
}

// Less reports whether the head of the class is due before that of the other.
func (q *Queue[T]) Less(c, o *Class[T]) bool { return c.group.due(c.pos) < o.group.due(o.pos) }

// Mark returns the mark of the class.
func (q *Queue[T]) Mark(c *Class[T]) *Mark { return &c.group.marks[c.pos] }

// Head returns the entry that is due first, nil when there is none.
func (c *Class[T]) Head() *Entry[T] {
	for len(c.heap) > 0 && c.heap[0].dead {
		c.pop()
	}
	if len(c.heap) == 0 {
		return nil
	}
	return c.heap[0]
}

// TakeFresh removes and returns the latest fresh entry that is still queued.
func (q *Queue[T]) TakeFresh(c *Class[T]) (T, bool) {
	for len(c.fresh) > 0 {
		e := c.fresh[len(c.fresh)-1]
		c.fresh = c.fresh[:len(c.fresh)-1]
		q.Mark(c).Fresh = len(c.fresh)
		if !e.dead {
			return e.Value, true
		}
	}
	var none T
	return none, false
}

// Walked marks the class after all entries were tried.
func (q *Queue[T]) Walked(c *Class[T], room, account uint64) {
	m := q.Mark(c)
	c.fresh = c.fresh[:0]
	m.Fresh, m.BlockedAt, m.LimitedAt = 0, room, account
}

// Begin notes the state of the room and of the account when a walk over the
// entries begins, and returns that of the walk under way.
func (c *Class[T]) Begin(room, account uint64) (uint64, uint64) {
	if c.cursor <= 1 {
		c.began.BlockedAt, c.began.LimitedAt = room, account
	}
	return c.began.BlockedAt, c.began.LimitedAt
}

// More calls the function for at most n entries behind the head, in turn over
// calls, until it returns false. It reports whether the walk came to its end.
func (c *Class[T]) More(n int, f func(T) bool) bool {
	c.cursor = max(c.cursor, 1)
	for ; c.cursor < len(c.heap) && n > 0; c.cursor++ {
		e := c.heap[c.cursor]
		if e.dead {
			continue
		}
		n--
		if !f(e.Value) {
			return false
		}
	}
	if c.cursor < len(c.heap) {
		return false
	}
	c.cursor = 1
	return true
}

// EachBefore calls the function for the entries of the kind that are due before
// the time, in no order, until it returns false.
func (q *Queue[T]) EachBefore(k cawork.WorkKind, due time.Time, f func(T) bool) {
	for _, g := range q.groups {
		for _, c := range g.classes {
			if c.Key.Kind == k && !c.eachBefore(0, due, f) {
				return
			}
		}
	}
}

// eachBefore walks over the part of the heap below the entry. An entry is due
// no earlier than its parent.
func (c *Class[T]) eachBefore(i int, due time.Time, f func(T) bool) bool {
	if i >= len(c.heap) || !c.heap[i].due.Before(due) {
		return true
	}
	if e := c.heap[i]; !e.dead && !f(e.Value) {
		return false
	}
	return c.eachBefore(2*i+1, due, f) && c.eachBefore(2*i+2, due, f)
}

// Less reports whether the entry goes before the other.
func (e *Entry[T]) Less(o *Entry[T]) bool {
	if c := e.due.Compare(o.due); c != 0 {
		return c < 0
	}
	return e.order < o.order
}

func (c *Class[T]) compact() {
	kept := c.heap[:0]
	for _, e := range c.heap {
		if !e.dead {
			kept = append(kept, e)
		}
	}
	clear(c.heap[len(kept):])
	c.heap = kept
	c.cursor = 1
	c.restore()
}

func (c *Class[T]) restore() {
	for i := len(c.heap)/2 - 1; i >= 0; i-- {
		c.down(i)
	}
}

// push adds an entry and returns its place.
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
	c.cursor = 1
	c.down(0)
}

func (c *Class[T]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c.heap); child++ {
			if c.heap[child].Less(c.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		c.heap[i], c.heap[least] = c.heap[least], c.heap[i]
		i = least
	}
}
