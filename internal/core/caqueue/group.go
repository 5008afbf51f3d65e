package caqueue

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// groupKey identifies a group: the classes whose task sizes fall into the same
// buckets, regardless of their kind and constraints.
type groupKey struct {
	cpu, memory  int
	accelerators int64
}

func (k Key) groupKey() groupKey { return groupKey{k.CPU, k.Memory, k.Accelerators} }

// GroupState is the state of a group that a scan over the groups reads first. A group
// counts as tried when all its classes were tried, and nothing was pushed and no
// head was removed since. A scan can then skip all of them after one comparison
// of the lower bound MinSize with the capacity that was freed.
type GroupState struct {
	// MinSize is a lower bound of the declared sizes in the group.
	MinSize cawork.Resources
	// BlockedAt is the sequence number of freed capacity (caplace.Index.Seq) up to
	// which those classes of a tried group that lack capacity do not fit.
	BlockedAt uint64
	// limitedAt is the sequence number of the team's account up to which the
	// allowance does not suffice for some classes. It is zero when no class lacks
	// allowance.
	limitedAt uint64
	// earliestDue caches the earliest due time of the heads in the group, in Unix
	// nanoseconds. It is zero when it has to be computed.
	earliestDue int64
	allTried    bool
}

// Tried reports whether all classes of the group were tried, and the account is
// unchanged since then if one of them lacks allowance.
func (s *GroupState) Tried(accountSeq uint64) bool {
	return s.allTried && (s.limitedAt == 0 || s.limitedAt == accountSeq)
}

// Group holds the classes of like sizes. The elements of states describe the
// classes at the same positions.
type Group[T any] struct {
	key     groupKey
	pos     int
	classes []*Class[T]
	states  []ClassState
}

// Classes returns the classes of the group, none of which is empty. The result
// is valid until the next change of the queue.
func (g *Group[T]) Classes() []*Class[T] { return g.classes }

// ClassStates returns the states of the classes, which the caller may change.
func (g *Group[T]) ClassStates() []ClassState { return g.states }

func (g *Group[T]) headDue(i int) int64 {
	s := &g.states[i]
	if s.headDue == 0 {
		s.headDue = g.classes[i].Head().due.UnixNano()
	}
	return s.headDue
}

// groupDue returns the earliest due time of the heads in the n-th group, in Unix
// nanoseconds.
func (q *Queue[T]) groupDue(n int) int64 {
	gs, g := &q.groupStates[n], q.groups[n]
	if gs.earliestDue != 0 {
		return gs.earliestDue
	}
	gs.earliestDue = g.headDue(0)
	for i := range g.states {
		gs.earliestDue = min(gs.earliestDue, g.headDue(i))
	}
	return gs.earliestDue
}

// GroupStates returns the states of the groups, whose BlockedAt the caller may change.
// The result is valid until the next change of the queue.
func (q *Queue[T]) GroupStates() []GroupState { return q.groupStates }

// Groups returns the groups in the same order as GroupStates.
func (q *Queue[T]) Groups() []*Group[T] { return q.groups }

// MarkGroupTried marks the group as tried at the given sequence numbers, if all its
// classes were tried and still lack capacity or allowance at these numbers.
// Otherwise the group stays untried.
func (q *Queue[T]) MarkGroupTried(g *Group[T], capacitySeq, accountSeq uint64) {
	gs := &q.groupStates[g.pos]
	gs.allTried, gs.BlockedAt, gs.limitedAt = true, capacitySeq, 0
	for i := range g.states {
		s := &g.states[i]
		if !s.Tried(capacitySeq, accountSeq) || s.NewCount > 0 {
			gs.allTried = false
			return
		}
		if s.LimitedAt != 0 {
			gs.limitedAt = accountSeq
		}
	}
}

// MarkGroupUntried marks a tried group as untried, and advances the BlockedAt of its
// classes that lack capacity to that of the group. The classes stay tried.
func (q *Queue[T]) MarkGroupUntried(g *Group[T]) {
	gs := &q.groupStates[g.pos]
	if !gs.allTried {
		return
	}
	gs.allTried = false
	for i := range g.states {
		if s := &g.states[i]; s.BlockedAt != 0 {
			s.BlockedAt = max(s.BlockedAt, gs.BlockedAt)
		}
	}
}

// addClass adds a class without entries.
func (q *Queue[T]) addClass(k Key) *Class[T] {
	g, ok := q.byGroupKey[k.groupKey()]
	if !ok {
		g = &Group[T]{key: k.groupKey(), pos: len(q.groups)}
		q.byGroupKey[g.key] = g
		q.groups = append(q.groups, g)
		q.groupStates = append(q.groupStates, GroupState{MinSize: k.minSize()})
	}
	q.MarkGroupUntried(g)
	q.groupStates[g.pos].earliestDue = 0
	c := &Class[T]{Key: k, group: g, pos: len(g.classes)}
	g.classes = append(g.classes, c)
	g.states = append(g.states, ClassState{
		MinSize: k.minSize(), Kind: k.Kind, Constrained: k.Constraints != (cawork.Constraints{}),
	})
	q.byKey[k] = c
	return c
}

// dropClass removes a class without entries.
func (q *Queue[T]) dropClass(c *Class[T]) {
	delete(q.byKey, c.Key)
	g := c.group
	last := len(g.classes) - 1
	g.classes[c.pos], g.states[c.pos] = g.classes[last], g.states[last]
	g.classes[c.pos].pos = c.pos
	q.groupStates[g.pos].earliestDue = 0
	g.classes[last] = nil
	g.classes, g.states = g.classes[:last], g.states[:last]
	if last == 0 {
		q.dropGroup(g)
	}
}

// dropGroup removes a group without classes.
func (q *Queue[T]) dropGroup(g *Group[T]) {
	delete(q.byGroupKey, g.key)
	last := len(q.groups) - 1
	q.groups[g.pos], q.groupStates[g.pos] = q.groups[last], q.groupStates[last]
	q.groups[g.pos].pos = g.pos
	q.groups[last] = nil
	q.groups, q.groupStates = q.groups[:last], q.groupStates[:last]
}
