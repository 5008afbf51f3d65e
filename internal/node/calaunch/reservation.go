package calaunch

import (
	"context"
	"sync"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// HandleReserve reserves capacity on the owned upstreams for tasks of another
// entry.
func (l *Launcher) HandleReserve(ctx context.Context, call ReserveCall) (ReserveReply, error) {
	var reply ReserveReply
	var err error
	ok := l.runOnLoop(ctx, func() {
		if l.draining {
			err = cakind.New(cakind.KindDraining, "entry %s is draining", l.Self)
			return
		}
		request := call.Request
		request.Expires = l.now().Add(call.TTL)
		reservation, reserveErr := l.Scheduler.Reserve(request, l.now())
		reply.Upstreams, err = reservation.Upstreams, reserveErr
	})
	if !ok {
		return ReserveReply{}, cakind.New(cakind.KindUnknown, "no answer for reservation %s in time", call.Request.ID)
	}
	return reply, err
}

// HandleRelease frees the capacity of a reservation.
func (l *Launcher) HandleRelease(_ context.Context, call ReleaseCall) error {
	l.post(func() { l.Scheduler.ReleaseReservation(call.ID, l.now()) })
	return nil
}

// HandleStartReserved starts attempts of another entry in the capacity reserved
// for them.
func (l *Launcher) HandleStartReserved(ctx context.Context, call StartReservedCall) (StartReservedReply, error) {
	targets := make([]startTarget, len(call.Starts))
	var err error
	ok := l.runOnLoop(ctx, func() { targets, err = l.commitReserved(call) })
	if !ok {
		return StartReservedReply{}, cakind.New(cakind.KindUnknown, "no answer for reservation %s in time", call.ID)
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

// startTarget is the start of a foreign task and the agent that receives it.
// The agent is nil if the upstream is no longer owned here.
type startTarget struct {
	agent    caplatform.Agent
	upstream cawork.UpstreamID
	start    caplatform.Start
}

// commitReserved converts a reservation into foreign tasks. The capacity of
// starts that fail is freed later.
func (l *Launcher) commitReserved(call StartReservedCall) ([]startTarget, error) {
	if l.draining {
		return nil, cakind.New(cakind.KindDraining, "entry %s is draining", l.Self)
	}
	tasks := make([]cawork.TaskRef, 0, len(call.Starts))
	for _, s := range call.Starts {
		tasks = append(tasks, s.Start.Task)
	}
	if err := l.Scheduler.CommitReservation(call.ID, tasks, l.now()); err != nil {
		return nil, cakind.Wrap(cakind.KindNotStarted, err, "commit reservation %s", call.ID)
	}
	targets := make([]startTarget, 0, len(call.Starts))
	for _, s := range call.Starts {
		l.foreignTasks.put(s.Start.Task, s.Start.Attempt, s.Upstream)
		t := startTarget{upstream: s.Upstream, start: s.Start}
		lease, owned := l.Leases.Lease(s.Upstream)
		if vm, listed := l.Directory.Upstream(s.Upstream); owned && listed {
			t.start.Epoch = lease.Epoch
			t.agent = l.Agents.Agent(vm.Address)
		}
		targets = append(targets, t)
	}
	return targets, nil
}

func (l *Launcher) startForeign(ctx context.Context, t startTarget) StartResult {
	if t.agent == nil {
		l.post(func() { l.foreignStartFailed(t.start.Task, t.start.Attempt, true) })
		return StartResult{Failed: true, Kind: cakind.KindNotStarted}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	status, err := t.agent.Start(ctx, t.start)
	if err != nil {
		kind := cakind.Of(err)
		notRun := cakind.ResponseTo(kind).Execution == cakind.ExecutionNotRun
		l.post(func() {
			l.updateStartBackoff(t.upstream, err)
			l.foreignStartFailed(t.start.Task, t.start.Attempt, notRun)
		})
		return StartResult{Failed: true, Kind: kind}
	}
	l.post(func() {
		l.updateStartBackoff(t.upstream, nil)
		l.foreignStarted(t, status)
	})
	return StartResult{Status: status}
}

func (l *Launcher) foreignStarted(t startTarget, status caplatform.TaskStatus) {
	if !l.table.Owns(t.upstream) {
		l.withdrawForeign(t.start.Task, t.start.Attempt)
		return
	}
	l.table.Update(t.upstream, []caplatform.TaskStatus{status})
	// A task that has not ended keeps its capacity.
	l.endForeign(t.start.Task, t.start.Attempt, status)
}
