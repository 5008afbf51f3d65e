// Package capolicy checks a policy before operators publish it, and tells how it differs from another one. It does no
// input or output.
package capolicy

import (
	"fmt"
	"net"
	"strings"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=snake -output=kind_names.go

// Kind is what is wrong with a part of a policy.
type Kind int

const (
	// KindError is a value or a reference that cannot be meant.
	KindError Kind = iota
	// KindNeverMatches is a part that no call or job can meet.
	KindNeverMatches
	// KindContradiction is a limit that another one leaves no use.
	KindContradiction
)

// Problem is one thing that is wrong with a policy.
type Problem struct {
	Kind Kind
	// Part is the part of the policy, such as "queue lookup".
	Part   string
	Reason string
}

// String returns the problem as a line of text.
func (p Problem) String() string { return fmt.Sprintf("%s: %s: %s", p.Kind, p.Part, p.Reason) }

// checker collects the problems of a policy.
type checker struct {
	policy   caspec.Policy
	pools    map[caspec.PoolName]caspec.Pool
	problems []Problem
}

// Check returns the problems of a policy, in the order of its parts.
func Check(p caspec.Policy) []Problem {
	c := &checker{policy: p, pools: make(map[caspec.PoolName]caspec.Pool)}
	if p.MaxBodyBytes < 0 {
		c.add(KindError, "limits", "the largest body is negative")
	}
	c.checkPools()
	c.checkQueues()
	c.checkTeams()
	return c.problems
}

func (c *checker) add(kind Kind, part, format string, args ...any) {
	c.problems = append(c.problems, Problem{Kind: kind, Part: part, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkPools() {
	used := make(map[caspec.PoolName]bool)
	for _, q := range c.policy.Queues {
		used[q.Pool] = true
	}
	for _, p := range c.policy.Pools {
		part := "pool " + string(p.Name)
		if _, twice := c.pools[p.Name]; twice {
			c.add(KindError, part, "the name is used twice")
		}
		c.pools[p.Name] = p
		if !used[p.Name] && !p.Standby {
			c.add(KindNeverMatches, part, "no queue uses it")
		}
	}
}

func (c *checker) checkQueues() {
	names := make(map[caspec.QueueName]bool)
	selectors := make(map[string]caspec.QueueName)
	hasKeys := false
	for _, t := range c.policy.Teams {
		hasKeys = hasKeys || len(t.Keys) > 0
	}
	for _, q := range c.policy.Queues {
		part := "queue " + string(q.Name)
		if names[q.Name] {
			c.add(KindError, part, "the name is used twice, only the last one is found")
		}
		names[q.Name] = true
		c.checkQueue(q, part)
		selector := q.Host + q.Prefix
		if earlier, taken := selectors[selector]; taken {
			c.add(KindNeverMatches, part, "queue %s has the same host and prefix", earlier)
		} else {
			selectors[selector] = q.Name
		}
		if !q.Public && !hasKeys {
			c.add(KindNeverMatches, part, "it is not public, and no team has a key")
		}
	}
}

func (c *checker) checkQueue(q caspec.Queue, part string) {
	pool, ok := c.pools[q.Pool]
	switch {
	case !ok:
		c.add(KindError, part, "pool %q does not exist", q.Pool)
	case pool.Standby:
		c.add(KindNeverMatches, part, "pool %s is on standby", q.Pool)
	}
	if host, _, err := net.SplitHostPort(q.Host); err == nil {
		c.add(KindNeverMatches, part, "hosts are compared without a port: %q", host)
	}
	if q.Prefix != "" && !strings.HasPrefix(q.Prefix, "/") {
		c.add(KindNeverMatches, part, "no path begins with %q", q.Prefix)
	}
	if q.MaxAttempts < 0 || q.Stretch < 0 || q.TargetLatency < 0 || q.Timeout < 0 {
		c.add(KindError, part, "a number is negative")
	}
	if q.Stretch > 0 && q.Stretch < 1 && q.TargetLatency == 0 {
		c.add(KindContradiction, part, "jobs should end in %g of the time that they run for", q.Stretch)
	}
	c.checkApproval(q, part)
}

func (c *checker) checkApproval(q caspec.Queue, part string) {
	a := q.Approval
	switch {
	case a == nil:
	case a.FixedCost < 0 || a.CostPerUpstream < 0 || a.Validity < 0:
		c.add(KindError, part, "a duration of the advisor is negative")
	case a.Validity == 0:
		c.add(KindContradiction, part, "the advisor's tickets are never valid")
	}
}

func (c *checker) checkTeams() {
	names := make(map[cawork.TeamName]bool)
	owners := make(map[string]cawork.TeamName)
	for _, t := range c.policy.Teams {
		part := "team " + string(t.Name)
		if names[t.Name] {
			c.add(KindError, part, "the name is used twice, only the last one is found")
		}
		names[t.Name] = true
		if len(t.Keys) == 0 {
			c.add(KindNeverMatches, part, "it has no key")
		}
		for _, key := range t.Keys {
			owner, taken := owners[key]
			switch {
			case key == "":
				c.add(KindNeverMatches, part, "a key is empty")
			case taken && owner != t.Name:
				c.add(KindContradiction, part, "a key of it belongs to team %s as well", owner)
			}
			owners[key] = t.Name
		}
		c.checkShare(t, part)
	}
}

func (c *checker) checkShare(t caspec.Team, part string) {
	limit := t.Limit
	switch {
	case t.Weight < 0 || limit.CPU < 0 || limit.Memory < 0 || limit.Accelerators < 0:
		c.add(KindError, part, "a number is negative")
	case t.Weight == 0:
		c.add(KindContradiction, part, "its weight is zero: none of its jobs is within its guaranteed rate")
	}
}

// HasErrors reports whether a policy with the problems should not be published.
func HasErrors(problems []Problem) bool {
	for _, p := range problems {
		if p.Kind == KindError {
			return true
		}
	}
	return false
}
