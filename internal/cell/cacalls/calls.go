// Package cacalls keeps the calls to an upstream that have no answer. A call names an upstream and not its
// incarnation, so that one without an answer may be carried out seconds after it was sent, also by a later
// incarnation.
package cacalls

import (
	"maps"
	"time"
)

// MaxDelay is how long after it was sent a call without an answer may still take effect.
const MaxDelay = 15 * time.Second

// Call is a call that changes something at its upstream.
type Call struct {
	SentAt time.Time
	// StoredEnd is the number of the stored end that the call acknowledges, or zero, and Extends is set if it
	// carries the end of a lease.
	StoredEnd int64
	Extends   bool
}

// Calls are the calls to an upstream that may still be carried out, by their numbers.
type Calls struct {
	// last is the number of the last call, and lastEarlier that of the last one to an earlier incarnation.
	last, lastEarlier int64
	sent              map[int64]Call
}

// Add adds a call and returns its number.
func (c *Calls) Add(call Call) int64 {
	c.last++
	if c.sent == nil {
		c.sent = make(map[int64]Call)
	}
	c.sent[c.last] = call
	return c.last
}

// Remove removes a call that can not be carried out later.
func (c *Calls) Remove(number int64) { delete(c.sent, number) }

// Prune removes the calls that are too old to be carried out.
func (c *Calls) Prune(now time.Time) {
	for number, call := range c.sent {
		if now.Sub(call.SentAt) > MaxDelay {
			delete(c.sent, number)
		}
	}
}

// HasEarlier reports whether there are calls to earlier incarnations.
func (c *Calls) HasEarlier() bool {
	for number := range c.sent {
		if number <= c.lastEarlier {
			return true
		}
	}
	return false
}

// RemoveEarlier removes the calls to earlier incarnations.
func (c *Calls) RemoveEarlier() {
	maps.DeleteFunc(c.sent, func(number int64, _ Call) bool { return number <= c.lastEarlier })
}

// BeginIncarnation records that all calls so far were sent to earlier incarnations.
func (c *Calls) BeginIncarnation(now time.Time) {
	c.Prune(now)
	c.lastEarlier = c.last
}

// LastAcknowledgement returns when the last of the calls to earlier incarnations was sent that
// acknowledges ends, zero without one.
func (c *Calls) LastAcknowledgement() time.Time {
	return c.lastEarlierOf(func(call Call) bool { return call.StoredEnd > 0 })
}

// LastExtension returns when the last of these calls was sent that extends a lease, zero without one.
func (c *Calls) LastExtension() time.Time {
	return c.lastEarlierOf(func(call Call) bool { return call.Extends })
}

func (c *Calls) lastEarlierOf(matches func(Call) bool) time.Time {
	var last time.Time
	for number, call := range c.sent {
		if number <= c.lastEarlier && matches(call) && call.SentAt.After(last) {
			last = call.SentAt
		}
	}
	return last
}

// Len returns the number of calls without an answer.
func (c *Calls) Len() int { return len(c.sent) }

// IsEarlier reports whether the call with the number was sent to an earlier incarnation.
func (c *Calls) IsEarlier(number int64) bool { return number <= c.lastEarlier }

// Find returns the call with the number, if it has no answer.
func (c *Calls) Find(number int64) (Call, bool) {
	call, ok := c.sent[number]
	return call, ok
}
