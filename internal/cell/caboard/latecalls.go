package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cacalls"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// A call names an upstream and not its incarnation. One without an answer may be carried out seconds
// after it was sent, also by a later incarnation, whose ends and whose clock count anew.

// MarkCallEnded records that a call to an upstream was answered or never sent, so that it can not be
// carried out later. Zero is no call.
func (b *Planner) MarkCallEnded(id cawork.UpstreamID, number int64) {
	if u, ok := b.upstreams[id]; ok {
		u.endCall(number)
	}
}

// endCall removes a call that can not be carried out later.
func (u *upstream) endCall(number int64) {
	if number == 0 {
		return
	}
	u.calls.Remove(number)
	if u.calls.IsEarlier(number) {
		u.updateForgetting()
	}
}

// updateForgetting determines until when the upstream may forget ends of its runs that nobody has
// seen, since a call to an earlier incarnation acknowledges ends by their numbers.
func (u *upstream) updateForgetting() {
	u.mayForgetUntil = time.Time{}
	if last := u.calls.LastAcknowledgement(); !last.IsZero() {
		u.mayForgetUntil = last.Add(cacalls.MaxDelay)
	}
}

// keptCalls are the calls to an upstream that is not known any more, up to its last incarnation.
type keptCalls struct {
	incarnation int64
	calls       cacalls.Calls
}

// keepCalls keeps the calls to an upstream that is dropped: it may be listed again, in a later incarnation.
func (b *Planner) keepCalls(u *upstream) {
	u.calls.Prune(b.now.Monotonic)
	if u.calls.Len() > 0 {
		b.keptCalls[u.info.ID] = keptCalls{incarnation: u.info.Incarnation, calls: u.calls}
	}
}

// takeCalls returns the kept calls to an upstream to it.
func (b *Planner) takeCalls(u *upstream) {
	kept, ok := b.keptCalls[u.info.ID]
	if !ok {
		return
	}
	delete(b.keptCalls, u.info.ID)
	u.calls = kept.calls
	if u.info.Incarnation != kept.incarnation {
		u.calls.BeginIncarnation(b.now.Monotonic)
	}
	b.countEarlierCalls(u)
}

// countEarlierCalls applies what calls to earlier incarnations may still do at an upstream, and what they
// may have granted to an incarnation that it has just started. Its clock begins anew, so that the leases
// in them end far ahead.
func (b *Planner) countEarlierCalls(u *upstream) {
	u.updateForgetting()
	u.extendLease(b.now.Monotonic, maxLease)
	if last := u.calls.LastExtension(); !last.IsZero() {
		u.extendLease(last.Add(cacalls.MaxDelay), maxLease)
	}
}

const (
	// settledAge is the age from which an incarnation holds no lease that a call to an earlier one granted.
	// Such a call was sent soon after its birth at the latest: after one without an answer no other extends
	// a lease.
	settledAge = cacalls.MaxDelay + maxLease + 20*time.Second
	// formerCallsTime is how long after a change of the leader such a lease may be in force that a call of a
	// former leader granted. A leader sends none once its claim is a few seconds old.
	formerCallsTime = cacalls.MaxDelay + maxLease + 5*time.Second
)

// applyFirstAnswer applies that an incarnation has answered a call with the fencing token of this leader. Until then
// it carried out the calls of former leaders as well, who may not have known of it: theirs count the longest
// lease.
func (b *Planner) applyFirstAnswer(u *upstream, report caorder.Report) {
	u.fenced = true
	if b.timeLeading() < formerCallsTime && b.ageOf(report) < settledAge {
		u.extendLease(b.now.Monotonic, maxLease)
	}
}

// timeLeading returns how long ago the leader took over.
func (b *Planner) timeLeading() time.Duration {
	return b.now.Monotonic.Sub(b.silence.leadingSince)
}

// ageOf returns how long the incarnation that reports has existed at least, by its clock, which began with it,
// and by the time of day.
func (b *Planner) ageOf(report caorder.Report) time.Duration {
	return time.Duration(min(report.ClockMS, b.now.WallMS-report.Born)) * time.Millisecond
}

// endLeaseOfGone drops what calls to earlier incarnations may have granted to one that is gone. What they may grant to
// a later one counts once it begins.
func (u *upstream) endLeaseOfGone(now time.Time) {
	if end := now.Add(longestLease(LeaseDuration)); u.leaseExpires.After(end) {
		u.leaseExpires = end
	}
}

// maxAcknowledgementDelay is how long acknowledgements are put off at most while starts have no answer.
const maxAcknowledgementDelay = time.Second

// endToAcknowledge returns the number of the last stored end that a renewal acknowledges, or zero if it is to
// acknowledge none: a later incarnation that may carry out a call that does gets no work for long. One that may
// answer already numbers its ends from 1 again, and a start without an answer may have crashed the upstream.
func (b *Planner) endToAcknowledge(u *upstream) int64 {
	waits := b.now.Monotonic.Sub(u.acknowledgedAt) < maxAcknowledgementDelay && u.mayBeStarting()
	if u.renewalUnanswered || u.storedEnd <= u.answeredEnd || waits {
		return 0
	}
	return u.storedEnd
}

// mayBeStarting reports whether a start call to the upstream has no answer yet and the run was not reported.
func (u *upstream) mayBeStarting() bool {
	for _, r := range u.runs {
		if r.mayStillStart() {
			return true
		}
	}
	return false
}

// applyAnswer applies that the present incarnation has answered a call.
func (u *upstream) applyAnswer(number int64) {
	if call, ok := u.calls.Find(number); ok && !u.calls.IsEarlier(number) {
		u.answeredEnd = max(u.answeredEnd, call.StoredEnd)
	}
}

// pruneCalls removes the calls that are too old to be carried out.
func (b *Planner) pruneCalls() {
	for _, u := range b.sortedUpstreams {
		u.calls.Prune(b.now.Monotonic)
	}
	for id, kept := range b.keptCalls {
		kept.calls.Prune(b.now.Monotonic)
		if kept.calls.Len() == 0 {
			delete(b.keptCalls, id)
		}
	}
}
