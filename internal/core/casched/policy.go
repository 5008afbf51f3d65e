// Package casched defines the interface of the scheduling core of an entry, the
// process that schedules one shard of the jobs: its policy, inputs, results and
// decision records. Package cadecide implements the interface; package canaive
// has a naive reference implementation for differential tests.
package casched

import (
	"maps"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// NoLimit in a dimension of a limit leaves that dimension unbounded. Zero
// forbids any use of the dimension.
const NoLimit = 1 << 60

// Unlimited returns a limit that leaves every dimension unbounded.
func Unlimited() cawork.Resources {
	return cawork.Resources{CPU: NoLimit, Memory: NoLimit, Accelerators: NoLimit}
}

// TeamPolicy is the configuration of a team.
type TeamPolicy struct {
	// Weight sets the share of the team relative to the weights of other teams.
	Weight int
	// Limit caps what the team may run in the whole fleet.
	Limit cawork.Resources
}

// KindPolicy is the configuration of a kind of work.
type KindPolicy struct {
	// Placement selects how an upstream is chosen. Packing takes the tightest
	// fit. Spreading takes the rack and then the upstream with the fewest tasks of
	// the job, and among equals the emptiest upstream.
	Placement cawork.Placement
	// QueueBound is the maximum number of queued tasks of a team.
	QueueBound int
	// UrgentHeadroom is how many urgent tasks may queue beyond QueueBound.
	UrgentHeadroom int
	// WaitBound is the longest predicted wait at which a job that is not urgent
	// is accepted into the queue. Zero sets no bound.
	WaitBound time.Duration
	// RefuseLate also bounds the predicted wait by the deadline of the job.
	RefuseLate bool
	// MaxAttempts limits the attempts of a task that keeps failing.
	MaxAttempts int
	// Aging is the wait after which a queued job precedes newly accepted jobs of
	// its team, unless these are due earlier.
	Aging time.Duration
	// UrgentLead moves the due time of an urgent job forward: the job is treated
	// as if it had been accepted that much earlier.
	UrgentLead time.Duration
	// ReserveAfter is the wait after which a blocked job gets a reservation.
	ReserveAfter time.Duration
	// ReserveBound is the longest time that a reservation is kept.
	ReserveBound time.Duration
	// PreemptAfter is the wait after which a blocked job of a team below its share
	// preempts tasks of teams above theirs. Zero disables preemption, also for
	// urgent jobs.
	PreemptAfter time.Duration
	// UrgentPreemptAfter is the corresponding wait of urgent jobs, which may also
	// preempt other work of their own team.
	UrgentPreemptAfter time.Duration
	// Slots and Connections are what each task occupies on its upstream.
	Slots       int
	Connections int
}

// Policy is the immutable configuration of the scheduling core.
type Policy struct {
	// Backfill lets tasks that are expected to end in time use the capacity that
	// is being collected for a reservation.
	Backfill bool
	// CorrectSizes and CorrectRunTimes adjust declared sizes and run times by
	// observed usage.
	CorrectSizes    bool
	CorrectRunTimes bool
	// EjectFraction is the largest fraction of the upstreams that may be ejected
	// at a time.
	EjectFraction float64
	// PreemptGrace is the time that a preempted task has to save its progress
	// before it is stopped.
	PreemptGrace time.Duration

	teams map[cawork.TeamName]TeamPolicy
	kinds [kindCount]KindPolicy
}

const kindCount = int(cawork.WorkKindGang) + 1

// DefaultPolicy returns a policy without teams.
func DefaultPolicy() Policy {
	base := KindPolicy{
		QueueBound: 10_000, UrgentHeadroom: 1_000, MaxAttempts: 3,
		Aging: 10 * time.Minute, UrgentLead: 24 * time.Hour,
		ReserveAfter: 30 * time.Second, ReserveBound: 30 * time.Minute,
		PreemptAfter: 10 * time.Second, UrgentPreemptAfter: 0,
	}
	p := Policy{
		Backfill: true, CorrectSizes: true, CorrectRunTimes: true,
		EjectFraction: 0.1, PreemptGrace: 20 * time.Second,
	}
	for k := range p.kinds {
		p.kinds[k] = base
	}
	p.kinds[cawork.WorkKindService].Placement = cawork.PlacementSpread
	p.kinds[cawork.WorkKindService].Aging = time.Minute
	p.kinds[cawork.WorkKindLookup].Placement = cawork.PlacementSpread
	p.kinds[cawork.WorkKindLookup].Aging = time.Second
	p.kinds[cawork.WorkKindLookup].Slots = 1
	p.kinds[cawork.WorkKindLookup].Connections = 1
	return p
}

// WithTeam returns a copy with the policy of the team added or replaced.
func (p Policy) WithTeam(name cawork.TeamName, t TeamPolicy) Policy {
	teams := make(map[cawork.TeamName]TeamPolicy, len(p.teams)+1)
	maps.Copy(teams, p.teams)
	teams[name] = t
	p.teams = teams
	return p
}

// WithoutTeam returns a copy without the team.
func (p Policy) WithoutTeam(name cawork.TeamName) Policy {
	teams := maps.Clone(p.teams)
	delete(teams, name)
	p.teams = teams
	return p
}

// WithKind returns a copy with the policy for the kind of work replaced.
func (p Policy) WithKind(k cawork.WorkKind, kp KindPolicy) Policy {
	p.kinds[k] = kp
	return p
}

// WithBackfill returns a copy with backfill enabled or disabled.
func (p Policy) WithBackfill(on bool) Policy {
	p.Backfill = on
	return p
}

// WithCorrection returns a copy with the correction of declared sizes and run
// times enabled or disabled.
func (p Policy) WithCorrection(on bool) Policy {
	p.CorrectSizes, p.CorrectRunTimes = on, on
	return p
}

// Team returns the policy of the team, and whether there is one.
func (p Policy) Team(name cawork.TeamName) (TeamPolicy, bool) {
	t, ok := p.teams[name]
	return t, ok
}

// Weight returns the weight of the team, at least 1.
func (p Policy) Weight(name cawork.TeamName) int { return max(1, p.teams[name].Weight) }

// Kind returns the policy for the kind of work.
func (p Policy) Kind(k cawork.WorkKind) KindPolicy { return p.kinds[k] }
