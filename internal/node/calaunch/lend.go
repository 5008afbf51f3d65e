package calaunch

import (
	"context"
	"sync"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// HandleReserve keeps room on the owned upstreams for tasks of another entry.
func (l *Launcher) HandleReserve(ctx context.Context, call ReserveCall) (ReserveReply, error) {
	var reply ReserveReply
	var err error
	ok := l.ask(ctx, func() {
		if l.draining {
			err = cakind.New(cakind.KindDraining, "entry %s is draining", l.Self)
			return
		}
		request := call.Request
		request.Expires = l.now().Add(call.TTL)
		reservation, failed := l.Scheduler.Reserve(request, l.now())
		reply.Upstreams, err = reservation.Upstreams, failed
	})
	if !ok {
		return ReserveReply{}, cakind.New(cakind.KindUnknown, "reservation %s is not answered in time", call.Request.ID)
	}
	return reply, err
}

// HandleRelease frees the room of a reservation.
func (l *Launcher) HandleRelease(_ context.Context, call ReleaseCall) error {
	l.post(func() { l.Scheduler.ReleaseReservation(call.ID, l.now()) })
	return nil
}

// HandleStartReserved starts attempts of another entry in the room that was
// kept for them.
func (l *Launcher) HandleStartReserved(ctx context.Context, call StartReservedCall) (StartReservedReply, error) {
	targets := make([]target, len(call.Starts))
	var err error
	ok := l.ask(ctx, func() { targets, err = l.commitReserved(call) })
	if !ok {
		return StartReservedReply{}, cakind.New(cakind.KindUnknown, "reservation %s is not answered in time", call.ID)
	}
	if err != nil {
		return StartReservedReply{}, err
	}
	reply := StartReservedReply{Results: make([]StartResult, len(targets))}
	var calls sync.WaitGroup
	for i, t := range targets {
		calls.Go(func() { reply.Results[i] = l.startForeign(ctx, t) })
	}
	calls.Wait()
	return reply, nil
}

// target is a foreign start with the agent that it goes to. A nil agent means
// that the upstream is not owned any more.
type target struct {
	agent    caplatform.Agent
	upstream cawork.UpstreamID
	start    caplatform.Start
}

// commitReserved turns a reservation into foreign tasks. The room is freed
// again for starts that fail.
func (l *Launcher) commitReserved(call StartReservedCall) ([]target, error) {
	if l.draining {
		return nil, cakind.New(cakind.KindDraining, "entry %s is draining", l.Self)
	}
	tasks := make([]cawork.TaskRef, 0, len(call.Starts))
	for _, s := range call.Starts {
		tasks = append(tasks, s.Start.Task)
	}
	if err := l.Scheduler.CommitReservation(call.ID, tasks, l.now()); err != nil {
		return nil, cakind.Wrap(cakind.KindNotStarted, err, "reservation %s", call.ID)
	}
	targets := make([]target, 0, len(call.Starts))
	for _, s := range call.Starts {
		l.foreign.put(s.Start.Task, s.Start.Attempt, s.Upstream)
		t := target{upstream: s.Upstream, start: s.Start}
		lease, owned := l.Leases.Lease(s.Upstream)
		if vm, listed := l.Directory.Upstream(s.Upstream); owned && listed {
			t.start.Epoch = lease.Epoch
			t.agent = l.Agents.Agent(vm.Address)
		}
		targets = append(targets, t)
	}
	return targets, nil
}

func (l *Launcher) startForeign(ctx context.Context, t target) StartResult {
	if t.agent == nil {
		l.post(func() { l.failForeign(t.start.Task, t.start.Attempt, true) })
		return StartResult{Failed: true, Kind: cakind.KindNotStarted}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	status, err := t.agent.Start(ctx, t.start)
	if err != nil {
		kind := cakind.Of(err)
		notRun := cakind.AnswerTo(kind).Execution == cakind.ExecutionNotRun
		l.post(func() {
			l.answered(t.upstream, err)
			l.failForeign(t.start.Task, t.start.Attempt, notRun)
		})
		return StartResult{Failed: true, Kind: kind}
	}
	l.post(func() {
		l.answered(t.upstream, nil)
		l.startedForeign(t, status)
	})
	return StartResult{Status: status}
}

func (l *Launcher) startedForeign(t target, status caplatform.TaskStatus) {
	if !l.table.Owns(t.upstream) {
		l.withdrawForeign(t.start.Task, t.start.Attempt)
		return
	}
	l.table.Update(t.upstream, []caplatform.TaskStatus{status})
	// A task that has not ended stays as it was placed.
	l.endForeign(t.start.Task, t.start.Attempt, status)
}
