// Package caqueue holds the queue of a team: entries in the order of due times
// within classes of like demands, with removal in constant time.
//
// A class that does not fit now is skipped as a whole, so that the cost of a
// decision follows the number of classes and not the length of the queue.
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
// quarter.
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

// bucket numbers amounts by their highest bit and the two bits below it.
func bucket(n int64) int {
	length := bits.Len64(uint64(n))
	if length <= 3 {
		return int(n)
	}
	return length*4 + int(n>>(length-3))&3
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

// Class holds the entries of like demands.
type Class[T any] struct {
	Key Key
	// BlockedAt is the sequence number of the room index at which the head did
	// not fit, zero when it was not tried.
	BlockedAt uint64
	// LimitedAt is the like number of the account of the team at which the
	// allowance did not suffice for the head.
	LimitedAt uint64
	heap      []*Entry[T]
	live      int
}

// Queue is the queue of a team.
type Queue[T any] struct {
	classes []*Class[T]
	byKey   map[Key]*Class[T]
	order   uint64
	live    int
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] { return &Queue[T]{byKey: map[Key]*Class[T]{}} }

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.live }

// Push adds a value in the order of due times.
func (q *Queue[T]) Push(value T, k Key, due time.Time) *Entry[T] {
	c, ok := q.byKey[k]
	if !ok {
		c = &Class[T]{Key: k}
		q.byKey[k] = c
		q.classes = append(q.classes, c)
	}
	q.order++
	e := &Entry[T]{Value: value, due: due, order: q.order, class: c}
	c.push(e)
	c.live++
	q.live++
	if c.heap[0] == e {
		c.BlockedAt, c.LimitedAt = 0, 0
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
	if c.heap[0] == e {
		c.BlockedAt, c.LimitedAt = 0, 0
	}
	if dead := len(c.heap) - c.live; dead > compactAbove && dead > c.live {
		c.compact()
	}
}

// Classes returns the classes that have entries. The result is valid until the
// next push.
func (q *Queue[T]) Classes() []*Class[T] {
	for i := 0; i < len(q.classes); {
		c := q.classes[i]
		if c.live > 0 {
			i++
			continue
		}
		c.compact()
		delete(q.byKey, c.Key)
		q.classes[i] = q.classes[len(q.classes)-1]
		q.classes = q.classes[:len(q.classes)-1]
	}
	return q.classes
}

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
	c.restore()
}

func (c *Class[T]) restore() {
	for i := len(c.heap)/2 - 1; i >= 0; i-- {
		c.down(i)
	}
}

func (c *Class[T]) push(e *Entry[T]) {
	c.heap = append(c.heap, e)
	for i := len(c.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !c.heap[i].Less(c.heap[parent]) {
			return
		}
		c.heap[i], c.heap[parent] = c.heap[parent], c.heap[i]
		i = parent
	}
}

func (c *Class[T]) pop() {
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = nil
	c.heap = c.heap[:last]
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
