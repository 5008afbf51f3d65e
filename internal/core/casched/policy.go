// Package casched states the contract of the decision core of one entry: the
// policy that it follows, what it is told, what it answers and the records of
// its decisions. Package cadecide implements it, package canaive gives the
// naive version for differential tests.
package casched

import (
	"maps"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// NoLimit is the amount in a dimension of a limit that bounds nothing. A zero
// in a dimension means that none of it may be used.
const NoLimit = 1 << 60

// Unlimited returns a limit that bounds no dimension.
func Unlimited() cawork.Resources {
	return cawork.Resources{CPU: NoLimit, Memory: NoLimit, Accelerators: NoLimit}
}

// TeamPolicy is what the configuration says about a team.
type TeamPolicy struct {
	// Weight is the share of the team in proportion to the other weights.
	Weight int
	// Limit is the most that the team may run over the whole fleet.
	Limit cawork.Resources
}

// KindPolicy is what the configuration says about a kind of work.
type KindPolicy struct {
	// Placement tells how an upstream is chosen. To pack takes the tightest fit,
	// to spread the rack and the upstream with the fewest tasks of the job, then
	// the emptiest one.
	Placement cawork.Placement
	// QueueBound is the most queued tasks of a team.
	QueueBound int
	// UrgentHeadroom is how many urgent tasks may queue beyond QueueBound.
	UrgentHeadroom int
	// WaitBound is the longest predicted wait with which a job that is not urgent
	// is queued. Zero sets no bound.
	WaitBound time.Duration
	// RefuseLate bounds the predicted wait by the deadline of the job too.
	RefuseLate bool
	// MaxAttempts bounds the attempts of a task that keeps failing.
	MaxAttempts int
	// Aging is the time after which a queued job goes before newly accepted
	// jobs of its team that are due later.
	Aging time.Duration
	// UrgentLead is how much earlier than its acceptance an urgent job counts
	// as accepted.
	UrgentLead time.Duration
	// ReserveAfter is the wait after which a blocked job gets a reservation.
	ReserveAfter time.Duration
	// ReserveBound is the longest time that a reservation is kept up.
	ReserveBound time.Duration
	// PreemptAfter is the wait after which a blocked job below the share of its
	// team takes room from teams above theirs. Zero turns it off.
	PreemptAfter time.Duration
	// UrgentPreemptAfter is the same for urgent jobs, which also take room from
	// other work of their own team.
	UrgentPreemptAfter time.Duration
	// Slots and Connections are what each task takes of an upstream.
	Slots       int
	Connections int
}

// Policy is the policy of the core. It is immutable.
type Policy struct {
	// Backfill lets short work run in the room that a reservation waits for.
	Backfill bool
	// CorrectSizes and CorrectRunTimes let observed usage correct declarations.
	CorrectSizes    bool
	CorrectRunTimes bool
	// EjectFraction bounds the part of the upstreams that may be ejected.
	EjectFraction float64
	// PreemptGrace is the time that a task has to save its progress before it
	// is stopped.
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

// WithTeam returns a copy that has the team.
func (p Policy) WithTeam(name cawork.TeamName, t TeamPolicy) Policy {
	teams := make(map[cawork.TeamName]TeamPolicy, len(p.teams)+1)
	maps.Copy(teams, p.teams)
	teams[name] = t
	p.teams = teams
	return p
}

// WithoutTeam returns a copy that lacks the team.
func (p Policy) WithoutTeam(name cawork.TeamName) Policy {
	teams := maps.Clone(p.teams)
	delete(teams, name)
	p.teams = teams
	return p
}

// WithKind returns a copy that has the policy for the kind of work.
func (p Policy) WithKind(k cawork.WorkKind, kp KindPolicy) Policy {
	p.kinds[k] = kp
	return p
}

// WithBackfill returns a copy that allows backfill or not.
func (p Policy) WithBackfill(on bool) Policy {
	p.Backfill = on
	return p
}

// WithCorrection returns a copy that corrects declarations or not.
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
