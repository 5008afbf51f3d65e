package cacrash

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// If many upstreams crash at the same time and a job ran on few of them, the crashes may have a
// common cause, such as a loss of power, or other jobs caused them. They are no proof against the
// job. Its suspects are still on probation, so that they do not meet each other again, unless most of
// all upstreams crashed: then so many suspects would be on probation that little else could start.
//
// A new leader does not know when upstreams last answered. The crashes before their first answer to it fell
// into the time without a leader, in which nothing was started. They may have a common cause if the next
// incarnations began at about the same time.

const (
	// commonCauseWindow is how far apart the last answers of upstreams may be that crashed from a
	// common cause: about the time between two answers.
	commonCauseWindow = 1500 * time.Millisecond
	// minCommonCauseUpstreams and minCommonCauseShare bound from below how many other upstreams, and
	// which fraction of all, must have crashed.
	minCommonCauseUpstreams = 4
	minCommonCauseShare     = 0.1
	// minExcusingUpstreams and excusingShare bound from below how many other upstreams, and which fraction of
	// all, must have crashed to clear suspects: all others in a small cell, where a few deadly jobs may crash
	// most of them.
	minExcusingUpstreams = 8
	excusingShare        = 0.5
	// CommonRestartWindow is how far apart the next incarnations of upstreams may begin that crashed from a
	// common cause: about the time that upstreams take to start.
	CommonRestartWindow = 10 * time.Second
	// eventRetention is how long a crash is kept for comparison with others: the time in which
	// crashed upstreams are back.
	eventRetention = 20 * time.Second
)

// Event is the end of one incarnation of an upstream.
type Event struct {
	Upstream    cawork.UpstreamID
	Incarnation int64
	// LastAnswerAt is when that incarnation last answered this leader, zero if it never did.
	LastAnswerAt time.Time
	// CountedAt is when the crash was counted, and NextBornMS when the next incarnation began, in Unix
	// milliseconds, zero if that is not known.
	CountedAt  time.Time
	NextBornMS int64
	// SuspectJobs had just been started there, and ApartJobs are those of them that were on probation.
	SuspectJobs, ApartJobs map[cawork.JobID]bool
}

// IsUnseen reports whether the incarnation never answered this leader.
func (e *Event) IsUnseen() bool { return e.LastAnswerAt.IsZero() }

// IsExpired reports whether the crash is too old to be compared with others.
func (e *Event) IsExpired(now time.Time) bool {
	since := e.LastAnswerAt
	if e.IsUnseen() {
		since = e.CountedAt
	}
	return now.Sub(since) >= eventRetention
}

// isNear reports whether the crashes may have had a common cause by their times.
func (e *Event) isNear(other *Event) bool {
	if e.IsUnseen() && other.IsUnseen() {
		apart := time.Duration(e.NextBornMS-other.NextBornMS) * time.Millisecond
		return e.NextBornMS != 0 && other.NextBornMS != 0 && apart.Abs() < CommonRestartWindow
	}
	return areNear(e.LastAnswerAt, other.LastAnswerAt)
}

// Witness is an upstream as the leader knows it, beside a crash of another one.
type Witness struct {
	ID          cawork.UpstreamID
	Incarnation int64
	// IsUnanswered is set while the upstream does not answer, since LastAnswerAt.
	IsUnanswered bool
	LastAnswerAt time.Time
	// Suspects returns the jobs with runs that the upstream has not survived for long.
	Suspects func() map[cawork.JobID]bool
}

// beganBeside reports whether the present incarnation of an upstream began at about the time of the one
// after a crash, rather than of the one that crashed: it may have crashed as well, though none of its runs
// was stored.
func (w Witness) beganBeside(e *Event) bool {
	toNext := time.Duration(w.Incarnation-e.NextBornMS) * time.Millisecond
	toCrashed := time.Duration(w.Incarnation-e.Incarnation) * time.Millisecond
	return w.Incarnation != 0 && e.NextBornMS != 0 && toNext.Abs() < CommonRestartWindow && toNext.Abs() < toCrashed.Abs()
}

// Wave holds the other upstreams that crashed or fell silent at the time of a crash.
type Wave struct {
	crashed []*Event
	// silent are those of which no crash is known: they do not answer, or began again beside it.
	silent []Witness
	// minOthers is how many of them show a common cause, and minExcusing how many clear suspects.
	minOthers, minExcusing int
}

// NewWave returns the wave that a crash is part of, by the crashes of the last seconds and all listed upstreams.
func NewWave(event *Event, events []*Event, listed []Witness) Wave {
	var wave Wave
	hasCrashed := make(map[cawork.UpstreamID]bool, len(events))
	for _, e := range events {
		hasCrashed[e.Upstream] = true
		if e.Upstream != event.Upstream && event.isNear(e) {
			wave.crashed = append(wave.crashed, e)
		}
	}
	for _, w := range listed {
		isSilent := w.IsUnanswered && areNear(w.LastAnswerAt, event.LastAnswerAt)
		hasBegun := event.IsUnseen() && !hasCrashed[w.ID] && w.beganBeside(event)
		if w.ID != event.Upstream && (isSilent || hasBegun) {
			wave.silent = append(wave.silent, w)
		}
	}
	n := len(listed)
	wave.minOthers = max(minCommonCauseUpstreams, int(minCommonCauseShare*float64(n)))
	wave.minExcusing = max(minCommonCauseUpstreams, min(minExcusingUpstreams, n-1), int(excusingShare*float64(n)))
	if event.IsUnseen() {
		wave.minOthers = wave.minExcusing
	}
	return wave
}

// IsLarge reports whether the wave may show a common cause.
func (w Wave) IsLarge() bool { return len(w.crashed)+len(w.silent) >= w.minOthers }

// Judge reports whether the crash is shared with others, so that it is no proof against a job, and whether it clears the
// suspects of the job. isApart is set if these were on probation.
func (w Wave) Judge(job cawork.JobID, isApart bool) (shared, excused bool) {
	others := w.othersThan(job, isApart)
	return others >= w.minOthers, others >= w.minExcusing
}

// othersThan returns how many upstreams of the wave were not running the job just before: many show a
// likely cause other than the job. Those that one other job explains do not count if the job had been
// started apart from it.
func (w Wave) othersThan(job cawork.JobID, isApart bool) int {
	others := make(map[cawork.UpstreamID]bool)
	byJob := make(map[cawork.JobID]int)
	count := func(id cawork.UpstreamID, suspects map[cawork.JobID]bool) {
		if suspects[job] || others[id] {
			return
		}
		others[id] = true
		for suspect := range suspects {
			byJob[suspect]++
		}
	}
	for _, e := range w.crashed {
		count(e.Upstream, e.SuspectJobs)
	}
	for _, s := range w.silent {
		count(s.ID, s.Suspects())
	}
	explained := 0
	if isApart {
		for _, n := range byJob {
			explained = max(explained, n)
		}
	}
	return len(others) - explained
}

// areNear reports whether two answers were near to each other. Zero is no answer.
func areNear(x, y time.Time) bool {
	return !x.IsZero() && !y.IsZero() && x.Sub(y).Abs() < commonCauseWindow
}
