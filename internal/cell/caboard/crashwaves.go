package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// If many upstreams crash at the same time and a job ran on few of them, the crashes may have a
// common cause, such as a loss of power, or other jobs caused them. They are no proof against the
// job. Its suspects are still on probation, so that they do not meet each other again.

const (
	// commonCauseWindow is how far apart the last answers of upstreams may be that crashed from a
	// common cause: about the time between two answers.
	commonCauseWindow = 1500 * time.Millisecond
	// minCommonCauseUpstreams and minCommonCauseShare bound from below how many other upstreams, and
	// which fraction of all, must have crashed.
	minCommonCauseUpstreams = 4
	minCommonCauseShare     = 0.1
	// crashEventRetention is how long a crash is kept for comparison with others: the time in which
	// crashed upstreams are back.
	crashEventRetention = 20 * time.Second
)

// crashEvent is the end of one incarnation of an upstream.
type crashEvent struct {
	upstream    cawork.UpstreamID
	incarnation int64
	// lastAnswerAt is when that incarnation last answered.
	lastAnswerAt time.Time
	// jobs ran there, and suspectJobs had just been started there.
	jobs        []*job
	suspectJobs map[cawork.JobID]bool
	// apartJobs are those suspects that were on probation.
	apartJobs map[cawork.JobID]bool
}

// addCrashEvent records a crash with the runs that were there.
func (b *Planner) addCrashEvent(u *upstream, incarnation int64, runs []*run, suspectJobs map[cawork.JobID]bool) {
	event := &crashEvent{upstream: u.info.ID, incarnation: incarnation, lastAnswerAt: u.lastAnswerAt, suspectJobs: suspectJobs, apartJobs: make(map[cawork.JobID]bool)}
	for _, r := range runs {
		event.jobs = append(event.jobs, r.step.job)
		if r.onProbation && r.isSuspect() {
			event.apartJobs[r.id.Job] = true
		}
	}
	kept := b.crashes.events[:0:0]
	for _, e := range b.crashes.events {
		isSame := e.upstream == event.upstream && e.incarnation == incarnation
		if !isSame && b.now.Monotonic.Sub(e.lastAnswerAt) < crashEventRetention {
			kept = append(kept, e)
		}
	}
	b.crashes.events = append(kept, event)
}

// shareCrashes marks the crashes of the last seconds that turn out to have a common cause.
func (b *Planner) shareCrashes() {
	for _, e := range b.crashes.events {
		wave := b.waveOf(e)
		if !wave.isLarge() {
			continue
		}
		for _, j := range e.jobs {
			if !j.Phase.IsFinal() && j.crashes != nil && wave.hasOtherCause(j, e.apartJobs[j.Submission.ID]) && j.crashes.MarkShared(e.upstream, e.incarnation) {
				b.markCrashesChanged(j)
			}
		}
	}
}

// crashWave holds the other upstreams that crashed or fell silent at the time of a crash.
type crashWave struct {
	crashed []*crashEvent
	silent  []*upstream
	// minOthers is how many of them show a common cause.
	minOthers int
}

// waveOf returns the wave that a crash is part of.
func (b *Planner) waveOf(event *crashEvent) crashWave {
	var wave crashWave
	for _, e := range b.crashes.events {
		if e.upstream != event.upstream && isNear(e.lastAnswerAt, event.lastAnswerAt) {
			wave.crashed = append(wave.crashed, e)
		}
	}
	listed := 0
	for _, u := range b.sortedUpstreams {
		if !u.listed {
			continue
		}
		listed++
		if u.renewalUnanswered && u.info.ID != event.upstream && isNear(u.lastAnswerAt, event.lastAnswerAt) {
			wave.silent = append(wave.silent, u)
		}
	}
	wave.minOthers = max(minCommonCauseUpstreams, int(minCommonCauseShare*float64(listed)))
	return wave
}

func (w crashWave) isLarge() bool { return len(w.crashed)+len(w.silent) >= w.minOthers }

// hasOtherCause reports whether the wave has a likely cause other than the job: many of its
// upstreams were not running the job just before. Those that one other job explains do not count
// if the job had been started apart from it.
func (w crashWave) hasOtherCause(j *job, isApart bool) bool {
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
	return len(others)-explained >= w.minOthers
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
