package caboard

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cacalls"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// declareLost ends a run whose end was not reported.
func (b *Planner) declareLost(r *run, cause string) {
	caevent.Warn(b.log, caevent.TaskLapsed).Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).
		Int("run", r.id.Number).Str("upstream", string(r.upstream.info.ID)).Str("cause", cause).
		Dur("since_report", b.now.Monotonic.Sub(r.upstream.lastReportAt)).Bool("confirmed", r.confirmed).
		Int64("born", r.born).Int64("listed_by", r.reportedIncarnation).Int64("acknowledged", r.upstream.acknowledgedEnd).Send()
	b.stopOtherMembers(r)
	b.dropRun(r)
}

// ExpireLeases ends the runs of upstreams whose leases have expired, and drops the upstreams about
// which nothing needs to be remembered.
func (b *Planner) ExpireLeases() {
	for _, u := range b.sortedUpstreams {
		if len(u.runs) > 0 && b.now.Monotonic.After(u.leaseExpires) {
			b.declareRunsLost(u)
		}
		b.pruneAbandonedStarts(u)
	}
	b.pruneCalls()
	b.expireUnresolvedCrashes()
	b.giveUpHarmfulJobs()
	b.forgetUpstreams()
}

func (b *Planner) declareRunsLost(u *upstream) {
	b.countCrash(u, u.info.Incarnation, "lease is over", !u.gone)
	for _, r := range u.runs {
		if r.sent {
			b.declareLost(r, "lease is over")
		}
	}
}

// MarkRenewalUnanswered records that a lease renewal had no answer. Until a renewal is answered,
// further ones do not extend the lease, so that the lease of an upstream that is gone
// expires.
func (b *Planner) MarkRenewalUnanswered(id cawork.UpstreamID) {
	if u, ok := b.upstreams[id]; ok {
		u.renewalUnanswered = true
		if u.lastAnswerAt.IsZero() || b.timeSinceAnswer(u) > maxSuspicionTimeout {
			b.suspect(u, b.now.Monotonic)
		}
	}
}

// RenewLease returns the parameters of the next lease renewal of an upstream, and records that
// it is sent. The upstream has to answer it at once: while it has no answer, a later incarnation
// might carry it out.
func (b *Planner) RenewLease(id cawork.UpstreamID) (caorder.Lease, bool) {
	u, ok := b.upstreams[id]
	if !ok || u.info.Address == "" {
		return caorder.Lease{}, false
	}
	b.raiseToken(u)
	l := caorder.Lease{
		Upstream: id, Address: u.info.Address, Born: u.info.Incarnation, StoredEnd: b.endToAcknowledge(u), Token: u.token,
	}
	if !u.renewalUnanswered && b.mayExtendLease(u) {
		l.EndMS = u.leaseEndMS(b.now.Monotonic, LeaseDuration)
	}
	if l.EndMS > 0 {
		u.extendLease(b.now.Monotonic, LeaseDuration)
	}
	if l.StoredEnd > 0 {
		u.acknowledgedEnd, u.acknowledgedAt = l.StoredEnd, b.now.Monotonic
	}
	if l.EndMS > 0 || l.StoredEnd > 0 {
		l.Call = u.calls.Add(cacalls.Call{SentAt: b.now.Monotonic, StoredEnd: l.StoredEnd, Extends: l.EndMS > 0})
	}
	return l, true
}

// ReportRequest returns the parameters of a call that asks an upstream for a report and changes nothing
// there but the fencing token that it knows, so that it may be carried out at any time, by any incarnation.
func (b *Planner) ReportRequest(id cawork.UpstreamID) (caorder.Lease, bool) {
	u, ok := b.upstreams[id]
	if !ok || u.info.Address == "" {
		return caorder.Lease{}, false
	}
	return caorder.Lease{Upstream: id, Address: u.info.Address, Born: u.info.Incarnation, Token: u.token}, true
}

// UpstreamIDs returns the upstreams whose leases are renewed: those with a known address.
func (b *Planner) UpstreamIDs() []cawork.UpstreamID {
	ids := make([]cawork.UpstreamID, 0, len(b.upstreams))
	for _, u := range b.sortedUpstreams {
		if u.info.Address != "" {
			ids = append(ids, u.info.ID)
		}
	}
	return ids
}
