package caboard

import (
	"slices"
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
	// commonRestartWindow is how far apart the next incarnations of upstreams may begin that crashed from a
	// common cause: about the time that upstreams take to start.
	commonRestartWindow = 10 * time.Second
	// crashEventRetention is how long a crash is kept for comparison with others: the time in which
	// crashed upstreams are back.
	crashEventRetention = 20 * time.Second
)

// crashEvent is the end of one incarnation of an upstream.
type crashEvent struct {
	upstream    cawork.UpstreamID
	incarnation int64
	// lastAnswerAt is when that incarnation last answered this leader, zero if it never did.
	lastAnswerAt time.Time
	// countedAt is when the crash was counted, and nextBornMS when the next incarnation began, in Unix
	// milliseconds, zero if that is not known.
	countedAt  time.Time
	nextBornMS int64
	// jobs ran there, and suspectJobs had just been started there.
	jobs        []*job
	suspectJobs map[cawork.JobID]bool
	// apartJobs are those suspects that were on probation.
	apartJobs map[cawork.JobID]bool
}

// isNear reports whether the crashes may have had a common cause by their times.
func (e *crashEvent) isNear(other *crashEvent) bool {
	if e.isUnseen() && other.isUnseen() {
		apart := time.Duration(e.nextBornMS-other.nextBornMS) * time.Millisecond
		return e.nextBornMS != 0 && other.nextBornMS != 0 && apart.Abs() < commonRestartWindow
	}
	return isNear(e.lastAnswerAt, other.lastAnswerAt)
}

// beganBeside reports whether the present incarnation of an upstream began at about the time of the one
// after a crash, rather than of the one that crashed: it may have crashed as well, though none of its runs
// was stored.
func (u *upstream) beganBeside(e *crashEvent) bool {
	toNext := time.Duration(u.info.Incarnation-e.nextBornMS) * time.Millisecond
	toCrashed := time.Duration(u.info.Incarnation-e.incarnation) * time.Millisecond
	return u.info.Incarnation != 0 && e.nextBornMS != 0 && toNext.Abs() < commonRestartWindow && toNext.Abs() < toCrashed.Abs()
}

// isUnseen reports whether the incarnation never answered this leader.
func (e *crashEvent) isUnseen() bool { return e.lastAnswerAt.IsZero() }

// addCrashEvent records a crash with the runs that were there.
func (b *Planner) addCrashEvent(u *upstream, incarnation int64, runs []*run, suspectJobs map[cawork.JobID]bool) {
	event := &crashEvent{
		upstream: u.info.ID, incarnation: incarnation, lastAnswerAt: u.lastAnswerAt, countedAt: b.now.Monotonic,
		suspectJobs: suspectJobs, apartJobs: make(map[cawork.JobID]bool),
	}
	if u.info.Incarnation > incarnation {
		event.nextBornMS = u.info.Incarnation
	}
	for _, r := range runs {
		event.jobs = append(event.jobs, r.step.job)
		if r.onProbation && r.isSuspect() {
			event.apartJobs[r.id.Job] = true
		}
	}
	kept := b.crashes.events[:0:0]
	for _, e := range b.crashes.events {
		isSame := e.upstream == event.upstream && e.incarnation == incarnation
		since := e.lastAnswerAt
		if e.isUnseen() {
			since = e.countedAt
		}
		if !isSame && b.now.Monotonic.Sub(since) < crashEventRetention {
			kept = append(kept, e)
		}
	}
	b.crashes.events = append(kept, event)
}

// shareCrashes marks the crashes of the last seconds that turn out to have a common cause.
func (b *Planner) shareCrashes() {
	for _, e := range b.crashes.events {
		jobs := e.openJobs()
		if len(jobs) == 0 {
			continue
		}
		wave := b.waveOf(e)
		if !wave.isLarge() {
			continue
		}
		for _, j := range jobs {
			others := wave.othersThan(j, e.apartJobs[j.Submission.ID])
			isChanged := others >= wave.minOthers && j.crashes.MarkShared(e.upstream, e.incarnation)
			if others >= wave.minExcusing && j.crashes.Excuse(e.upstream, e.incarnation) || isChanged {
				b.markCrashesChanged(j)
			}
		}
	}
}

// openJobs returns the jobs to which the cause of the crash still matters.
func (e *crashEvent) openJobs() []*job {
	var jobs []*job
	for _, j := range e.jobs {
		if !j.Phase.IsFinal() && !slices.Contains(jobs, j) && j.crashes.MayShare(e.upstream, e.incarnation) {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// crashWave holds the other upstreams that crashed or fell silent at the time of a crash.
type crashWave struct {
	crashed []*crashEvent
	// silent are those of which no crash is known: they do not answer, or began again beside it.
	silent []*upstream
	// minOthers is how many of them show a common cause, and minExcusing how many clear suspects.
	minOthers, minExcusing int
}

// waveOf returns the wave that a crash is part of.
func (b *Planner) waveOf(event *crashEvent) crashWave {
	var wave crashWave
	hasCrashed := make(map[cawork.UpstreamID]bool, len(b.crashes.events))
	for _, e := range b.crashes.events {
		hasCrashed[e.upstream] = true
		if e.upstream != event.upstream && event.isNear(e) {
			wave.crashed = append(wave.crashed, e)
		}
	}
	listed := 0
	for _, u := range b.sortedUpstreams {
		if !u.listed {
			continue
		}
		listed++
		isSilent := u.renewalUnanswered && isNear(u.lastAnswerAt, event.lastAnswerAt)
		hasBegun := event.isUnseen() && !hasCrashed[u.info.ID] && u.beganBeside(event)
		if u.info.ID != event.upstream && (isSilent || hasBegun) {
			wave.silent = append(wave.silent, u)
		}
	}
	wave.minOthers = max(minCommonCauseUpstreams, int(minCommonCauseShare*float64(listed)))
	wave.minExcusing = max(minCommonCauseUpstreams, min(minExcusingUpstreams, listed-1), int(excusingShare*float64(listed)))
	if event.isUnseen() {
		wave.minOthers = wave.minExcusing
	}
	return wave
}

func (w crashWave) isLarge() bool { return len(w.crashed)+len(w.silent) >= w.minOthers }

// othersThan returns how many upstreams of the wave were not running the job just before: many show a
// likely cause other than the job. Those that one other job explains do not count if the job had been
// started apart from it.
func (w crashWave) othersThan(j *job, isApart bool) int {
	others := make(map[cawork.UpstreamID]bool)
	byJob := make(map[cawork.JobID]int)
	for _, e := range w.crashed {
		if e.suspectJobs[j.Submission.ID] || others[e.upstream] {
			continue
		}
		others[e.upstream] = true
		for id := range e.suspectJobs {
			byJob[id]++
		}
	}
	for _, u := range w.silent {
		if u.hasSuspectOf(j) || others[u.info.ID] {
			continue
		}
		others[u.info.ID] = true
		for id := range u.suspectJobs() {
			byJob[id]++
		}
	}
	explained := 0
	if isApart {
		for _, n := range byJob {
			explained = max(explained, n)
		}
	}
	return len(others) - explained
}

// isNear reports whether two answers were near to each other. Zero is no answer.
func isNear(x, y time.Time) bool {
	return !x.IsZero() && !y.IsZero() && x.Sub(y).Abs() < commonCauseWindow
}

// hasSuspectOf reports whether the upstream has a run of the job that it has not survived for long.
func (u *upstream) hasSuspectOf(j *job) bool {
	for _, r := range u.runs {
		if r.step.job == j && r.isSuspect() {
			return true
		}
	}
	return false
}

// suspectJobs returns the jobs with runs that the upstream has not survived for long.
func (u *upstream) suspectJobs() map[cawork.JobID]bool {
	jobs := make(map[cawork.JobID]bool)
	for _, r := range u.runs {
		if r.isSuspect() {
			jobs[r.id.Job] = true
		}
	}
	return jobs
}
