package calaunch

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
)

const (
	// waitRound bounds one call that waits for a job at another entry.
	waitRound = 2 * time.Second
	// searchPause is the time between two searches for a job whose leader does
	// not answer.
	searchPause = 200 * time.Millisecond
)

// Get returns the state of a job, wherever it is led.
func (l *Launcher) Get(ctx context.Context, id cawork.JobID) (JobView, error) {
	return l.lookUp(ctx, GetJobCall{Job: id})
}

// Wait returns the state of a job once it has ended, or as it is when the
// context ends.
func (l *Launcher) Wait(ctx context.Context, id cawork.JobID) (JobView, error) {
	// The answer must still be fetched after the caller's time is over.
	background := context.WithoutCancel(ctx)
	for {
		view, err := l.lookUp(background, GetJobCall{Job: id, Wait: remaining(ctx)})
		if err == nil && view.Outcome != cawork.OutcomePending {
			return view, nil
		}
		if ctx.Err() != nil || l.waitsStopped() || (err != nil && cakind.Of(err) == cakind.KindNotFound) {
			return view, err
		}
		l.sleep(ctx, searchPause)
	}
}

func (l *Launcher) waitsStopped() bool {
	select {
	case <-l.stopWaits:
		return true
	default:
		return false
	}
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return waitRound
	}
	return min(waitRound, max(time.Until(deadline), 0))
}

func (l *Launcher) sleep(ctx context.Context, d time.Duration) {
	pause := l.Timer.After(d)
	defer pause.Close()
	select {
	case <-pause.C:
	case <-ctx.Done():
	case <-l.done:
	}
}

// lookUp asks the leader of the job's shard, and every entry when no leader is
// known.
func (l *Launcher) lookUp(ctx context.Context, call GetJobCall) (JobView, error) {
	view, err := l.HandleGetJob(ctx, call)
	if err == nil && view.isFound() {
		return view, nil
	}
	var seen seenJob
	seen.note(view, err)
	if leader, ok := l.Directory.Leader(shardOf(call.Job)); ok && leader != l.Self {
		ctx, cancel := context.WithTimeout(ctx, call.Wait+peerTimeout)
		defer cancel()
		view, err = l.Peers.GetJob(ctx, leader, call)
		if err == nil && view.isFound() || err != nil && cakind.Of(err) != cakind.KindNotFound {
			return view, err
		}
		seen.note(view, err)
	}
	return l.search(ctx, call.Job, seen)
}

// seenJob gathers the answers of entries that do not have a job.
type seenJob struct {
	// lacking is set when the leader of its shard lacks the job, backedUp when
	// a backup of the shard was met.
	lacking  bool
	backedUp bool
	// err is the last error that leaves open whether the job is there.
	err error
}

func (s *seenJob) note(view JobView, err error) {
	s.lacking = s.lacking || view.Lacking
	s.backedUp = s.backedUp || view.BackedUp
	if err != nil && cakind.Of(err) != cakind.KindNotFound {
		s.err = err
	}
}

// isOpen reports whether the job may be where it was not looked for: with an
// entry that gave no answer, or with a backup whose leader gave none.
func (s *seenJob) isOpen() bool {
	return s.err != nil || s.backedUp && !s.lacking
}

// search asks all entries for a job. It is not found only if all say so: the
// shard of a lost entry has no leader until its backup has taken over, and a
// zone that is cut off may hold it.
func (l *Launcher) search(ctx context.Context, id cawork.JobID, seen seenJob) (JobView, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, vm := range l.Directory.Entries() {
		view, err := l.Peers.GetJob(ctx, vm, GetJobCall{Job: id})
		if err == nil && view.isFound() {
			return view, nil
		}
		seen.note(view, err)
	}
	hidden := l.Directory.KnowsEntry(EntryOf(shardOf(id))) && l.Directory.HasSilent()
	if !hidden && !seen.isOpen() {
		return JobView{}, cakind.New(cakind.KindNotFound, "no job %s", id)
	}
	if seen.err == nil {
		seen.err = cakind.New(cakind.KindUnavailable, "an entry that may hold job %s is silent", id)
	}
	return JobView{}, cakind.Wrap(cakind.KindUnavailable, seen.err, "the entry that leads job %s is not known now", id).
		WithRetryAfter(time.Second)
}

// mayTurnUp reports whether the job is of a former life of an entry and its
// shard may have yet to be rebuilt.
func (l *Launcher) mayTurnUp(id cawork.JobID) bool {
	return l.Directory.KnowsEntry(EntryOf(shardOf(id))) && l.MayLack()
}

// isBackup reports whether this entry holds the shard for another one.
func (l *Launcher) isBackup(id cawork.ShardID) bool {
	return slices.ContainsFunc(l.Shards.Statuses(), func(s cashard.Status) bool { return s.Shard == id && !s.Primary })
}

// HandleGetJob returns the state of a job that is led here, or tells that the
// job is not in its shard, which is led or backed up here.
func (l *Launcher) HandleGetJob(ctx context.Context, call GetJobCall) (JobView, error) {
	view, ended, err := l.watch(ctx, call)
	if err != nil || ended == nil {
		return view, err
	}
	pause := l.Timer.After(call.Wait)
	defer pause.Close()
	select {
	case <-ended:
	case <-pause.C:
	case <-ctx.Done():
	case <-l.stopWaits:
	case <-l.done:
	}
	l.post(func() { l.unwatch(call.Job, ended) })
	view, _, err = l.watch(context.WithoutCancel(ctx), GetJobCall{Job: call.Job})
	return view, err
}

// unwatch drops a channel that nobody waits on any more.
func (l *Launcher) unwatch(id cawork.JobID, ended <-chan struct{}) {
	rest := slices.DeleteFunc(l.waiters[id], func(c chan struct{}) bool { return c == ended })
	if len(rest) == 0 {
		delete(l.waiters, id)
		return
	}
	l.waiters[id] = rest
}

// watch returns the state of a job, and a channel that is closed at its end
// when the call asks to wait for it.
func (l *Launcher) watch(ctx context.Context, call GetJobCall) (JobView, <-chan struct{}, error) {
	var view JobView
	var found, lacking bool
	var ended chan struct{}
	ok := l.ask(ctx, func() {
		view, found = l.view(call.Job)
		lacking = !found && l.lacks(call.Job)
		if found && call.Wait > 0 && view.Outcome == cawork.OutcomePending {
			ended = make(chan struct{})
			l.waiters[call.Job] = append(l.waiters[call.Job], ended)
		}
	})
	switch {
	case !ok:
		return JobView{}, nil, cakind.New(cakind.KindUnavailable, "entry %s has ended", l.Self)
	case lacking:
		return JobView{Job: call.Job, Lacking: true}, nil, nil
	case !found && l.isBackup(shardOf(call.Job)):
		return JobView{Job: call.Job, BackedUp: true}, nil, nil
	case !found && l.mayTurnUp(call.Job):
		return JobView{}, nil, cakind.New(cakind.KindUnavailable, "the shard of job %s has yet to be looked for", call.Job)
	case !found:
		return JobView{}, nil, cakind.New(cakind.KindNotFound, "no job %s here", call.Job)
	case ended == nil:
		return view, nil, nil
	default:
		return view, ended, nil
	}
}

// lacks reports whether the shard of a job is led here and has no record of it.
func (l *Launcher) lacks(id cawork.JobID) bool {
	known := false
	led := l.readState(shardOf(id), func(s *cajob.State) { _, known = s.Job(id) })
	return led && !known
}

// wake tells those who wait for a job that it has ended.
func (l *Launcher) wake(id cawork.JobID) {
	for _, ended := range l.waiters[id] {
		close(ended)
	}
	delete(l.waiters, id)
}

func (l *Launcher) view(id cawork.JobID) (JobView, bool) {
	j, ok := l.job(id)
	if !ok || j.HandedTo != "" {
		return JobView{}, false
	}
	view := JobView{
		Job: id, Team: j.Job.Team, Queue: j.Job.Spec.Queue, Kind: j.Job.Spec.Kind, Outcome: j.Outcome, Reason: string(j.Result),
		Canceled: j.Canceled, Accepted: j.Job.Accepted,
	}
	for _, t := range j.Tasks {
		view.Tasks = append(view.Tasks, l.taskView(t))
	}
	return view, true
}

func (l *Launcher) taskView(t cajob.Task) TaskView {
	view := TaskView{Outcome: t.Outcome, Attempts: t.Attempts, Result: t.Result}
	if a, ok := l.attempts[t.Open]; ok {
		view.Running = a.phase == phaseRunning
		view.Upstream = a.upstream
	}
	return view
}
