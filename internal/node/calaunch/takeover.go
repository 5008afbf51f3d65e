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

// maxFences bounds the fences that are under way at once.
const maxFences = 32

// ShardEvent takes over what happened to the lead of a shard.
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

// takeOver fences a shard at every upstream of the zone before anything of it
// starts again.
func (l *Launcher) takeOver(e cashard.Event) {
	led := &ledShard{id: e.Shard, since: e.View.Number, unanswered: make(map[cawork.UpstreamID]struct{})}
	l.led[e.Shard] = led
	upstreams := l.Directory.ZoneUpstreams()
	for _, vm := range upstreams {
		led.unanswered[cawork.UpstreamID(vm.ID)] = struct{}{}
	}
	rebuilt := false
	l.readState(e.Shard, func(s *cajob.State) { rebuilt = s.IsRebuilt() })
	l.calls.Go(func() {
		answers := l.fenceAll(e.Shard, e.View.Number, upstreams)
		if rebuilt {
			// Attempts that the log lacks may run on any upstream.
			answers = l.fenceRest(e, upstreams, answers)
			l.post(func() { l.reclaim(led, answers) })
			return
		}
		l.post(func() { l.recover(led, answers) })
	})
}

// fenceRest goes on until every upstream of the zone has answered or is gone.
func (l *Launcher) fenceRest(e cashard.Event, upstreams []caplatform.VM, answers []cajob.FenceAnswer) []cajob.FenceAnswer {
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

// fenceAll fences a shard at the upstreams and returns the answers. Upstreams
// that did not answer are left out.
func (l *Launcher) fenceAll(shard cawork.ShardID, view int64, upstreams []caplatform.VM) []cajob.FenceAnswer {
	var mu sync.Mutex
	var answers []cajob.FenceAnswer
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxFences)
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

// recover takes over the jobs of a shard after its upstreams were fenced.
func (l *Launcher) recover(led *ledShard, answers []cajob.FenceAnswer) {
	if l.led[led.id] != led {
		return
	}
	for _, a := range answers {
		delete(led.unanswered, a.Upstream)
	}
	// Without the allowance of the shard its tasks would seem to exceed a limit.
	l.refreshAllowances()
	var recovery cajob.Recovery
	var jobs []cajob.Job
	l.readState(led.id, func(s *cajob.State) {
		recovery = s.Settle(l.now(), answers, nil)
		jobs = s.OpenJobs()
	})
	byTask := make(map[cawork.TaskRef]cajob.Resolution, len(recovery.Resolutions))
	for _, r := range recovery.Resolutions {
		byTask[r.Attempt.Task] = r
	}
	for _, j := range jobs {
		if shardOf(j.Job.ID) != led.id {
			l.homes[j.Job.ID] = led.id
		}
		l.restore(j, byTask)
	}
	led.recovered = true
	for _, r := range recovery.Resolutions {
		l.resume(led.id, r)
	}
	// What changed on the owned upstreams since they were fenced was told while
	// nothing of the shard was tracked here.
	for _, o := range l.table.Since(led.id, catask.Cursor{}).Observations {
		l.observe(o.Upstream, o.Status)
	}
	for _, o := range recovery.Orphans {
		l.stopAt(o.Upstream, o.Attempt, caplatform.StopModeStop)
	}
	for _, j := range jobs {
		if j.Canceled {
			l.canceled(j.Job.ID)
		}
		l.reconcile(j.Job.ID)
	}
	caevent.Info(l.Logger, caevent.ShardTakenOver).Str("shard", string(led.id)).Int("jobs", len(jobs)).
		Int("attempts", len(recovery.Resolutions)).Int("unanswered", len(led.unanswered)).Send()
}

// restore hands a job of a shard that was taken over to the scheduler.
func (l *Launcher) restore(j cajob.Job, resolutions map[cawork.TaskRef]cajob.Resolution) {
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

// resume goes on with an open attempt of a shard that was taken over.
func (l *Launcher) resume(shard cawork.ShardID, r cajob.Resolution) {
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

// refence tries again to fence the upstreams that did not answer.
func (l *Launcher) refence() {
	for id, led := range l.led {
		_, ok := l.Shards.MayAct(id)
		if !ok || !led.recovered || len(led.unanswered) == 0 {
			continue
		}
		var missing []caplatform.VM
		for u := range led.unanswered {
			vm, listed := l.Directory.Upstream(u)
			if !listed || vm.State == caplatform.VMStateGone {
				delete(led.unanswered, u)
				continue
			}
			missing = append(missing, vm)
		}
		l.calls.Go(func() {
			answers := l.fenceAll(id, led.since, missing)
			l.post(func() { l.refenced(led, answers) })
		})
	}
}

func (l *Launcher) refenced(led *ledShard, answers []cajob.FenceAnswer) {
	for _, a := range answers {
		delete(led.unanswered, a.Upstream)
		for _, s := range a.Tasks {
			l.observe(a.Upstream, s)
		}
	}
}

// dropShard forgets a shard that another entry leads from now on. Its tasks on
// owned upstreams go on as tasks of another entry.
func (l *Launcher) dropShard(id cawork.ShardID) {
	delete(l.led, id)
	maps.DeleteFunc(l.cursors, func(t pollTarget, _ catask.Cursor) bool { return t.shard == id })
	var dropped []*attempt
	for _, a := range l.attempts {
		if a.shard == id {
			dropped = append(dropped, a)
			l.forget(a)
			l.Scheduler.Withdrawn(a.task, l.now())
		}
	}
	for _, a := range dropped {
		// A job that is already over at the scheduler needs no cancellation.
		_, _ = l.Scheduler.Cancel(a.task.Job, l.now())
		l.wake(a.task.Job)
	}
	for _, a := range dropped {
		if status, ok := l.table.Find(a.upstream, a.id); ok && status.State == cawork.TaskStateRunning {
			l.Scheduler.Adopt(status, a.upstream, l.now())
			l.foreign.put(a.task, a.id, a.upstream)
		}
	}
	maps.DeleteFunc(l.homes, func(_ cawork.JobID, s cawork.ShardID) bool { return s == id })
}
