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
	// Host and Prefix select the queue of a call by its host and path.
	Host   string   `cbor:"2,keyasint"`
	Prefix string   `cbor:"3,keyasint"`
	Pool   PoolName `cbor:"4,keyasint"`
	// Priority orders queues. Lower numbers are scheduled first.
	Priority    int `cbor:"5,keyasint,omitempty"`
	MaxAttempts int `cbor:"6,keyasint,omitempty"`
	// Stretch and TargetLatency define the objective of a job, the time within which
	// it should complete: Stretch times its run time plus TargetLatency.
	Stretch       float64       `cbor:"7,keyasint,omitempty"`
	TargetLatency time.Duration `cbor:"8,keyasint,omitempty"`
	// Timeout bounds how long a call may wait for its response.
	Timeout time.Duration `cbor:"9,keyasint,omitempty"`
	// Public queues accept calls without a key.
	Public bool `cbor:"10,keyasint,omitempty"`
	// Approval is set if an advisor decides which upstreams may run a step.
	Approval *Approval `cbor:"11,keyasint,omitempty"`
}

// WithoutCallTerms returns the queue with only what concerns the jobs that it has accepted, not the calls of
// callers.
func (q Queue) WithoutCallTerms() Queue {
	q.Host, q.Prefix, q.Timeout, q.Public = "", "", 0, false
	return q
}

// Approval describes how long the advisor takes to answer and how long its
// tickets are valid.
type Approval struct {
	// FixedCost is the fixed part of the duration of a call to the advisor.
	FixedCost time.Duration `cbor:"1,keyasint,omitempty"`
	// CostPerUpstream is added for each upstream in the call.
	CostPerUpstream time.Duration `cbor:"2,keyasint,omitempty"`
	// Validity is how long a ticket is valid.
	Validity time.Duration `cbor:"3,keyasint,omitempty"`
}

// Cost returns the duration of a call to the advisor about n upstreams.
func (a Approval) Cost(n int) time.Duration { return a.FixedCost + time.Duration(n)*a.CostPerUpstream }

// Pool is a set of upstreams that run the same kinds of work.
type Pool struct {
	Name PoolName `cbor:"1,keyasint"`
	// HealthPath returns status 200 while an upstream considers itself healthy.
	HealthPath string `cbor:"2,keyasint,omitempty"`
	// Standby pools are disabled.
	Standby bool `cbor:"3,keyasint,omitempty"`
	// ChecksAdmission reports whether upstreams reject runs that exceed their free capacity.
	ChecksAdmission bool `cbor:"4,keyasint,omitempty"`
}

// Team is a customer with its weight, its resource limit and its keys.
type Team struct {
	Name cawork.TeamName `cbor:"1,keyasint"`
	// Weight determines the share of the team when the cell is full, and is its
	// guaranteed rate in jobs per second.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	// Limit bounds the resources of the running tasks of the team. A zero
	// dimension has no bound.
	Limit cawork.Resources `cbor:"3,keyasint,omitempty"`
	Keys  []string         `cbor:"4,keyasint,omitempty"`
}

// WithoutKeys returns the team without its keys.
func (t Team) WithoutKeys() Team {
	t.Keys = nil
	return t
}

// Policy is one complete version of the operator's configuration.
type Policy struct {
	Version int64   `cbor:"1,keyasint"`
	Queues  []Queue `cbor:"2,keyasint"`
	Pools   []Pool  `cbor:"3,keyasint"`
	Teams   []Team  `cbor:"4,keyasint"`
	// MaxBodyBytes bounds the request body of a call in bytes. Zero means no bound.
	MaxBodyBytes int64 `cbor:"5,keyasint,omitempty"`

	index *policyIndex
}

type policyIndex struct {
	queues    map[QueueName]int
	teams     map[cawork.TeamName]int
	teamByKey map[string]cawork.TeamName
	// queuesByHost lists the queues of a host, the longest prefix first.
	queuesByHost map[string][]int
}

// WithIndex returns the policy with its lookup tables built.
func (p Policy) WithIndex() Policy {
	index := &policyIndex{
		queues:       make(map[QueueName]int, len(p.Queues)),
		teams:        make(map[cawork.TeamName]int, len(p.Teams)),
		teamByKey:    make(map[string]cawork.TeamName),
		queuesByHost: make(map[string][]int),
	}
	for i, q := range p.Queues {
		index.queues[q.Name] = i
		index.queuesByHost[q.Host] = append(index.queuesByHost[q.Host], i)
	}
	for _, list := range index.queuesByHost {
		slices.SortStableFunc(list, func(a, b int) int { return len(p.Queues[b].Prefix) - len(p.Queues[a].Prefix) })
	}
	for i, t := range p.Teams {
		index.teams[t.Name] = i
		for _, key := range t.Keys {
			index.teamByKey[key] = t.Name
		}
	}
	p.index = index
	return p
}

// IsZero reports whether the policy lacks its lookup tables, which means that no
// version was read yet.
func (p Policy) IsZero() bool { return p.index == nil }

// Queue returns the queue with the name.
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

// QueueFor returns the queue of the host with the longest prefix that matches
// the path.
func (p Policy) QueueFor(host, path string) (Queue, bool) {
	if p.index == nil {
		return Queue{}, false
	}
	for _, i := range p.index.queuesByHost[host] {
		if strings.HasPrefix(path, p.Queues[i].Prefix) {
			return p.Queues[i], true
		}
	}
	return Queue{}, false
}

// Team returns the team with the name.
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

// TeamForKey returns the team that the key belongs to.
func (p Policy) TeamForKey(key string) (cawork.TeamName, bool) {
	if p.index == nil || key == "" {
		return "", false
	}
	team, ok := p.index.teamByKey[key]
	return team, ok
}

// DividedBy returns the team with its weight and limit divided into equal parts,
// for the policy of one part.
func (t Team) DividedBy(parts int) Team {
	if parts <= 1 {
		return t
	}
	t.Weight /= float64(parts)
	t.Limit = cawork.Resources{
		CPU:          divideLimit(t.Limit.CPU, parts),
		Memory:       divideLimit(t.Limit.Memory, parts),
		Accelerators: divideLimit(t.Limit.Accelerators, parts),
	}
	return t
}

// divideLimit divides a limit into equal parts. Zero means no limit, so it stays
// zero, and the parts of any other limit are at least 1.
func divideLimit[N ~int64](limit N, parts int) N {
	if limit == 0 {
		return 0
	}
	return max(limit/N(parts), 1)
}
