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
	// maxRemoteWait bounds the time that one call waits for a job at another
	// entry.
	maxRemoteWait = 2 * time.Second
	// searchRetryDelay is the time between two searches for a job whose
	// leader does not answer.
	searchRetryDelay = 200 * time.Millisecond
)

// Get returns the state of a job, whichever entry leads it.
func (l *Launcher) Get(ctx context.Context, id cawork.JobID) (JobView, error) {
	return l.lookUp(ctx, GetJobCall{Job: id})
}

// Wait returns the state of a job once it has ended, or its present state when
// the context ends.
func (l *Launcher) Wait(ctx context.Context, id cawork.JobID) (JobView, error) {
	// The state is fetched even if the context of the caller ends.
	detached := context.WithoutCancel(ctx)
	for {
		view, err := l.lookUp(detached, GetJobCall{Job: id, Wait: remainingWait(ctx)})
		if err == nil && view.Outcome != cawork.OutcomePending {
			return view, nil
		}
		if ctx.Err() != nil || l.waitsStopped() || (err != nil && cakind.Of(err) == cakind.KindNotFound) {
			return view, err
		}
		l.sleep(ctx, searchRetryDelay)
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

func remainingWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxRemoteWait
	}
	return min(maxRemoteWait, max(time.Until(deadline), 0))
}

func (l *Launcher) sleep(ctx context.Context, d time.Duration) {
	delay := l.Timer.After(d)
	defer delay.Close()
	select {
	case <-delay.C:
	case <-ctx.Done():
	case <-l.done:
	}
}

// lookUp asks the leader of the shard of a job, and all entries if the leader
// is unknown or has no state of the job.
func (l *Launcher) lookUp(ctx context.Context, call GetJobCall) (JobView, error) {
	view, err := l.HandleGetJob(ctx, call)
	if err == nil && view.isFound() {
		return view, nil
	}
	var answers searchAnswers
	answers.add(view, err)
	if leader, ok := l.Directory.Leader(acceptingShard(call.Job)); ok && leader != l.Self {
		ctx, cancel := context.WithTimeout(ctx, call.Wait+peerTimeout)
		defer cancel()
		view, err = l.Peers.GetJob(ctx, leader, call)
		if err == nil && view.isFound() || err != nil && cakind.Of(err) != cakind.KindNotFound {
			return view, err
		}
		answers.add(view, err)
	}
	return l.searchEntries(ctx, call.Job, answers)
}

// searchAnswers summarizes the answers of entries that returned no state of a
// job.
type searchAnswers struct {
	// missingAtLeader is set if the leader of the shard has no record of the
	// job, hasBackup if a backup of the shard answered or an entry that has
	// handed the job over.
	missingAtLeader bool
	hasBackup       bool
	// err is the last error of an entry that may still have the job.
	err error
}

func (a *searchAnswers) add(view JobView, err error) {
	a.missingAtLeader = a.missingAtLeader || view.Lacking
	a.hasBackup = a.hasBackup || view.BackedUp
	if err != nil && cakind.Of(err) != cakind.KindNotFound {
		a.err = err
	}
}

// isInconclusive reports whether the job may exist at an entry that did not
// answer, or in a shard whose backup answered but whose leader did not, or was
// handed over to a shard that is not known to have it.
func (a *searchAnswers) isInconclusive() bool {
	return a.err != nil || a.hasBackup && !a.missingAtLeader
}

// searchEntries asks all entries for a job. It returns KindNotFound only if no
// entry can have the job: the shard of a lost entry has no leader until its
// backup has taken over, and an unreachable zone may have the job.
func (l *Launcher) searchEntries(ctx context.Context, id cawork.JobID, answers searchAnswers) (JobView, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, vm := range l.Directory.Entries() {
		view, err := l.Peers.GetJob(ctx, vm, GetJobCall{Job: id})
		if err == nil && view.isFound() {
			return view, nil
		}
		answers.add(view, err)
	}
	mayBeUnreachable := l.Directory.IsKnownEntry(CreatorOf(acceptingShard(id))) && l.Directory.HasUnreachableEntry()
	if !mayBeUnreachable && !answers.isInconclusive() {
		return JobView{}, cakind.New(cakind.KindNotFound, "no job %s", id)
	}
	if answers.err == nil {
		answers.err = cakind.New(cakind.KindUnavailable, "an entry that may have job %s does not answer", id)
	}
	return JobView{}, cakind.Wrap(cakind.KindUnavailable, answers.err, "the entry that leads job %s is not known now", id).
		WithRetryAfter(time.Second)
}

// mayBeRebuilt reports whether the job was accepted by a known entry and its
// shard may still have to be rebuilt.
func (l *Launcher) mayBeRebuilt(id cawork.JobID) bool {
	return l.Directory.IsKnownEntry(CreatorOf(acceptingShard(id))) && l.MayNeedRebuild()
}

// isBackup reports whether this entry is a backup of the shard.
func (l *Launcher) isBackup(id cawork.ShardID) bool {
	return slices.ContainsFunc(l.Shards.Statuses(), func(s cashard.Status) bool { return s.Shard == id && !s.Primary })
}

// HandleGetJob returns the state of a job led here. If this entry leads the
// shard without a record of the job or has handed the job over, or is a backup of
// the shard, the view says so.
func (l *Launcher) HandleGetJob(ctx context.Context, call GetJobCall) (JobView, error) {
	view, ended, err := l.watch(ctx, call)
	if err != nil || ended == nil {
		return view, err
	}
	timeout := l.Timer.After(call.Wait)
	defer timeout.Close()
	select {
	case <-ended:
	case <-timeout.C:
	case <-ctx.Done():
	case <-l.stopWaits:
	case <-l.done:
	}
	l.post(func() { l.unwatch(call.Job, ended) })
	view, _, err = l.watch(context.WithoutCancel(ctx), GetJobCall{Job: call.Job})
	return view, err
}

// unwatch removes a channel that nobody waits for any more.
func (l *Launcher) unwatch(id cawork.JobID, ended <-chan struct{}) {
	remaining := slices.DeleteFunc(l.waiters[id], func(c chan struct{}) bool { return c == ended })
	if len(remaining) == 0 {
		delete(l.waiters, id)
		return
	}
	l.waiters[id] = remaining
}

// watch returns the state of a job and, if the call asks to wait, a channel
// that is closed when the job ends.
func (l *Launcher) watch(ctx context.Context, call GetJobCall) (JobView, <-chan struct{}, error) {
	var view JobView
	var found, missing, handedOver bool
	var ended chan struct{}
	ok := l.runOnLoop(ctx, func() {
		view, found = l.view(call.Job)
		missing = !found && l.isMissing(call.Job)
		handedOver = !found && l.hasHandedOver(call.Job)
		if found && call.Wait > 0 && view.Outcome == cawork.OutcomePending {
			ended = make(chan struct{})
			l.waiters[call.Job] = append(l.waiters[call.Job], ended)
		}
	})
	switch {
	case !ok:
		return JobView{}, nil, cakind.New(cakind.KindUnavailable, "entry %s has ended or did not answer in time", l.Self)
	case missing:
		return JobView{Job: call.Job, Lacking: true}, nil, nil
	case handedOver, !found && l.isBackup(acceptingShard(call.Job)):
		return JobView{Job: call.Job, BackedUp: true}, nil, nil
	case !found && l.mayBeRebuilt(call.Job):
		return JobView{}, nil, cakind.New(cakind.KindUnavailable, "the shard of job %s may still have to be rebuilt", call.Job)
	case !found:
		return JobView{}, nil, cakind.New(cakind.KindNotFound, "no job %s here", call.Job)
	case ended == nil:
		return view, nil, nil
	default:
		return view, ended, nil
	}
}

// isMissing reports whether this entry leads the shard of a job and the shard
// has no record of it.
func (l *Launcher) isMissing(id cawork.JobID) bool {
	known := false
	led := l.readState(acceptingShard(id), func(s *cajob.State) { _, known = s.Job(id) })
	return led && !known
}

// hasHandedOver reports whether a shard led here has handed a job over.
func (l *Launcher) hasHandedOver(id cawork.JobID) bool {
	j, ok := l.job(id)
	return ok && j.HandedTo != ""
}

// notifyWaiters wakes the callers that wait for a job.
func (l *Launcher) notifyWaiters(id cawork.JobID) {
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
