package calaunch

import (
	"context"
	"fmt"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// stopAttempt asks the upstream of a running attempt to stop, checkpoint or
// throttle it. An attempt that is still on its way is stopped once it runs.
func (l *Launcher) stopAttempt(a *attempt, mode caplatform.StopMode) {
	if a.phase != phaseRunning || a.stopping {
		return
	}
	a.stopping = mode == caplatform.StopModeStop
	call := ActCall{Upstream: a.upstream, Attempt: a.id, Task: a.task, Mode: mode}
	l.actOn(call, func(status caplatform.TaskStatus, err error) {
		if err != nil {
			a.stopping = false
			return
		}
		l.observe(a.upstream, status)
	})
}

// stopForeign acts on a task of another entry on an owned upstream.
func (l *Launcher) stopForeign(p casched.Placement, mode caplatform.StopMode) {
	id, ok := l.table.FindTask(p.Upstream, p.Task)
	if !ok {
		return
	}
	l.actOn(ActCall{Upstream: p.Upstream, Attempt: id, Task: p.Task, Mode: mode}, func(caplatform.TaskStatus, error) {})
}

func (l *Launcher) stopAt(u cawork.UpstreamID, id cawork.AttemptID, mode caplatform.StopMode) {
	l.actOn(ActCall{Upstream: u, Attempt: id, Mode: mode}, func(caplatform.TaskStatus, error) {})
}

// actOn acts on an attempt at an owned upstream, or asks its owner to.
func (l *Launcher) actOn(call ActCall, then func(caplatform.TaskStatus, error)) {
	if l.table.Owns(call.Upstream) {
		l.actLocal(call, then)
		return
	}
	owners := l.owners()
	l.background(func(ctx context.Context) func() {
		status, err := l.actRemote(ctx, owners, call)
		return func() { then(status, err) }
	})
}

func (l *Launcher) actLocal(call ActCall, then func(caplatform.TaskStatus, error)) {
	known, ok := l.table.Find(call.Upstream, call.Attempt)
	if ok && call.Resolve {
		then(known, nil)
		return
	}
	lease, owned := l.Leases.Lease(call.Upstream)
	vm, listed := l.Directory.Upstream(call.Upstream)
	if !owned || !listed {
		then(caplatform.TaskStatus{}, cakind.New(cakind.KindFenced, "upstream %s is not owned here", call.Upstream))
		return
	}
	agent := l.Agents.Agent(vm.Address)
	stop := caplatform.Stop{Epoch: lease.Epoch, Attempt: call.Attempt, Mode: call.Mode}
	l.background(func(ctx context.Context) func() {
		status, err := agent.Stop(ctx, stop)
		return func() {
			if err == nil {
				l.endForeign(call.Task, call.Attempt, status)
			}
			then(status, err)
		}
	})
}

// actRemote asks the other entries in turn until the owner answers.
func (l *Launcher) actRemote(ctx context.Context, owners []Owner, call ActCall) (caplatform.TaskStatus, error) {
	var last error = cakind.New(cakind.KindUnavailable, "no entry owns upstream %s", call.Upstream)
	for _, o := range owners {
		status, err := l.Peers.Act(ctx, o.VM, call)
		if err == nil {
			return status, nil
		}
		if cakind.Of(err) != cakind.KindFenced {
			last = err
		}
	}
	return caplatform.TaskStatus{}, last
}

// HandleAct acts on an attempt for the primary of its shard.
func (l *Launcher) HandleAct(ctx context.Context, call ActCall) (caplatform.TaskStatus, error) {
	what := fmt.Sprintf("act on attempt %s", call.Attempt)
	return await(ctx, l, what, func(answer func(caplatform.TaskStatus, error)) {
		if !l.table.Owns(call.Upstream) {
			answer(caplatform.TaskStatus{}, cakind.New(cakind.KindFenced, "upstream %s is not owned here", call.Upstream))
			return
		}
		l.actLocal(call, answer)
	})
}

// resolveAttempts asks what became of starts whose answers were lost.
func (l *Launcher) resolveAttempts() {
	for _, a := range l.attempts {
		if a.phase != phaseUnresolved || a.resolving {
			continue
		}
		a.resolving = true
		call := ActCall{Upstream: a.upstream, Attempt: a.id, Task: a.task, Mode: caplatform.StopModeStop, Resolve: true}
		l.actOn(call, func(status caplatform.TaskStatus, err error) {
			a.resolving = false
			if err == nil && a.phase == phaseUnresolved {
				l.observe(a.upstream, status)
			}
		})
	}
}

// settleGone settles attempts on upstreams that the platform lists as gone for
// good: nothing runs there any more.
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

// Cancel cancels a job, wherever it is led.
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

// HandleCancel cancels a job that is led here.
func (l *Launcher) HandleCancel(ctx context.Context, call CancelCall) error {
	what := fmt.Sprintf("cancel job %s", call.Job)
	_, err := await(ctx, l, what, func(answer func(struct{}, error)) {
		l.cancel(call, func(err error) { answer(struct{}{}, err) })
	})
	return err
}

func (l *Launcher) cancel(call CancelCall, answer func(error)) {
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
	err := l.propose(l.home(call.Job), record, func(err error) {
		if err == nil {
			l.canceled(call.Job)
		}
		answer(err)
	})
	if err != nil {
		answer(err)
	}
}

func (l *Launcher) canceled(id cawork.JobID) {
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

// job returns a job of a led shard. One that was handed over and has ended may
// be in a shard that was taken over since, so that all led ones are asked.
func (l *Launcher) job(id cawork.JobID) (cajob.Job, bool) {
	j, ok := l.jobIn(l.home(id), id)
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
