package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// A call names an upstream and not its incarnation. One without an answer may be carried out seconds
// after it was sent, also by a later incarnation, whose ends and whose clock count anew.

// sentCall is a call that changes something at its upstream.
type sentCall struct {
	sentAt time.Time
	// acknowledges is set if the call carries the number of a stored end, and extends if it carries the
	// end of a lease.
	acknowledges, extends bool
}

// unansweredCalls are the calls to an upstream that may still be carried out, by their numbers.
type unansweredCalls struct {
	last int64
	sent map[int64]sentCall
}

// add adds a call and returns its number.
func (c *unansweredCalls) add(call sentCall) int64 {
	c.last++
	if c.sent == nil {
		c.sent = make(map[int64]sentCall)
	}
	c.sent[c.last] = call
	return c.last
}

// remove removes a call that can not be carried out later.
func (c *unansweredCalls) remove(number int64) { delete(c.sent, number) }

// prune removes the calls that are too old to be carried out.
func (c *unansweredCalls) prune(now time.Time) {
	for number, call := range c.sent {
		if now.Sub(call.sentAt) > maxCallDelay {
			delete(c.sent, number)
		}
	}
}

// lastAcknowledgement returns when the last of the calls was sent that acknowledges ends, zero
// without one.
func (c *unansweredCalls) lastAcknowledgement() time.Time {
	return c.lastOf(func(call sentCall) bool { return call.acknowledges })
}

// lastExtension returns when the last of the calls was sent that extends a lease, zero without one.
func (c *unansweredCalls) lastExtension() time.Time {
	return c.lastOf(func(call sentCall) bool { return call.extends })
}

func (c *unansweredCalls) lastOf(matches func(sentCall) bool) time.Time {
	var last time.Time
	for _, call := range c.sent {
		if matches(call) && call.sentAt.After(last) {
			last = call.sentAt
		}
	}
	return last
}

// MarkCallEnded records that a call to an upstream was answered or never sent, so that it can not be
// carried out later. Zero is no call.
func (b *Planner) MarkCallEnded(id cawork.UpstreamID, number int64) {
	if u, ok := b.upstreams[id]; ok {
		u.calls.remove(number)
	}
}
