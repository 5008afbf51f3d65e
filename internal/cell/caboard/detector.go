package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// An upstream that stops answering is unreachable long before its lease expires, and what
// is started there meanwhile is lost to its caller until the lease expires. Therefore an
// upstream that leaves a start unanswered for longer than starts usually take becomes
// suspected: it gets no new work until it answers any call, and is probed for a report at
// once. If several upstreams of one availability zone become suspected, the whole zone
// may be unreachable, and all its upstreams must answer before they get new work.
// Suspicion proves nothing about what runs on an upstream.

const (
	// minSuspicionTimeout and maxSuspicionTimeout bound the time after which an upstream
	// with an unanswered start is suspected. In between, it is suspicionLatencyFactor
	// times the mean answer latency. Where answers take long on average, it is
	// slowSuspicionFactor times the mean.
	minSuspicionTimeout    = 50 * time.Millisecond
	maxSuspicionTimeout    = 300 * time.Millisecond
	suspicionLatencyFactor = 6
	slowSuspicionFactor    = 2
	// answerLatencyWeight is the weight of one answer in that mean.
	answerLatencyWeight = 0.03
	// initialAnswerLatency is the mean before the first answer.
	initialAnswerLatency = 15 * time.Millisecond
	// minZoneSuspects is how many upstreams of a zone must be suspected at the same time
	// for the whole zone to be suspected, and zoneSuspicionWindow how far apart their
	// unanswered calls may be.
	minZoneSuspects     = 2
	zoneSuspicionWindow = 500 * time.Millisecond
	// minProbeInterval is the shortest time between two probes of the same upstream.
	minProbeInterval = 500 * time.Millisecond
)

// failureDetector suspects upstreams that stop answering.
type failureDetector struct {
	// unansweredStarts are the starts that may lack an answer, in the order in which they
	// were sent.
	unansweredStarts []*run
	// meanAnswerLatency is the moving average of the time from a start call to its
	// answer.
	meanAnswerLatency time.Duration
	// probes are the upstreams to request a report from at once.
	probes []cawork.UpstreamID
}

// suspicionTimeout returns how long a start may remain unanswered before its upstream is
// suspected.
func (d *failureDetector) suspicionTimeout() time.Duration {
	longest := max(maxSuspicionTimeout, slowSuspicionFactor*d.meanAnswerLatency)
	return min(max(suspicionLatencyFactor*d.meanAnswerLatency, minSuspicionTimeout), longest)
}

// addAnswerLatency adds the latency of an answer to the mean.
func (d *failureDetector) addAnswerLatency(took time.Duration) {
	d.meanAnswerLatency += time.Duration(answerLatencyWeight * float64(took-d.meanAnswerLatency))
}

// isSuspected reports whether the upstream has left a call unanswered and has answered no
// call since that one was made.
func (u *upstream) isSuspected() bool {
	return !u.suspectedSince.IsZero() && !u.lastAnswerAt.After(u.suspectedSince)
}

// markAnswered records that the upstream answered a call at the time.
func (b *Planner) markAnswered(u *upstream, at time.Time) {
	if at.After(u.lastAnswerAt) {
		u.lastAnswerAt = at
	}
}

// checkUnansweredStarts suspects the upstreams that left starts unanswered for too long.
func (b *Planner) checkUnansweredStarts() {
	timeout := b.detector.suspicionTimeout()
	n := 0
	for _, r := range b.detector.unansweredStarts {
		unanswered := !r.startAnswered && r.upstream.runs[r.id] == r
		if unanswered && b.now.Monotonic.Sub(r.sentAt) < timeout {
			break
		}
		n++
		if unanswered {
			b.suspect(r.upstream, r.sentAt)
		}
	}
	clear(b.detector.unansweredStarts[:n])
	b.detector.unansweredStarts = b.detector.unansweredStarts[n:]
}

// suspect keeps new work from an upstream that did not answer a call made at calledAt,
// and from its zone if it is not the only such upstream there.
func (b *Planner) suspect(u *upstream, calledAt time.Time) {
	if u.lastAnswerAt.After(calledAt) || u.isSuspected() {
		return
	}
	u.suspectedSince = calledAt
	caevent.Info(b.log, caevent.UpstreamDoubted).Str("upstream", string(u.info.ID)).Str("zone", string(u.info.Zone)).
		Dur("unanswered_for", b.now.Monotonic.Sub(calledAt)).Dur("since_answer", b.timeSinceAnswer(u)).
		Dur("mean_answer", b.detector.meanAnswerLatency).Send()
	b.queueProbe(u)
	b.suspectZone(u.info.Zone, calledAt)
}

// suspectZone suspects all upstreams of a zone that have not answered since calledAt, if
// several of them left calls unanswered.
func (b *Planner) suspectZone(zone cawork.ZoneName, calledAt time.Time) {
	suspects := 0
	for _, u := range b.sortedUpstreams {
		if u.info.Zone == zone && u.listed && u.isSuspected() && calledAt.Sub(u.suspectedSince) < zoneSuspicionWindow {
			suspects++
		}
	}
	if zone == "" || suspects < minZoneSuspects {
		return
	}
	for _, u := range b.sortedUpstreams {
		if u.info.Zone != zone || !u.listed || u.isSuspected() || u.lastAnswerAt.After(calledAt) {
			continue
		}
		u.suspectedSince = calledAt
		b.queueProbe(u)
	}
}

// queueProbe adds an upstream to the probes, unless it was probed recently.
func (b *Planner) queueProbe(u *upstream) {
	if b.now.Monotonic.Sub(u.lastProbeAt) < minProbeInterval {
		return
	}
	u.lastProbeAt = b.now.Monotonic
	b.detector.probes = append(b.detector.probes, u.info.ID)
}

// takeProbes returns the upstreams to request a report from at once, and clears the list.
func (b *Planner) takeProbes() []cawork.UpstreamID {
	probes := b.detector.probes
	b.detector.probes = nil
	return probes
}

// timeSinceAnswer returns how long ago an upstream last answered, zero if it never did.
func (b *Planner) timeSinceAnswer(u *upstream) time.Duration {
	if u.lastAnswerAt.IsZero() {
		return 0
	}
	return b.now.Monotonic.Sub(u.lastAnswerAt)
}

// markStartCallEnded records the outcome of the call that started a run. It returns how
// long the call took.
func (b *Planner) markStartCallEnded(r *run, outcome caorder.StartOutcome) time.Duration {
	took := b.now.Monotonic.Sub(r.sentAt)
	r.startAnswered = outcome != caorder.StartUnknown
	if outcome == caorder.StartUnknown || outcome == caorder.StartMismatch {
		b.suspect(r.upstream, r.sentAt)
		return took
	}
	b.markAnswered(r.upstream, b.now.Monotonic)
	b.detector.addAnswerLatency(took)
	b.observeStart(r, outcome, took)
	return took
}

// HasAnsweredSince reports whether the incarnation of an upstream has answered a call after the time.
func (b *Planner) HasAnsweredSince(id cawork.UpstreamID, born int64, at time.Time) bool {
	u, ok := b.upstreams[id]
	return ok && u.info.Incarnation == born && u.lastAnswerAt.After(at)
}
