package caboard

import (
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cacrash"
)

// crashEvent is a crash of an upstream with the jobs that ran there.
type crashEvent struct {
	*cacrash.Event
	jobs []*job
}

// addCrashEvent records a crash with the runs that were there.
func (b *Planner) addCrashEvent(u *upstream, incarnation int64, runs []*run, suspectJobs map[cawork.JobID]bool) {
	event := crashEvent{Event: &cacrash.Event{
		Upstream: u.info.ID, Incarnation: incarnation, LastAnswerAt: u.lastAnswerAt, CountedAt: b.now.Monotonic,
		SuspectJobs: suspectJobs, ApartJobs: make(map[cawork.JobID]bool),
	}}
	if u.info.Incarnation > incarnation {
		event.NextBornMS = u.info.Incarnation
	}
	for _, r := range runs {
		event.jobs = append(event.jobs, r.step.job)
		if r.onProbation && r.isSuspect() {
			event.ApartJobs[r.id.Job] = true
		}
	}
	kept := b.crashes.events[:0:0]
	for _, e := range b.crashes.events {
		isSame := e.Upstream == event.Upstream && e.Incarnation == incarnation
		if !isSame && !e.IsExpired(b.now.Monotonic) {
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
		if !wave.IsLarge() {
			continue
		}
		for _, j := range jobs {
			shared, excused := wave.Judge(j.Submission.ID, e.ApartJobs[j.Submission.ID])
			isChanged := shared && j.crashes.MarkShared(e.Upstream, e.Incarnation)
			if excused && j.crashes.Excuse(e.Upstream, e.Incarnation) || isChanged {
				b.markCrashesChanged(j)
			}
		}
	}
}

// openJobs returns the jobs to which the cause of the crash still matters.
func (e crashEvent) openJobs() []*job {
	var jobs []*job
	for _, j := range e.jobs {
		if !j.Phase.IsFinal() && !slices.Contains(jobs, j) && j.crashes.MayShare(e.Upstream, e.Incarnation) {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// waveOf returns the wave that a crash is part of.
func (b *Planner) waveOf(event crashEvent) cacrash.Wave {
	events := make([]*cacrash.Event, 0, len(b.crashes.events))
	for _, e := range b.crashes.events {
		events = append(events, e.Event)
	}
	var listed []cacrash.Witness
	for _, u := range b.sortedUpstreams {
		if u.listed {
			listed = append(listed, cacrash.Witness{
				ID: u.info.ID, Incarnation: u.info.Incarnation, IsUnanswered: u.renewalUnanswered, LastAnswerAt: u.lastAnswerAt, Suspects: u.suspectJobs,
			})
		}
	}
	return cacrash.NewWave(event.Event, events, listed)
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
