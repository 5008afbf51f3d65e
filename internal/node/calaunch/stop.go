package calaunch

import (
	"context"
	"fmt"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// stopAttempt asks the upstream of a running attempt to stop, checkpoint or
// throttle it. It has no effect on an attempt that is not running yet; if the
// job is canceled, the attempt is stopped once it runs.
func (l *Launcher) stopAttempt(a *attempt, mode caplatform.StopMode) {
	if a.phase != phaseRunning || a.stopping {
		return
	}
	a.stopping = mode == caplatform.StopModeStop
	call := ControlCall{Upstream: a.upstream, Attempt: a.id, Task: a.task, Mode: mode}
	l.controlAttempt(call, func(status caplatform.TaskStatus, err error) {
		if err != nil {
			a.stopping = false
			return
		}
		l.observe(a.upstream, status)
	})
}

// stopForeign stops, checkpoints or throttles a task of another entry on an
// owned upstream.
func (l *Launcher) stopForeign(p casched.Placement, mode caplatform.StopMode) {
	id, ok := l.table.FindRunningAttempt(p.Upstream, p.Task)
	if !ok {
		return
	}
	l.controlAttempt(ControlCall{Upstream: p.Upstream, Attempt: id, Task: p.Task, Mode: mode}, func(caplatform.TaskStatus, error) {})
}

func (l *Launcher) stopByID(u cawork.UpstreamID, id cawork.AttemptID, mode caplatform.StopMode) {
	l.controlAttempt(ControlCall{Upstream: u, Attempt: id, Mode: mode}, func(caplatform.TaskStatus, error) {})
}

// controlAttempt executes a call on an owned upstream, or sends it to the owner
// of the upstream.
func (l *Launcher) controlAttempt(call ControlCall, onResult func(caplatform.TaskStatus, error)) {
	if l.table.Owns(call.Upstream) {
		l.controlLocal(call, onResult)
		return
	}
	owners := l.attemptOwners()
	l.runInBackground(func(ctx context.Context) func() {
		status, err := l.controlRemote(ctx, owners, call)
		return func() { onResult(status, err) }
	})
}

func (l *Launcher) controlLocal(call ControlCall, onResult func(caplatform.TaskStatus, error)) {
	known, ok := l.table.FindAttempt(call.Upstream, call.Attempt)
	if ok && call.Resolve {
		onResult(l.resolved(call, known), nil)
		return
	}
	lease, owned := l.Leases.Lease(call.Upstream)
	vm, listed := l.Directory.Upstream(call.Upstream)
	if !owned || !listed {
		onResult(caplatform.TaskStatus{}, cakind.New(cakind.KindFenced, "upstream %s is not owned here", call.Upstream))
		return
	}
	agent := l.Agents.Agent(vm.Address)
	stop := caplatform.Stop{Epoch: lease.Epoch, Attempt: call.Attempt, Mode: call.Mode}
	l.runInBackground(func(ctx context.Context) func() {
		status, err := agent.Stop(ctx, stop)
		return func() {
			if err == nil {
				l.endForeign(call.Task, call.Attempt, status)
			}
			onResult(l.resolved(call, status), err)
		}
	})
}

// controlRemote asks the other entries in turn until the owner answers.
func (l *Launcher) controlRemote(ctx context.Context, owners []Owner, call ControlCall) (caplatform.TaskStatus, error) {
	var lastErr error = cakind.New(cakind.KindUnavailable, "no entry owns upstream %s", call.Upstream)
	for _, o := range owners {
		status, err := l.Peers.Control(ctx, o.VM, call)
		if err == nil {
			return status, nil
		}
		if cakind.Of(err) != cakind.KindFenced {
			lastErr = err
		}
	}
	return caplatform.TaskStatus{}, lastErr
}

// HandleControl executes a call on an attempt for the primary of its shard.
func (l *Launcher) HandleControl(ctx context.Context, call ControlCall) (caplatform.TaskStatus, error) {
	operation := fmt.Sprintf("act on attempt %s", call.Attempt)
	return await(ctx, l, operation, func(answer func(caplatform.TaskStatus, error)) {
		if !l.table.Owns(call.Upstream) {
			answer(caplatform.TaskStatus{}, cakind.New(cakind.KindFenced, "upstream %s is not owned here", call.Upstream))
			return
		}
		l.controlLocal(call, answer)
	})
}

// resolveAttempts queries the state of attempts whose starts were not answered.
func (l *Launcher) resolveAttempts() {
	for _, a := range l.attempts {
		if a.phase == phaseUnresolved {
			l.resolveAttempt(a)
		}
	}
}

// resolveAttempt queries the state of an attempt.
func (l *Launcher) resolveAttempt(a *attempt) {
	if a.resolving {
		return
	}
	a.resolving = true
	asked := l.now()
	call := ControlCall{
		Upstream: a.upstream, Attempt: a.id, Task: a.task, Mode: caplatform.StopModeStop, Resolve: true,
		Age: asked.Sub(a.trackedSince),
	}
	l.controlAttempt(call, func(status caplatform.TaskStatus, err error) {
		a.resolving = false
		if err == nil && l.attempts[a.id] == a {
			l.attemptResolved(a, status, asked)
		}
	})
}

// attemptResolved handles the state of an attempt at the time asked.
func (l *Launcher) attemptResolved(a *attempt, s caplatform.TaskStatus, asked time.Time) {
	isForgotten := s.State == cawork.TaskStateLapsed && s.Task == cawork.TaskRef{}
	switch {
	case a.phase != phaseUnresolved && a.phase != phaseRunning:
	case isForgotten || a.phase == phaseRunning && s.State == cawork.TaskStateFenced:
		l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateLapsed}, false)
	case s.State == cawork.TaskStateFenced:
		l.settle(a, s, true)
	default:
		a.seenAt = asked
		l.observe(a.upstream, s)
	}
}

// settleGone settles attempts on upstreams that are permanently gone: nothing
// runs there any more.
func (l *Launcher) settleGone() {
	for _, a := range l.attempts {
		if a.phase == phaseIntended || a.phase == phaseSettling {
			continue
		}
		if l.Directory.IsGone(a.upstream) {
			l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateLapsed}, false)
		}
	}
}

// Cancel cancels a job, whichever entry leads it.
func (l *Launcher) Cancel(ctx context.Context, call CancelCall) error {
	err := l.HandleCancel(ctx, call)
	for _, vm := range l.Directory.Entries() {
		if err == nil || cakind.Of(err) != cakind.KindNotFound {
			return err
		}
		err = l.Peers.CancelJob(ctx, vm, call)
	}
	return err
}

// HandleCancel cancels a job led here.
func (l *Launcher) HandleCancel(ctx context.Context, call CancelCall) error {
	operation := fmt.Sprintf("cancel job %s", call.Job)
	_, err := await(ctx, l, operation, func(answer func(struct{}, error)) {
		l.cancelJob(call, func(err error) { answer(struct{}{}, err) })
	})
	return err
}

func (l *Launcher) cancelJob(call CancelCall, answer func(error)) {
	j, ok := l.job(call.Job)
	switch {
	case !ok || j.HandedTo != "" || j.Job.Team != call.Team || (call.Queue != "" && j.Job.Spec.Queue != call.Queue):
		answer(cakind.New(cakind.KindNotFound, "no job %s of team %s", call.Job, call.Team))
		return
	case !j.IsOpen() || j.Canceled:
		answer(nil)
		return
	}
	record := cajob.Record{Type: cajob.RecordJobCanceled, JobCanceled: &cajob.JobCanceled{Job: call.Job}}
	err := l.propose(l.currentShard(call.Job), record, func(err error) {
		if err == nil {
			l.jobCanceled(call.Job)
		}
		answer(err)
	})
	if err != nil {
		answer(err)
	}
}

func (l *Launcher) jobCanceled(id cawork.JobID) {
	cancellation, err := l.Scheduler.Cancel(id, l.now())
	if err != nil {
		caevent.Warn(l.Logger, caevent.TaskStopped).Str("job", string(id)).AnErr("error", err).Send()
	}
	for _, p := range cancellation.Running {
		if a, ok := l.byTask[p.Task]; ok {
			l.stopAttempt(a, caplatform.StopModeStop)
		}
	}
	l.reconcile(id)
}

func (l *Launcher) isCanceled(a *attempt) bool {
	canceled := false
	l.readState(a.shard, func(s *cajob.State) { canceled = s.IsCanceled(a.task.Job) })
	return canceled
}

// job returns a job of a led shard. This entry may also have taken over the
// shard that a job was handed over to, so all led shards are searched.
func (l *Launcher) job(id cawork.JobID) (cajob.Job, bool) {
	j, ok := l.jobIn(l.currentShard(id), id)
	if ok && j.HandedTo == "" {
		return j, true
	}
	for shard := range l.led {
		if other, found := l.jobIn(shard, id); found && other.HandedTo == "" {
			return other, true
		}
	}
	return j, ok
}

func (l *Launcher) jobIn(shard cawork.ShardID, id cawork.JobID) (cajob.Job, bool) {
	var j cajob.Job
	var ok bool
	l.readState(shard, func(s *cajob.State) { j, ok = s.Job(id) })
	return j, ok
}
