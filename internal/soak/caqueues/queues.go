// Package caqueues changes the queues of a policy as operators do who remove, replace and bring them back
// while jobs run.
package caqueues

import (
	"fmt"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

//go:generate go tool enumer -type=Change -trimprefix=Change -transform=snake -output=change_names.go

// Change is a change of a queue that begins and ends.
type Change int

// The changes.
const (
	// ChangeReplace removes the queue, and ends with another one at its path: the queue never returns.
	ChangeReplace Change = 1 + iota
	// ChangeSwap puts another queue at the path, and ends with the queue in its place again.
	ChangeSwap
	// ChangeMove removes the queue and adds another one at another path, and ends with the queue back.
	ChangeMove
)

// Queues is how the queues in force differ from those of the policy. It is not safe for concurrent use.
type Queues struct {
	changed map[caspec.QueueName]difference
	// successors counts the queues that took the place of others, so that no name is used twice.
	successors int
}

// difference is how one queue differs from the policy.
type difference struct {
	// successor is the name of the queue in its place, empty if there is none.
	successor caspec.QueueName
	isRemoved bool
	isMoved   bool
}

// Begin begins a change of a queue.
func (r *Queues) Begin(q caspec.QueueName, c Change) {
	current := r.changed[q]
	switch c {
	case ChangeReplace:
		current = difference{isRemoved: true}
	case ChangeSwap:
		current = difference{successor: r.nextSuccessor(q)}
	case ChangeMove:
		current = difference{successor: r.nextSuccessor(q), isMoved: true}
	}
	r.set(q, current)
}

// End ends a change. Whatever other changes of the queue go on, there is a queue at the path then.
func (r *Queues) End(q caspec.QueueName, c Change) {
	current := difference{}
	if c == ChangeReplace {
		current.successor = r.nextSuccessor(q)
	}
	r.set(q, current)
}

func (r *Queues) set(q caspec.QueueName, current difference) {
	if r.changed == nil {
		r.changed = make(map[caspec.QueueName]difference)
	}
	r.changed[q] = current
}

func (r *Queues) nextSuccessor(q caspec.QueueName) caspec.QueueName {
	r.successors++
	return caspec.QueueName(fmt.Sprintf("%s-%d", q, r.successors))
}

// Apply returns the policy with its queues changed.
func (r *Queues) Apply(p caspec.Policy) caspec.Policy {
	queues := make([]caspec.Queue, 0, len(p.Queues))
	for _, q := range p.Queues {
		current := r.changed[q.Name]
		if current.isRemoved {
			continue
		}
		if current.successor != "" {
			q.Name = current.successor
		}
		if current.isMoved {
			q.Prefix = fmt.Sprintf("/%s/", q.Name)
		}
		queues = append(queues, q)
	}
	p.Queues = queues
	return p
}
