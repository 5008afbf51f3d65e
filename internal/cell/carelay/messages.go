// Package carelay lets the leader of many upstreams reach them through other
// entries, so that neither its processor nor its link bounds the size of a
// shard. The leader keeps all decisions: an agent carries orders out as they
// are, under the fencing token of the leader, and returns what came of them.
package carelay

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
)

// The calls between a leader and an agent.
const (
	callDeliver = "relay.deliver"
	callCollect = "relay.collect"
)

// order is what an agent is to do. One of Start, Stop and Renew is set.
type order struct {
	ID    uint64              `cbor:"1,keyasint"`
	Start *caboard.StartOrder `cbor:"2,keyasint,omitempty"`
	Stop  *caboard.StopOrder  `cbor:"3,keyasint,omitempty"`
	Renew *renewal            `cbor:"4,keyasint,omitempty"`
	// Timeout bounds the call to the upstream.
	Timeout time.Duration `cbor:"5,keyasint"`
}

// mayWait reports whether the order is a renewal that waits at the upstream
// anyhow.
func (o order) mayWait() bool { return o.Renew != nil && o.Renew.Wait > 0 }

// renewal renews the lease of an upstream and waits there for a run to end.
type renewal struct {
	Lease caboard.Lease `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint"`
}

// outcome is what came of an order.
type outcome struct {
	ID uint64 `cbor:"1,keyasint"`
	// Started and ClockMS answer a start.
	Started caboard.StartOutcome `cbor:"2,keyasint,omitempty"`
	ClockMS int64                `cbor:"3,keyasint,omitempty"`
	// Report answers a renewal. Its times are those of the leader, set there.
	Report *caboard.Report `cbor:"4,keyasint,omitempty"`
	// Failure is set when a stop or a renewal failed.
	Failure *failure `cbor:"5,keyasint,omitempty"`
}

// failure is an error on its way between entries.
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

// deliverRequest hands orders over.
type deliverRequest struct {
	Session session `cbor:"1,keyasint"`
	Orders  []order `cbor:"2,keyasint"`
}

// session names the orders of one leader to one agent.
type session struct {
	Leader cawork.VMID `cbor:"1,keyasint"`
	// Token is the fencing token that all orders of the session carry.
	Token int64 `cbor:"2,keyasint"`
	// Number tells sessions of one leader apart.
	Number int64 `cbor:"3,keyasint"`
}

// collectRequest asks for outcomes, and tells which ones have arrived.
type collectRequest struct {
	Session session `cbor:"1,keyasint"`
	// After is the number of the last outcome that arrived, in the life of the
	// agent's side of the session that it came from.
	After int64 `cbor:"2,keyasint,omitempty"`
	Life  int64 `cbor:"4,keyasint,omitempty"`
	// Wait is how long to wait for an outcome.
	Wait time.Duration `cbor:"3,keyasint"`
}

// collectReply carries outcomes, numbered in a row up to Last.
type collectReply struct {
	Outcomes []outcome `cbor:"1,keyasint,omitempty"`
	Last     int64     `cbor:"2,keyasint,omitempty"`
	// Lost is set when the agent does not know the session.
	Lost bool `cbor:"3,keyasint,omitempty"`
	// Life tells apart the lives of the agent's side of the session.
	Life int64 `cbor:"4,keyasint,omitempty"`
}

type empty struct{}
