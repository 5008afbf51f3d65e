// Package caowner manages which entry owns each upstream of a zone.
//
// At most one entry owns an upstream. It holds a lease with an epoch (fencing
// token), granted by the agent on the upstream. Rendezvous hashing over the
// live entries of the zone determines the desired owner of each upstream. An
// owner that is no longer the desired one releases the upstream, and the desired
// owner claims it. State is the state machine without I/O; Runner runs it against
// the agents.
package caowner

import "time"

// Config holds the settings of a State.
type Config struct {
	// TTL is the duration of the ownership lease, which claims and heartbeats
	// request.
	TTL time.Duration
	// TaskTTL is the duration for which a heartbeat renews the leases of tasks.
	TaskTTL time.Duration
	// Period is the interval between heartbeats to an upstream.
	Period time.Duration
	// CallTimeout bounds one call to an agent.
	CallTimeout time.Duration
	// Margin is the time before the end of the lease at the agent when the owner
	// stops using it, in addition to the permitted clock drift.
	Margin time.Duration
	// MaxDrift is the permitted deviation of a clock's rate, as a fraction.
	MaxDrift float64
	// Settle is the time for which an entry must be live before it claims
	// upstreams and before others release upstreams to it.
	Settle time.Duration
	// ClaimRetry is the longest interval between claims while another entry
	// holds the lease.
	ClaimRetry time.Duration
	// CallRetry is the initial backoff after a failed call, MaxRetry the
	// longest.
	CallRetry time.Duration
	MaxRetry  time.Duration
	// UnreachableAfter is the time of continuous failures after which an
	// upstream without a lease counts as unreachable. UnreachableProbe is the
	// interval between the calls that then check whether it answers again.
	UnreachableAfter time.Duration
	UnreachableProbe time.Duration
	// LateDelivery is the longest time that a call may take to reach the agent.
	LateDelivery time.Duration
	// Concurrency bounds the open calls; claims and probes may take half.
	Concurrency int
	// MaxUnreachable is the longest list of unreachable upstreams that is sent
	// to other entries. AllUpstreams replaces a longer one.
	MaxUnreachable int
}

// DefaultConfig returns settings for up to a thousand upstreams.
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

// validFor returns how long an owner trusts a lease after sending the call that
// granted it. The agent's clock may run fast by MaxDrift and the owner's clock
// slow by as much:
//
//	TTL 3 s, drift 2 %, margin 200 ms: 3 s / 1.04 - 200 ms = 2.68 s
func (c Config) validFor() time.Duration {
	return time.Duration(float64(c.TTL)/(1+2*c.MaxDrift)) - c.Margin
}

// TasksLapseAfter returns the time after which no task runs on an upstream that
// has answered none of its possible owners for that long. After its last answer
// an owner sends heartbeats and starts until its lease ends. The last heartbeat
// may arrive late and renew the ownership lease and the leases of all tasks, so
// that a start is still accepted for one more ownership lease. Either clock,
// the agent's or the owner's, may run fast or slow:
//
//	(2.68 s lease + 30 s late + 3 s TTL + 10 s task TTL) x 1.04 = 47.5 s
func (c Config) TasksLapseAfter() time.Duration {
	latest := c.validFor() + c.LateDelivery + c.TTL + c.TaskTTL
	return time.Duration(float64(latest) * (1 + 2*c.MaxDrift))
}
