// Package caroutes changes the queues of a policy as operators do who remove, replace and bring back
// routes while jobs run.
package caroutes

import (
	"fmt"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

//go:generate go tool enumer -type=Change -trimprefix=Change -transform=snake -output=change_names.go

// Change is a change of a route that begins and ends.
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

// Routes is how the routes of queues differ from the policy. It is not safe for concurrent use.
type Routes struct {
	routes map[caspec.QueueName]route
	// successors counts the queues that took the place of others, so that no name is used twice.
	successors int
}

// route is how the route of a queue differs from the policy.
type route struct {
	// successor is the name of the queue in its place, empty if there is none.
	successor caspec.QueueName
	isRemoved bool
	isMoved   bool
}

// Begin begins a change of the route of a queue.
func (r *Routes) Begin(q caspec.QueueName, c Change) {
	current := r.routes[q]
	switch c {
	case ChangeReplace:
		current = route{isRemoved: true}
	case ChangeSwap:
		current = route{successor: r.nextSuccessor(q)}
	case ChangeMove:
		current = route{successor: r.nextSuccessor(q), isMoved: true}
	}
	r.set(q, current)
}

// End ends a change. Whatever other changes of the queue go on, there is a queue at the path then.
func (r *Routes) End(q caspec.QueueName, c Change) {
	current := route{}
	if c == ChangeReplace {
		current.successor = r.nextSuccessor(q)
	}
	r.set(q, current)
}

func (r *Routes) set(q caspec.QueueName, current route) {
	if r.routes == nil {
		r.routes = make(map[caspec.QueueName]route)
	}
	r.routes[q] = current
}

func (r *Routes) nextSuccessor(q caspec.QueueName) caspec.QueueName {
	r.successors++
	return caspec.QueueName(fmt.Sprintf("%s-%d", q, r.successors))
}

// Apply returns the policy with its routes changed.
func (r *Routes) Apply(p caspec.Policy) caspec.Policy {
	queues := make([]caspec.Queue, 0, len(p.Queues))
	for _, q := range p.Queues {
		current := r.routes[q.Name]
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
