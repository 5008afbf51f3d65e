package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// An upstream that stops to answer is out of reach long before its lease is over, and
// what is started there meanwhile is lost to its caller for the whole lease. So an
// upstream that leaves a start unanswered for longer than starts usually take gets no
// new work until it answers anything, and is asked for a report at once. Where several
// of one availability zone do so, a cut may be the cause, and all of that zone have to
// answer first. Being out of sight proves nothing about what runs there.

const (
	// doubtLeast and doubtMost bound the time without an answer to a start after which
	// an upstream is doubted, and doubtTimes makes it from the mean time of answers.
	doubtLeast = 50 * time.Millisecond
	doubtMost  = 300 * time.Millisecond
	doubtTimes = 6
	// answerWeight is the weight of one answer in that mean.
	answerWeight = 0.03
	// answerAtFirst is the mean before the first answer.
	answerAtFirst = 15 * time.Millisecond
	// zoneDoubted is how many upstreams of a zone are doubted at the same time when the
	// others have to answer first, and zoneDoubtSpan what counts as the same time.
	zoneDoubted   = 2
	zoneDoubtSpan = 500 * time.Millisecond
	// lookAgain is the least time between two looks at the same upstream.
	lookAgain = 500 * time.Millisecond
)

// sight is what is known of how upstreams answer.
type sight struct {
	// awaited are the starts that may lack an answer, in the order in which they left.
	awaited []*run
	// mean is the mean time of answers.
	mean time.Duration
	// looks are the upstreams to ask for a report at once.
	looks []cawork.UpstreamID
}

// patience returns how long a start may lack an answer before its upstream is doubted.
func (s *sight) patience() time.Duration {
	return min(max(doubtTimes*s.mean, doubtLeast), doubtMost)
}

// noteAnswer takes the time of an answer into the mean.
func (s *sight) noteAnswer(took time.Duration) {
	s.mean += time.Duration(answerWeight * float64(took-s.mean))
}

// isDoubted reports whether the upstream has left a call unanswered and answered none
// since that call was made.
func (u *upstream) isDoubted() bool {
	return !u.doubtedAt.IsZero() && !u.answeredAt.After(u.doubtedAt)
}

// noteAnswered tells that the upstream answered a call.
func (b *Board) noteAnswered(u *upstream, at time.Time) {
	if at.After(u.answeredAt) {
		u.answeredAt = at
	}
}

// noteSight doubts the upstreams that left starts unanswered for too long.
func (b *Board) noteSight() {
	patience := b.sight.patience()
	n := 0
	for _, r := range b.sight.awaited {
		lacking := !r.answered && r.up.runs[r.id] == r
		if lacking && b.now.Steady.Sub(r.sentAt) < patience {
			break
		}
		n++
		if lacking {
			b.doubt(r.up, r.sentAt)
		}
	}
	clear(b.sight.awaited[:n])
	b.sight.awaited = b.sight.awaited[n:]
}

// doubt keeps new work from an upstream that left a call unanswered that was made at
// the time, and from its zone where that is not the only one.
func (b *Board) doubt(u *upstream, asked time.Time) {
	if u.answeredAt.After(asked) || u.isDoubted() {
		return
	}
	u.doubtedAt = asked
	caevent.Info(b.log, caevent.UpstreamDoubted).Str("upstream", string(u.info.ID)).Str("zone", string(u.info.Zone)).
		Dur("unanswered_for", b.now.Steady.Sub(asked)).Dur("since_answer", b.sinceAnswer(u)).
		Dur("mean_answer", b.sight.mean).Send()
	b.lookAt(u)
	b.doubtZone(u.info.Zone, asked)
}

// doubtZone lets all upstreams of a zone answer before they get new work, if several
// left calls unanswered.
func (b *Board) doubtZone(zone cawork.ZoneName, asked time.Time) {
	doubted := 0
	for _, u := range b.inOrder {
		if u.info.Zone == zone && u.listed && u.isDoubted() && asked.Sub(u.doubtedAt) < zoneDoubtSpan {
			doubted++
		}
	}
	if zone == "" || doubted < zoneDoubted {
		return
	}
	for _, u := range b.inOrder {
		if u.info.Zone != zone || !u.listed || u.isDoubted() || u.answeredAt.After(asked) {
			continue
		}
		u.doubtedAt = asked
		b.lookAt(u)
	}
}

// lookAt has an upstream asked for a report at once.
func (b *Board) lookAt(u *upstream) {
	if b.now.Steady.Sub(u.lookedAt) < lookAgain {
		return
	}
	u.lookedAt = b.now.Steady
	b.sight.looks = append(b.sight.looks, u.info.ID)
}

// takeLooks returns the upstreams that are to be asked for a report at once.
func (b *Board) takeLooks() []cawork.UpstreamID {
	looks := b.sight.looks
	b.sight.looks = nil
	return looks
}

// sinceAnswer returns how long ago an upstream answered last, zero if it never did.
func (b *Board) sinceAnswer(u *upstream) time.Duration {
	if u.answeredAt.IsZero() {
		return 0
	}
	return b.now.Steady.Sub(u.answeredAt)
}

// noteStartAnswer takes up that the call which started a run is over. It returns how
// long the call took.
func (b *Board) noteStartAnswer(r *run, outcome StartOutcome) time.Duration {
	took := b.now.Steady.Sub(r.sentAt)
	if outcome == StartUnknown {
		b.doubt(r.up, r.sentAt)
		return took
	}
	r.answered = true
	b.noteAnswered(r.up, b.now.Steady)
	b.sight.noteAnswer(took)
	return took
}
