package calaunch

import (
	"context"
	"maps"
	"slices"
	"sync"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/node/catask"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// maxConcurrentFences bounds the fence calls in flight.
const maxConcurrentFences = 32

// ShardEvent handles a change in the leadership of a shard.
func (l *Launcher) ShardEvent(e cashard.Event) {
	l.post(func() {
		switch e.Type {
		case cashard.EventTakenOver:
			l.takeOver(e)
		case cashard.EventDeposed, cashard.EventRetired:
			l.dropShard(e.Shard)
		case cashard.EventViewChanged:
		}
	})
}

// takeOver fences a shard at every upstream of the zone before any attempt of
// it is started again.
func (l *Launcher) takeOver(e cashard.Event) {
	led := &ledShard{id: e.Shard, firstView: e.View.Number, unfenced: make(map[cawork.UpstreamID]struct{})}
	l.led[e.Shard] = led
	upstreams := l.Directory.ZoneUpstreams()
	for _, vm := range upstreams {
		led.unfenced[cawork.UpstreamID(vm.ID)] = struct{}{}
	}
	rebuilt := false
	l.readState(e.Shard, func(s *cajob.State) { rebuilt = s.IsRebuilding() })
	l.calls.Go(func() {
		answers := l.fenceAll(e.Shard, e.View.Number, upstreams)
		if rebuilt {
			// Attempts missing from the log may run on any upstream.
			answers = l.fenceRemaining(e, upstreams, answers)
			l.post(func() { l.startRebuild(led, answers) })
			return
		}
		l.post(func() { l.recoverShard(led, answers) })
	})
}

// fenceRemaining repeats the fence calls until every upstream of the zone has
// answered or is gone.
func (l *Launcher) fenceRemaining(e cashard.Event, upstreams []caplatform.VM, answers []cajob.FenceAnswer) []cajob.FenceAnswer {
	for l.ctx.Err() == nil {
		missing := slices.DeleteFunc(slices.Clone(upstreams), func(vm caplatform.VM) bool {
			return l.Directory.IsGone(cawork.UpstreamID(vm.ID)) || slices.ContainsFunc(answers, func(a cajob.FenceAnswer) bool { return a.Upstream == cawork.UpstreamID(vm.ID) })
		})
		if len(missing) == 0 {
			return answers
		}
		l.sleep(l.ctx, pollPeriod)
		answers = append(answers, l.fenceAll(e.Shard, e.View.Number, missing)...)
	}
	return answers
}

// fenceAll fences a shard at the upstreams and returns the answers, without
// those of upstreams that did not answer.
func (l *Launcher) fenceAll(shard cawork.ShardID, view int64, upstreams []caplatform.VM) []cajob.FenceAnswer {
	var mu sync.Mutex
	var answers []cajob.FenceAnswer
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFences)
	for _, vm := range upstreams {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(l.ctx, startTimeout)
			defer cancel()
			tasks, err := l.Agents.Agent(vm.Address).Fence(ctx, caplatform.ShardFence{Shard: shard, View: view})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, cajob.FenceAnswer{Upstream: cawork.UpstreamID(vm.ID), View: view, Tasks: tasks})
		})
	}
	calls.Wait()
	return answers
}

// recoverShard takes over the jobs of a shard after its upstreams were fenced.
func (l *Launcher) recoverShard(led *ledShard, answers []cajob.FenceAnswer) {
	if l.led[led.id] != led {
		return
	}
	for _, a := range answers {
		delete(led.unfenced, a.Upstream)
	}
	// Without the allowance of the shard, its tasks would appear to exceed
	// the limit of their team.
	l.refreshAllowances()
	var recovery cajob.Recovery
	var jobs []cajob.Job
	l.readState(led.id, func(s *cajob.State) {
		recovery = s.ResolveAttempts(l.now(), answers, nil)
		jobs = s.OpenJobs()
	})
	byTask := make(map[cawork.TaskRef]cajob.Resolution, len(recovery.Resolutions))
	for _, r := range recovery.Resolutions {
		byTask[r.Attempt.Task] = r
	}
	for _, j := range jobs {
		if acceptingShard(j.Job.ID) != led.id {
			l.movedJobs[j.Job.ID] = led.id
		}
		l.restoreJob(j, byTask)
	}
	led.recovered = true
	for _, r := range recovery.Resolutions {
		l.resumeAttempt(led.id, r)
	}
	// Changes on owned upstreams after the fence calls were reported before
	// this entry tracked the attempts of the shard, so they are replayed.
	for _, o := range l.table.ChangesSince(led.id, catask.Cursor{}).Observations {
		l.observe(o.Upstream, o.Status)
	}
	for _, o := range recovery.Orphans {
		l.stopByID(o.Upstream, o.Attempt, caplatform.StopModeStop)
	}
	for _, j := range jobs {
		if j.Canceled {
			l.jobCanceled(j.Job.ID)
		}
		l.reconcile(j.Job.ID)
	}
	caevent.Info(l.Logger, caevent.ShardTakenOver).Str("shard", string(led.id)).Int("jobs", len(jobs)).
		Int("attempts", len(recovery.Resolutions)).Int("unanswered", len(led.unfenced)).Send()
}

// restoreJob passes a job of a shard that was taken over to the scheduler.
func (l *Launcher) restoreJob(j cajob.Job, resolutions map[cawork.TaskRef]cajob.Resolution) {
	restored := casched.RestoredJob{Job: j.Job}
	for i, t := range j.Tasks {
		task := casched.RestoredTask{Index: i, Attempts: t.Attempts, Outcome: t.Outcome}
		switch {
		case t.Open != "":
			open := resolutions[cawork.TaskRef{Job: j.Job.ID, Index: i}].Attempt
			task.Phase = casched.TaskPhaseOpen
			task.Upstream = open.Upstream
			task.Size = open.Charge
		case t.Outcome != cawork.OutcomePending:
			task.Phase = casched.TaskPhaseEnded
		}
		restored.Tasks = append(restored.Tasks, task)
	}
	if err := l.Scheduler.Restore(restored, l.now()); err != nil {
		caevent.Warn(l.Logger, caevent.JobRefused).Str("job", string(j.Job.ID)).AnErr("error", err).Send()
	}
}

// resumeAttempt continues an open attempt of a shard that was taken over.
func (l *Launcher) resumeAttempt(shard cawork.ShardID, r cajob.Resolution) {
	j, _ := l.job(r.Attempt.Task.Job)
	a := &attempt{
		id: r.Attempt.ID, task: r.Attempt.Task, shard: shard, team: r.Attempt.Team,
		kind: j.Job.Spec.Kind, size: r.Attempt.Charge, upstream: r.Attempt.Upstream, payload: j.Job.Spec.Payload,
	}
	l.track(a)
	switch r.Fate {
	case cajob.FateAdopt:
		a.phase = phaseRunning
		l.Scheduler.Started(a.task, l.now())
	case cajob.FateWait:
		a.phase = phaseUnresolved
	case cajob.FateSettle:
		status := caplatform.TaskStatus{State: r.Settled.State, Result: r.Settled.Result}
		l.settle(a, status, r.Settled.Observed)
	}
}

// retryFences fences the upstreams again that did not answer.
func (l *Launcher) retryFences() {
	for id, led := range l.led {
		_, ok := l.Shards.MayAct(id)
		if !ok || !led.recovered || len(led.unfenced) == 0 {
			continue
		}
		var missing []caplatform.VM
		for u := range led.unfenced {
			vm, listed := l.Directory.Upstream(u)
			if !listed || vm.State == caplatform.VMStateGone {
				delete(led.unfenced, u)
				continue
			}
			missing = append(missing, vm)
		}
		l.calls.Go(func() {
			answers := l.fenceAll(id, led.firstView, missing)
			l.post(func() { l.handleFenceAnswers(led, answers) })
		})
	}
}

func (l *Launcher) handleFenceAnswers(led *ledShard, answers []cajob.FenceAnswer) {
	for _, a := range answers {
		delete(led.unfenced, a.Upstream)
		for _, s := range a.Tasks {
			l.observe(a.Upstream, s)
		}
	}
}

// dropShard drops a shard that this entry no longer leads. Its tasks on owned
// upstreams continue as tasks of another entry.
func (l *Launcher) dropShard(id cawork.ShardID) {
	delete(l.led, id)
	maps.DeleteFunc(l.cursors, func(t pollTarget, _ catask.Cursor) bool { return t.shard == id })
	var dropped []*attempt
	for _, a := range l.attempts {
		if a.shard == id {
			dropped = append(dropped, a)
			l.untrack(a)
			l.Scheduler.Withdrawn(a.task, l.now())
		}
	}
	for _, a := range dropped {
		// A job that has already ended in the scheduler needs no
		// cancellation.
		_, _ = l.Scheduler.Cancel(a.task.Job, l.now())
		l.notifyWaiters(a.task.Job)
	}
	for _, a := range dropped {
		if status, ok := l.table.FindAttempt(a.upstream, a.id); ok && status.State == cawork.TaskStateRunning {
			l.Scheduler.Adopt(status, a.upstream, l.now())
			l.foreignTasks.put(a.task, a.id, a.upstream)
		}
	}
	maps.DeleteFunc(l.movedJobs, func(_ cawork.JobID, s cawork.ShardID) bool { return s == id })
}
