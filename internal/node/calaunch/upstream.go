package calaunch

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// OwnerEvent handles a change of the ownership or the tasks of an upstream.
func (l *Launcher) OwnerEvent(e caowner.Event) { l.post(func() { l.ownerEvent(e) }) }

func (l *Launcher) ownerEvent(e caowner.Event) {
	switch e.Kind {
	case caowner.EventKindGained:
		l.upstreamGained(e)
	case caowner.EventKindTasksChanged:
		l.tasksChanged(e)
	case caowner.EventKindLeaving:
		if l.table.Owns(e.Upstream) {
			l.Scheduler.PutUpstream(schedulerUpstream(e.VM, true), l.now())
		}
	case caowner.EventKindLost, caowner.EventKindReleased, caowner.EventKindUnlisted:
		l.dropUpstream(e.Upstream)
	case caowner.EventKindListed, caowner.EventKindRequestsEnded:
	}
}

// dropUpstream drops an upstream that this entry does not own any more, with
// the tasks of other entries on it: this entry no longer learns when they end,
// or whether a start without an answer took effect.
func (l *Launcher) dropUpstream(u cawork.UpstreamID) {
	l.table.RemoveUpstream(u)
	delete(l.ownedSince, u)
	l.Scheduler.RemoveUpstream(u, l.now())
	for task, a := range l.foreignTasks {
		if a.upstream == u {
			l.withdrawForeign(task, a.id)
		}
	}
}

// UpstreamListed updates an owned upstream from the list of the platform: a VM
// that was leaving may be live again.
func (l *Launcher) UpstreamListed(vm caplatform.VM) {
	l.post(func() {
		if l.table.Owns(cawork.UpstreamID(vm.ID)) {
			l.putUpstream(vm)
		}
	})
}

func schedulerUpstream(vm caplatform.VM, leaving bool) casched.Upstream {
	return casched.Upstream{
		ID:              cawork.UpstreamID(vm.ID),
		Zone:            vm.Zone,
		Rack:            vm.Rack,
		Capacity:        vm.Capacity,
		AcceleratorKind: vm.AcceleratorKind,
		Slots:           vm.Slots,
		Connections:     vm.Connections,
		Leaving:         leaving,
	}
}

// upstreamGained adopts the tasks that run on an upstream that this entry now
// owns.
func (l *Launcher) upstreamGained(e caowner.Event) {
	l.table.AddUpstream(e.Upstream, e.Tasks)
	l.ownedSince[e.Upstream] = l.now()
	l.putUpstream(e.VM)
	listed := make(map[cawork.AttemptID]struct{}, len(e.Tasks))
	for _, s := range e.Tasks {
		listed[s.Attempt] = struct{}{}
		if s.State == cawork.TaskStateRunning {
			l.adopt(e.Upstream, s)
		}
		l.observe(e.Upstream, s)
	}
	l.settleMissing(e.Upstream, listed)
}

func (l *Launcher) adopt(u cawork.UpstreamID, s caplatform.TaskStatus) {
	l.Scheduler.Adopt(s, u, l.now())
	if _, tracked := l.attempts[s.Attempt]; !tracked {
		l.foreignTasks.put(s.Task, s.Attempt, u)
	}
	caevent.Info(l.Logger, caevent.TaskAdopted).Str("task", s.Task.String()).Str("attempt", string(s.Attempt)).
		Str("upstream", string(u)).Str("shard", string(s.Shard)).Send()
}

// settleMissing settles running attempts that the agent of their upstream does
// not list: the agent has lost its state, and its tasks ended with it.
func (l *Launcher) settleMissing(u cawork.UpstreamID, listed map[cawork.AttemptID]struct{}) {
	for id, a := range l.attempts {
		if _, ok := listed[id]; ok || a.upstream != u || a.phase != phaseRunning {
			continue
		}
		l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateLapsed}, false)
	}
}

func (l *Launcher) tasksChanged(e caowner.Event) {
	l.table.Update(e.Upstream, e.Tasks)
	for _, s := range e.Tasks {
		if _, tracked := l.attempts[s.Attempt]; tracked {
			l.observe(e.Upstream, s)
			continue
		}
		l.foreignTaskChanged(s)
		l.observeUntracked(e.Upstream, s)
	}
}

// attemptOwners returns the other entries that may own upstreams with attempts
// of the led shards. These are the owners of the zone, and those of other zones
// while attempts run there: this entry may have taken over a shard from another
// zone whose own entries could not hold a copy.
func (l *Launcher) attemptOwners() []Owner {
	owners := l.Directory.ZoneOwners()
	if l.hasOtherZoneAttempts() {
		owners = slices.Concat(owners, l.Directory.OtherZoneOwners())
	}
	return owners
}

func (l *Launcher) hasOtherZoneAttempts() bool {
	for _, a := range l.attempts {
		if vm, known := l.Directory.Upstream(a.upstream); known && vm.Zone != l.Zone {
			return true
		}
	}
	return false
}

// pollOwners asks the other owners for changes to the attempts of the led
// shards.
func (l *Launcher) pollOwners() {
	for _, o := range l.attemptOwners() {
		if _, busy := l.polling[o.VM]; busy {
			continue
		}
		l.polling[o.VM] = struct{}{}
		request := l.newPollRequest(o.VM)
		l.runInBackground(func(ctx context.Context) func() {
			reply, err := l.Peers.Poll(ctx, o.VM, request)
			return func() { l.pollAnswered(o.VM, reply, err) }
		})
	}
}

// pollInterval returns the time between two polls. Heartbeats report the
// attempts on owned upstreams, which therefore need no poll.
func (l *Launcher) pollInterval() time.Duration {
	for _, a := range l.attempts {
		if !l.table.Owns(a.upstream) {
			return pollPeriod
		}
	}
	return idlePollPeriod
}

func (l *Launcher) newPollRequest(owner cawork.VMID) PollRequest {
	request := PollRequest{From: l.Self}
	for id := range l.led {
		view, ok := l.Shards.MayAct(id)
		if !ok {
			continue
		}
		cursor := l.cursors[pollTarget{owner: owner, shard: id}]
		request.Shards = append(request.Shards, ShardCursor{Shard: id, View: view, Cursor: cursor})
	}
	return request
}

func (l *Launcher) pollAnswered(owner cawork.VMID, reply PollReply, err error) {
	delete(l.polling, owner)
	if err != nil {
		return
	}
	for _, s := range reply.Shards {
		if led, ok := l.led[s.Shard]; !ok || !led.recovered {
			continue
		}
		l.cursors[pollTarget{owner: owner, shard: s.Shard}] = s.Changes.Cursor
		for _, o := range s.Changes.Observations {
			l.observe(o.Upstream, o.Status)
		}
	}
	for _, g := range reply.Gained {
		l.checkRunning(g.Upstream, l.now().Add(-g.Ago))
	}
}

// HandlePoll returns to the primary of a shard the changes on the upstreams
// owned here.
func (l *Launcher) HandlePoll(ctx context.Context, r PollRequest) (PollReply, error) {
	var reply PollReply
	ok := l.runOnLoop(ctx, func() {
		for _, s := range r.Shards {
			changes := l.table.ChangesSince(s.Shard, s.Cursor)
			reply.Shards = append(reply.Shards, ShardChanges{Shard: s.Shard, Changes: changes})
		}
		reply.Gained = l.gainedUpstreams()
	})
	if !ok {
		return PollReply{}, cakind.New(cakind.KindUnavailable, "entry %s has ended or did not answer in time", l.Self)
	}
	return reply, nil
}
