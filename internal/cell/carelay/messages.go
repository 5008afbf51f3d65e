// Package carelay lets the leader of many upstreams reach them through other
// entries, its agents, so that neither the CPU nor the network link of the leader
// limits the size of a shard. All decisions stay with the leader: an agent only
// executes its orders, with its fencing token, and returns their outcomes.
package carelay

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// The calls between a leader and an agent.
const (
	callDeliver = "relay.deliver"
	callCollect = "relay.collect"
)

// order is a call to an upstream that an agent makes. One of Start, Stop and Renew
// is set.
type order struct {
	ID    uint64              `cbor:"1,keyasint"`
	Start *caorder.StartOrder `cbor:"2,keyasint,omitempty"`
	Stop  *caorder.StopOrder  `cbor:"3,keyasint,omitempty"`
	Renew *renewal            `cbor:"4,keyasint,omitempty"`
	// Timeout bounds the call to the upstream.
	Timeout time.Duration `cbor:"5,keyasint"`
}

// isDeferrable reports whether the order is a renewal that waits at the upstream
// anyway or extends a lease long before its end, so that its delivery can be delayed.
func (o order) isDeferrable() bool {
	return o.Renew != nil && (o.Renew.Wait > 0 || o.Renew.Lease.EndMS > 0)
}

// renewal renews the lease of an upstream, which waits up to Wait for a run to end
// before it answers.
type renewal struct {
	Lease caorder.Lease `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint"`
}

// outcome is the result of the call that an order asked for.
type outcome struct {
	ID uint64 `cbor:"1,keyasint"`
	// Started and ClockMS are the results of a start.
	Started caorder.StartOutcome `cbor:"2,keyasint,omitempty"`
	ClockMS int64                `cbor:"3,keyasint,omitempty"`
	// Report is the result of a renewal. The leader sets its times on its own
	// clock.
	Report *caorder.Report `cbor:"4,keyasint,omitempty"`
	// Failure is set when a stop or a renewal failed.
	Failure *failure `cbor:"5,keyasint,omitempty"`
}

// failure is the encoding of an error.
type failure struct {
	Kind cakind.Kind `cbor:"1,keyasint"`
	Text string      `cbor:"2,keyasint"`
}

func newFailure(err error) *failure {
	if err == nil {
		return nil
	}
	return &failure{Kind: cakind.Of(err), Text: err.Error()}
}

func (f *failure) err() error {
	if f == nil {
		return nil
	}
	return cakind.New(f.Kind, "%s", f.Text)
}

// deliverRequest delivers orders to an agent.
type deliverRequest struct {
	Session sessionID `cbor:"1,keyasint"`
	Orders  []order   `cbor:"2,keyasint"`
}

// sessionID identifies the sequence of orders from one leader to one agent.
type sessionID struct {
	Leader cawork.VMID `cbor:"1,keyasint"`
	// Token is the fencing token that all orders of the session carry.
	Token int64 `cbor:"2,keyasint"`
	// Number distinguishes sessions of the same leader.
	Number int64 `cbor:"3,keyasint"`
}

// collectRequest asks for outcomes and acknowledges those received.
type collectRequest struct {
	Session sessionID `cbor:"1,keyasint"`
	// After is the number of the last outcome received, and Epoch the epoch of the
	// agent's session that it came from.
	After int64 `cbor:"2,keyasint,omitempty"`
	Epoch int64 `cbor:"4,keyasint,omitempty"`
	// Wait is how long the agent waits for an outcome before it replies.
	Wait time.Duration `cbor:"3,keyasint"`
}

// collectReply carries outcomes with consecutive numbers up to Last.
type collectReply struct {
	Outcomes []outcome `cbor:"1,keyasint,omitempty"`
	Last     int64     `cbor:"2,keyasint,omitempty"`
	// UnknownSession is set when the agent has no such session.
	UnknownSession bool `cbor:"3,keyasint,omitempty"`
	// Epoch is the epoch of the agent's session. It changes if the agent has
	// closed the session and opened it again.
	Epoch int64 `cbor:"4,keyasint,omitempty"`
}

type empty struct{}
