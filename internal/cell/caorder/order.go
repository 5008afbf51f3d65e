// Package caorder defines the calls that a leader makes to upstreams and to the advisor, and their answers.
package caorder

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// StartOrder holds the parameters of a call that starts a run at an upstream.
type StartOrder struct {
	Run        RunID             `cbor:"1,keyasint,omitempty"`
	Upstream   cawork.UpstreamID `cbor:"2,keyasint,omitempty"`
	Address    string            `cbor:"3,keyasint,omitempty"`
	Born       int64             `cbor:"4,keyasint,omitempty"`
	Payload    string            `cbor:"5,keyasint,omitempty"`
	Checkpoint string            `cbor:"6,keyasint,omitempty"`
	Ticket     string            `cbor:"7,keyasint,omitempty"`
	// LeaseEndMS is the end of the lease on the clock of the upstream, or zero while that clock
	// is not known.
	LeaseEndMS int64 `cbor:"8,keyasint,omitempty"`
	// Call is the number of the call at the leader.
	Call int64 `cbor:"-"`
	// Token is the fencing token, or zero for that of the leader.
	Token int64 `cbor:"-"`
}

// StopOrder holds the parameters of a call that stops a run at an upstream.
type StopOrder struct {
	Run      RunID             `cbor:"1,keyasint,omitempty"`
	Upstream cawork.UpstreamID `cbor:"2,keyasint,omitempty"`
	Address  string            `cbor:"3,keyasint,omitempty"`
	Born     int64             `cbor:"4,keyasint,omitempty"`
	// ToSilent is set if the upstream does not answer. The stop is repeated until it does.
	ToSilent bool `cbor:"-"`
	// Token is the fencing token, or zero for that of the leader.
	Token int64 `cbor:"-"`
}

// ApprovalRequest asks the advisor which of the upstreams may run the step.
type ApprovalRequest struct {
	Job        cawork.JobID        `cbor:"1,keyasint,omitempty"`
	Occurrence int                 `cbor:"2,keyasint,omitempty"`
	Step       int                 `cbor:"3,keyasint,omitempty"`
	Upstreams  []cawork.UpstreamID `cbor:"4,keyasint,omitempty"`
	// Incarnations are those of the upstreams. They stay with the leader.
	Incarnations []int64 `cbor:"-"`
	// Cost is how long the advisor is expected to take.
	Cost time.Duration `cbor:"5,keyasint,omitempty"`
	// Long requests are sent through some of the entries only, so that short ones do not
	// queue behind them at the others.
	Long bool `cbor:"6,keyasint,omitempty"`
}

// Approval permits an upstream to run a step.
type Approval struct {
	Upstream cawork.UpstreamID `cbor:"1,keyasint"`
	Ticket   string            `cbor:"2,keyasint"`
}

// Orders are the calls to send now.
type Orders struct {
	Stops            []StopOrder
	ApprovalRequests []ApprovalRequest
	// Probes are the upstreams to request a report from at once.
	Probes []cawork.UpstreamID
}

// Report lists the runs of an upstream.
type Report struct {
	Upstream cawork.UpstreamID `cbor:"1,keyasint,omitempty"`
	Born     int64             `cbor:"2,keyasint,omitempty"`
	// SentAt and ReceivedAt are the times of the call and its answer, on the clock of the
	// leader. They are not encoded.
	SentAt     time.Time `cbor:"-"`
	ReceivedAt time.Time `cbor:"-"`
	// Call is the number of the answered call at the leader, and Token its fencing token, or zero for that of
	// the leader.
	Call  int64 `cbor:"-"`
	Token int64 `cbor:"-"`
	// ClockMS is the reading of the upstream's clock.
	ClockMS int64        `cbor:"5,keyasint,omitempty"`
	Running []RunningRun `cbor:"6,keyasint,omitempty"`
	Ended   []EndedRun   `cbor:"7,keyasint,omitempty"`
	// Partial is set when some rows could not be decoded. Runs that the others do not list
	// may be running.
	Partial bool `cbor:"8,keyasint,omitempty"`
}

// RunningRun is a run that is present at an upstream.
type RunningRun struct {
	Run        RunID  `cbor:"1,keyasint,omitempty"`
	Checkpoint string `cbor:"2,keyasint,omitempty"`
	Percent    int    `cbor:"3,keyasint,omitempty"`
	Load       int    `cbor:"4,keyasint,omitempty"`
}

// EndedRun is a run that ended at an upstream. Each incarnation numbers its ends from 1.
type EndedRun struct {
	Number     int64  `cbor:"1,keyasint,omitempty"`
	Run        RunID  `cbor:"2,keyasint,omitempty"`
	Ending     Ending `cbor:"3,keyasint,omitempty"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// Lease holds the parameters of a call that renews the lease of an upstream.
type Lease struct {
	Upstream cawork.UpstreamID `cbor:"1,keyasint,omitempty"`
	Address  string            `cbor:"2,keyasint,omitempty"`
	Born     int64             `cbor:"3,keyasint,omitempty"`
	// EndMS is the new end of the lease on the clock of the upstream. It is zero while
	// that clock is not known, and in other calls that do not extend the lease.
	EndMS int64 `cbor:"4,keyasint,omitempty"`
	// StoredEnd is the number of the last end that is stored. The upstream may discard the
	// ends up to it.
	StoredEnd int64 `cbor:"5,keyasint,omitempty"`
	// Call is the number of the call at the leader, or zero if it changes nothing at the upstream.
	Call int64 `cbor:"-"`
	// Token is the fencing token, or zero for that of the leader.
	Token int64 `cbor:"-"`
}
