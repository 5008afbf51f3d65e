// Package caowner keeps the ownership of the upstreams of a zone.
//
// Each upstream is owned by at most one entry, which holds a lease with an
// epoch that the agent of the upstream grants. The desired owner of an upstream
// follows from rendezvous hashing over the live entries of the zone; an owner
// that is not desired any more releases, the desired one claims. State is a
// pure core; Part runs it over the agents.
package caowner

import "time"

// Config holds the settings of a State.
type Config struct {
	// TTL is the time for which a claim or heartbeat grants ownership.
	TTL time.Duration
	// TaskTTL is the time for which a heartbeat renews the leases of tasks.
	TaskTTL time.Duration
	// Period is the time between two heartbeats to an upstream.
	Period time.Duration
	// CallTimeout bounds one call to an agent.
	CallTimeout time.Duration
	// Margin is the time by which the owner takes its lease for ended before
	// the agent does, besides the permitted drift.
	Margin time.Duration
	// MaxDrift is the permitted difference between the rates of two clocks, as
	// a fraction.
	MaxDrift float64
	// Settle is the time for which an entry must be live before others hand
	// upstreams over to it, and before it claims any itself.
	Settle time.Duration
	// ClaimRetry is the time between two claims while another entry holds the
	// lease.
	ClaimRetry time.Duration
	// CallRetry is the first pause after a failed call, MaxRetry the longest.
	CallRetry time.Duration
	MaxRetry  time.Duration
	// UnreachableAfter is the time of failing calls after which the entry
	// leaves an upstream to others, UnreachableProbe the time between two
	// checks whether it answers again.
	UnreachableAfter time.Duration
	UnreachableProbe time.Duration
	// LateDelivery bounds the time between the sending of a call and its arrival
	// at the agent.
	LateDelivery time.Duration
	// Concurrency bounds the open calls; claims and probes may take half.
	Concurrency int
	// MaxUnreachable bounds the list of unreachable upstreams told to others.
	MaxUnreachable int
}

// DefaultConfig returns the settings for up to a thousand upstreams.
func DefaultConfig() Config {
	return Config{
		TTL:              3 * time.Second,
		TaskTTL:          10 * time.Second,
		Period:           time.Second,
		CallTimeout:      700 * time.Millisecond,
		Margin:           200 * time.Millisecond,
		MaxDrift:         0.02,
		Settle:           2 * time.Second,
		ClaimRetry:       300 * time.Millisecond,
		CallRetry:        100 * time.Millisecond,
		MaxRetry:         5 * time.Second,
		UnreachableAfter: 4 * time.Second,
		UnreachableProbe: 3 * time.Second,
		LateDelivery:     30 * time.Second,
		Concurrency:      64,
		MaxUnreachable:   16,
	}
}

// validFor returns how long an owner trusts a lease after it sent the call
// that granted it. The agent's clock may run fast by the permitted drift, and
// ours slow by as much:
//
//	TTL 3 s, drift 2 %, margin 200 ms: 3 s / 1.04 - 200 ms = 2.68 s
func (c Config) validFor() time.Duration {
	return time.Duration(float64(c.TTL)/(1+2*c.MaxDrift)) - c.Margin
}

// TasksLapseAfter returns the silence after which no task runs on an upstream,
// when none of the entries that may own it had a longer contact. After its last
// answer an owner sends heartbeats and starts until its trust ends; the last of
// them arrives late, renews the leases of all tasks and lets a start in for one
// more ownership lease. The clocks of agent and owner may differ both ways:
//
//	(2.68 s trust + 30 s late + 3 s TTL + 10 s task TTL) x 1.04 = 47.5 s
func (c Config) TasksLapseAfter() time.Duration {
	latest := c.validFor() + c.LateDelivery + c.TTL + c.TaskTTL
	return time.Duration(float64(latest) * (1 + 2*c.MaxDrift))
}
