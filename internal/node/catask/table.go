// Package catask keeps what an entry knows of the task attempts on the
// upstreams that it owns, and tells the primaries of their shards what changed.
// It is pure and not safe for concurrent use.
package catask

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Cursor is a position in the changes of one table. Generation changes with
// each life of a table, which makes older positions void.
type Cursor struct {
	Generation int64
	Sequence   int64
}

// Observation is the state of an attempt on an upstream.
type Observation struct {
	Upstream cawork.UpstreamID
	Status   caplatform.TaskStatus
}

// Changes lists what changed of one shard since a cursor.
type Changes struct {
	Cursor       Cursor
	Observations []Observation
}

// Table holds the attempts on the owned upstreams.
type Table struct {
	generation int64
	sequence   int64
	upstreams  map[cawork.UpstreamID]map[cawork.AttemptID]row
}

type row struct {
	status   caplatform.TaskStatus
	sequence int64
}

// NewTable returns an empty table of the generation.
func NewTable(generation int64) *Table {
	return &Table{
		generation: generation,
		upstreams:  make(map[cawork.UpstreamID]map[cawork.AttemptID]row),
	}
}

// Gain replaces what is known of an upstream by the list that came with its
// ownership.
func (t *Table) Gain(u cawork.UpstreamID, tasks []caplatform.TaskStatus) {
	t.upstreams[u] = make(map[cawork.AttemptID]row)
	t.Update(u, tasks)
}

// Update notes attempts that changed on an owned upstream.
func (t *Table) Update(u cawork.UpstreamID, tasks []caplatform.TaskStatus) {
	rows, ok := t.upstreams[u]
	if !ok {
		return
	}
	for _, s := range tasks {
		t.sequence++
		rows[s.Attempt] = row{status: s, sequence: t.sequence}
	}
}

// Drop forgets an upstream that is not owned any more, and returns what was
// known of its attempts.
func (t *Table) Drop(u cawork.UpstreamID) []caplatform.TaskStatus {
	var tasks []caplatform.TaskStatus
	for _, r := range t.upstreams[u] {
		tasks = append(tasks, r.status)
	}
	delete(t.upstreams, u)
	return tasks
}

// Owns reports whether the upstream is owned.
func (t *Table) Owns(u cawork.UpstreamID) bool {
	_, ok := t.upstreams[u]
	return ok
}

// Find returns what is known of an attempt on an owned upstream.
func (t *Table) Find(u cawork.UpstreamID, a cawork.AttemptID) (caplatform.TaskStatus, bool) {
	r, ok := t.upstreams[u][a]
	return r.status, ok
}

// Since returns the changes of the shard after the cursor, in the order in
// which they happened. Ended attempts that the cursor covers are forgotten:
// the primary has taken them over.
func (t *Table) Since(s cawork.ShardID, c Cursor) Changes {
	after := c.Sequence
	if c.Generation != t.generation {
		after = 0
	}
	var found []numbered
	for u, rows := range t.upstreams {
		for a, r := range rows {
			switch {
			case r.status.Shard != s:
			case r.sequence > after:
				found = append(found, numbered{r.sequence, Observation{Upstream: u, Status: r.status}})
			case r.status.State.Ended():
				delete(rows, a)
			}
		}
	}
	slices.SortFunc(found, func(a, b numbered) int { return cmp.Compare(a.sequence, b.sequence) })
	changes := Changes{Cursor: Cursor{Generation: t.generation, Sequence: t.sequence}}
	for _, n := range found {
		changes.Observations = append(changes.Observations, n.observation)
	}
	return changes
}

type numbered struct {
	sequence    int64
	observation Observation
}

// FindTask returns the running attempt of a task on an owned upstream.
func (t *Table) FindTask(u cawork.UpstreamID, task cawork.TaskRef) (cawork.AttemptID, bool) {
	for id, r := range t.upstreams[u] {
		if r.status.Task == task && r.status.State == cawork.TaskStateRunning {
			return id, true
		}
	}
	return "", false
}
