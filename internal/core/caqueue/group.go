package caqueue

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// shapeKey names the classes of like amounts for a task, whatever their kind
// and constraints.
type shapeKey struct {
	cpu, memory  int
	accelerators int64
}

func (k Key) shape() shapeKey { return shapeKey{k.CPU, k.Memory, k.Accelerators} }

// Shape is what a walk over the groups reads first. A group is settled when each
// of its classes was tried and nothing was pushed or removed at a head since;
// then one comparison with the room that was freed tells about all of them.
type Shape struct {
	// Least is the lower bound of the declared amounts in the group.
	Least cawork.Resources
	// BlockedAt is the sequence number of the room index up to which a settled
	// group is known not to fit, as far as its classes lack room.
	BlockedAt uint64
	// limitedAt is the like number of the account, zero when no class lacks
	// allowance.
	limitedAt uint64
	// earliest is when the first head of the group is due, in nanoseconds, zero
	// when it has to be looked up.
	earliest int64
	settled  bool
}

// Settled reports whether the classes of the group were all tried and the
// account has not changed since for those that lack allowance.
func (h *Shape) Settled(account uint64) bool {
	return h.settled && (h.limitedAt == 0 || h.limitedAt == account)
}

// Group holds the classes of a shape. Classes and marks have the same order.
type Group[T any] struct {
	key     shapeKey
	pos     int
	classes []*Class[T]
	marks   []Mark
}

// Classes returns the classes of the group. All have entries. The result is
// valid until the next change.
func (g *Group[T]) Classes() []*Class[T] { return g.classes }

// Marks returns the marks of the classes, which the caller may change.
func (g *Group[T]) Marks() []Mark { return g.marks }

func (g *Group[T]) due(i int) int64 {
	m := &g.marks[i]
	if m.due == 0 {
		m.due = g.classes[i].Head().due.UnixNano()
	}
	return m.due
}

// earliest returns when the first head of the group is due, in nanoseconds.
func (q *Queue[T]) earliest(n int) int64 {
	h, g := &q.shapes[n], q.groups[n]
	if h.earliest != 0 {
		return h.earliest
	}
	h.earliest = g.due(0)
	for i := range g.marks {
		h.earliest = min(h.earliest, g.due(i))
	}
	return h.earliest
}

// Shapes returns the shapes of the groups, whose BlockedAt the caller may
// change. The result is valid until the next change.
func (q *Queue[T]) Shapes() []Shape { return q.shapes }

// Groups returns the groups in the order of their shapes.
func (q *Queue[T]) Groups() []*Group[T] { return q.groups }

// Settle notes that all classes of the group were tried, or lack what they did,
// as of the given state of the room and of the account. Classes that are
// not so leave it unsettled.
func (q *Queue[T]) Settle(g *Group[T], room, account uint64) {
	h := &q.shapes[g.pos]
	h.settled, h.BlockedAt, h.limitedAt = true, room, 0
	for i := range g.marks {
		m := &g.marks[i]
		if !m.Tried(room, account) || m.Fresh > 0 {
			h.settled = false
			return
		}
		if m.LimitedAt != 0 {
			h.limitedAt = account
		}
	}
}

// Unsettle brings the marks of a settled group up to what is known of all.
func (q *Queue[T]) Unsettle(g *Group[T]) {
	h := &q.shapes[g.pos]
	if !h.settled {
		return
	}
	h.settled = false
	for i := range g.marks {
		if m := &g.marks[i]; m.BlockedAt != 0 {
			m.BlockedAt = max(m.BlockedAt, h.BlockedAt)
		}
	}
}

// addClass adds a class without entries.
func (q *Queue[T]) addClass(k Key) *Class[T] {
	g, ok := q.byShape[k.shape()]
	if !ok {
		g = &Group[T]{key: k.shape(), pos: len(q.groups)}
		q.byShape[g.key] = g
		q.groups = append(q.groups, g)
		q.shapes = append(q.shapes, Shape{Least: k.least()})
	}
	q.Unsettle(g)
	q.shapes[g.pos].earliest = 0
	c := &Class[T]{Key: k, group: g, pos: len(g.classes)}
	g.classes = append(g.classes, c)
	g.marks = append(g.marks, Mark{
		Least: k.least(), Kind: k.Kind, Constrained: k.Constraints != (cawork.Constraints{}),
	})
	q.byKey[k] = c
	return c
}

// drop removes a class without entries.
func (q *Queue[T]) drop(c *Class[T]) {
	delete(q.byKey, c.Key)
	g := c.group
	last := len(g.classes) - 1
	g.classes[c.pos], g.marks[c.pos] = g.classes[last], g.marks[last]
	g.classes[c.pos].pos = c.pos
	q.shapes[g.pos].earliest = 0
	g.classes[last] = nil
	g.classes, g.marks = g.classes[:last], g.marks[:last]
	if last == 0 {
		q.dropGroup(g)
	}
}

// dropGroup removes a group without classes.
func (q *Queue[T]) dropGroup(g *Group[T]) {
	delete(q.byShape, g.key)
	last := len(q.groups) - 1
	q.groups[g.pos], q.shapes[g.pos] = q.groups[last], q.shapes[last]
	q.groups[g.pos].pos = g.pos
	q.groups[last] = nil
	q.groups, q.shapes = q.groups[:last], q.shapes[:last]
}
