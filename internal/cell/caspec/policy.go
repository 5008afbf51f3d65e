package caspec

import (
	"slices"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// QueueName names a queue.
type QueueName string

// PoolName names a pool of upstreams.
type PoolName string

// Queue is the operator's policy for one kind of work.
type Queue struct {
	Name QueueName `cbor:"1,keyasint"`
	// Host and Prefix select the queue of a call.
	Host   string   `cbor:"2,keyasint"`
	Prefix string   `cbor:"3,keyasint"`
	Pool   PoolName `cbor:"4,keyasint"`
	// Priority orders queues; the lowest number goes first.
	Priority    int `cbor:"5,keyasint,omitempty"`
	MaxAttempts int `cbor:"6,keyasint,omitempty"`
	// Stretch and Allowance make the objective of a job: Stretch times its
	// run time, and Allowance more.
	Stretch   float64       `cbor:"7,keyasint,omitempty"`
	Allowance time.Duration `cbor:"8,keyasint,omitempty"`
	// Timeout bounds how long a call may wait for its answer.
	Timeout time.Duration `cbor:"9,keyasint,omitempty"`
	// Public queues need no key.
	Public bool `cbor:"10,keyasint,omitempty"`
	// Approval is set when an advisor decides which upstreams may run a step.
	Approval *Approval `cbor:"11,keyasint,omitempty"`
}

// Approval describes how long the advisor takes and how long it binds.
type Approval struct {
	// Decision is the fixed part of the time that a call takes.
	Decision time.Duration `cbor:"1,keyasint,omitempty"`
	// PerUpstream is added for each upstream that a call names.
	PerUpstream time.Duration `cbor:"2,keyasint,omitempty"`
	// Validity is the life of a ticket.
	Validity time.Duration `cbor:"3,keyasint,omitempty"`
}

// Cost returns how long a call about n upstreams takes.
func (a Approval) Cost(n int) time.Duration { return a.Decision + time.Duration(n)*a.PerUpstream }

// Pool is a set of upstreams that run the same kinds of work.
type Pool struct {
	Name PoolName `cbor:"1,keyasint"`
	// HealthPath answers 200 while an upstream considers itself healthy.
	HealthPath string `cbor:"2,keyasint,omitempty"`
	// Standby pools are switched off.
	Standby bool `cbor:"3,keyasint,omitempty"`
	// Guards reports whether upstreams refuse what exceeds their room.
	Guards bool `cbor:"4,keyasint,omitempty"`
}

// Team is a customer with its share and its upper limit.
type Team struct {
	Name cawork.TeamName `cbor:"1,keyasint"`
	// Weight is the share when the cell is full, and the jobs a second that
	// the team is owed.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	// Limit bounds what runs of the team; a zero dimension has no bound.
	Limit cawork.Resources `cbor:"3,keyasint,omitempty"`
	Keys  []string         `cbor:"4,keyasint,omitempty"`
}

// Policy is one version of the operator's configuration in full.
type Policy struct {
	Version int64   `cbor:"1,keyasint"`
	Queues  []Queue `cbor:"2,keyasint"`
	Pools   []Pool  `cbor:"3,keyasint"`
	Teams   []Team  `cbor:"4,keyasint"`
	// MaxBody bounds the body of a call in bytes; zero means no bound.
	MaxBody int64 `cbor:"5,keyasint,omitempty"`

	index *policyIndex
}

type policyIndex struct {
	queues map[QueueName]int
	teams  map[cawork.TeamName]int
	keys   map[string]cawork.TeamName
	// byHost holds the queues of a host, the longest prefix first.
	byHost map[string][]int
}

// WithIndex returns the policy with its look-up tables built.
func (p Policy) WithIndex() Policy {
	x := &policyIndex{
		queues: make(map[QueueName]int, len(p.Queues)),
		teams:  make(map[cawork.TeamName]int, len(p.Teams)),
		keys:   make(map[string]cawork.TeamName),
		byHost: make(map[string][]int),
	}
	for i, q := range p.Queues {
		x.queues[q.Name] = i
		x.byHost[q.Host] = append(x.byHost[q.Host], i)
	}
	for _, list := range x.byHost {
		slices.SortStableFunc(list, func(a, b int) int { return len(p.Queues[b].Prefix) - len(p.Queues[a].Prefix) })
	}
	for i, t := range p.Teams {
		x.teams[t.Name] = i
		for _, key := range t.Keys {
			x.keys[key] = t.Name
		}
	}
	p.index = x
	return p
}

// IsZero reports whether no version was read yet.
func (p Policy) IsZero() bool { return p.index == nil }

// Queue returns the queue of the name.
func (p Policy) Queue(name QueueName) (Queue, bool) {
	if p.index == nil {
		return Queue{}, false
	}
	i, ok := p.index.queues[name]
	if !ok {
		return Queue{}, false
	}
	return p.Queues[i], true
}

// QueueFor returns the queue with the longest prefix that the path begins
// with, on the host.
func (p Policy) QueueFor(host, path string) (Queue, bool) {
	if p.index == nil {
		return Queue{}, false
	}
	for _, i := range p.index.byHost[host] {
		if strings.HasPrefix(path, p.Queues[i].Prefix) {
			return p.Queues[i], true
		}
	}
	return Queue{}, false
}

// Team returns the team of the name.
func (p Policy) Team(name cawork.TeamName) (Team, bool) {
	if p.index == nil {
		return Team{}, false
	}
	i, ok := p.index.teams[name]
	if !ok {
		return Team{}, false
	}
	return p.Teams[i], true
}

// TeamOf returns the team that the key stands for.
func (p Policy) TeamOf(key string) (cawork.TeamName, bool) {
	if p.index == nil || key == "" {
		return "", false
	}
	team, ok := p.index.keys[key]
	return team, ok
}

// WithPart returns the team with one of so many equal parts of what it is
// allowed and owed.
func (t Team) WithPart(parts int) Team {
	if parts <= 1 {
		return t
	}
	t.Weight /= float64(parts)
	t.Limit = cawork.Resources{
		CPU:          partOf(t.Limit.CPU, parts),
		Memory:       partOf(t.Limit.Memory, parts),
		Accelerators: partOf(t.Limit.Accelerators, parts),
	}
	return t
}

// partOf divides a bound. A bound of zero means none and stays, and no part of
// another one is zero.
func partOf[N ~int64](bound N, parts int) N {
	if bound == 0 {
		return 0
	}
	return max(bound/N(parts), 1)
}
