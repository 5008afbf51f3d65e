// Package catask tracks the state of task attempts on the upstreams that an entry
// owns, and returns the changes to the primaries of their shards. It does no I/O
// and is not safe for concurrent use.
package catask

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Cursor is a position in the sequence of changes of one table. Each new table
// has another generation, which invalidates cursors of earlier tables.
type Cursor struct {
	Generation int64
	Sequence   int64
}

// Observation is the last observed state of an attempt on an upstream.
type Observation struct {
	Upstream cawork.UpstreamID
	Status   caplatform.TaskStatus
}

// Changes lists the attempts of one shard that changed since a cursor.
type Changes struct {
	Cursor       Cursor
	Observations []Observation
}

// Table tracks the attempts on the owned upstreams.
type Table struct {
	generation int64
	sequence   int64
	upstreams  map[cawork.UpstreamID]map[cawork.AttemptID]attempt
}

type attempt struct {
	status   caplatform.TaskStatus
	sequence int64
}

// NewTable returns an empty table with the generation.
func NewTable(generation int64) *Table {
	return &Table{
		generation: generation,
		upstreams:  make(map[cawork.UpstreamID]map[cawork.AttemptID]attempt),
	}
}

// AddUpstream adds an upstream whose ownership was acquired, with the list of its tasks.
// It replaces earlier state of the upstream.
func (t *Table) AddUpstream(u cawork.UpstreamID, tasks []caplatform.TaskStatus) {
	t.upstreams[u] = make(map[cawork.AttemptID]attempt)
	t.Update(u, tasks)
}

// Update records attempts that changed on an upstream. It ignores upstreams that
// are not owned.
func (t *Table) Update(u cawork.UpstreamID, tasks []caplatform.TaskStatus) {
	attempts, ok := t.upstreams[u]
	if !ok {
		return
	}
	for _, s := range tasks {
		t.sequence++
		attempts[s.Attempt] = attempt{status: s, sequence: t.sequence}
	}
}

// RemoveUpstream removes an upstream that is no longer owned, and returns the last known
// states of its attempts.
func (t *Table) RemoveUpstream(u cawork.UpstreamID) []caplatform.TaskStatus {
	var tasks []caplatform.TaskStatus
	for _, a := range t.upstreams[u] {
		tasks = append(tasks, a.status)
	}
	delete(t.upstreams, u)
	return tasks
}

// Owns reports whether the table has the upstream.
func (t *Table) Owns(u cawork.UpstreamID) bool {
	_, ok := t.upstreams[u]
	return ok
}

// FindAttempt returns the last known state of an attempt on an owned upstream.
func (t *Table) FindAttempt(u cawork.UpstreamID, a cawork.AttemptID) (caplatform.TaskStatus, bool) {
	found, ok := t.upstreams[u][a]
	return found.status, ok
}

// ChangesSince returns the changes of the shard after the cursor, in the order in which
// they were recorded. If the cursor is of another generation, it returns all
// attempts of the shard. It removes ended attempts of the shard up to the cursor,
// since the primary has already received them.
func (t *Table) ChangesSince(s cawork.ShardID, c Cursor) Changes {
	after := c.Sequence
	if c.Generation != t.generation {
		after = 0
	}
	var changed []sequenced
	for upstream, attempts := range t.upstreams {
		for id, current := range attempts {
			switch {
			case current.status.Shard != s:
			case current.sequence > after:
				changed = append(changed, sequenced{current.sequence, Observation{Upstream: upstream, Status: current.status}})
			case current.status.State.Ended():
				delete(attempts, id)
			}
		}
	}
	slices.SortFunc(changed, func(a, b sequenced) int { return cmp.Compare(a.sequence, b.sequence) })
	changes := Changes{Cursor: Cursor{Generation: t.generation, Sequence: t.sequence}}
	for _, change := range changed {
		changes.Observations = append(changes.Observations, change.observation)
	}
	return changes
}

type sequenced struct {
	sequence    int64
	observation Observation
}

// FindRunningAttempt returns the running attempt of a task on an owned upstream.
func (t *Table) FindRunningAttempt(u cawork.UpstreamID, task cawork.TaskRef) (cawork.AttemptID, bool) {
	for id, a := range t.upstreams[u] {
		if a.status.Task == task && a.status.State == cawork.TaskStateRunning {
			return id, true
		}
	}
	return "", false
}
