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

// OwnerEvent takes over what happened to an upstream.
func (l *Launcher) OwnerEvent(e caowner.Event) { l.post(func() { l.ownerEvent(e) }) }

func (l *Launcher) ownerEvent(e caowner.Event) {
	switch e.Kind {
	case caowner.EventKindGained:
		l.gained(e)
	case caowner.EventKindTasksChanged:
		l.tasksChanged(e)
	case caowner.EventKindLeaving:
		if l.table.Owns(e.Upstream) {
			l.Scheduler.PutUpstream(describe(e.VM, true), l.now())
		}
	case caowner.EventKindLost, caowner.EventKindReleased, caowner.EventKindUnlisted:
		l.disown(e.Upstream)
	case caowner.EventKindListed, caowner.EventKindRequestsEnded:
	}
}

// disown leaves an upstream to its next owner, with the tasks of other entries
// there: nobody tells their ends here any more, nor whether one has started
// whose start was not answered.
func (l *Launcher) disown(u cawork.UpstreamID) {
	l.table.Drop(u)
	l.Scheduler.RemoveUpstream(u, l.now())
	for task, a := range l.foreign {
		if a.upstream == u {
			l.withdrawForeign(task, a.id)
		}
	}
}

// UpstreamListed takes over what the platform lists of an owned upstream: a
// VM that was leaving may have come back.
func (l *Launcher) UpstreamListed(vm caplatform.VM) {
	l.post(func() {
		if l.table.Owns(cawork.UpstreamID(vm.ID)) {
			l.putUpstream(vm)
		}
	})
}

func describe(vm caplatform.VM, leaving bool) casched.Upstream {
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

// gained adopts what runs on an upstream that this entry now owns.
func (l *Launcher) gained(e caowner.Event) {
	l.table.Gain(e.Upstream, e.Tasks)
	l.putUpstream(e.VM)
	listed := make(map[cawork.AttemptID]struct{}, len(e.Tasks))
	for _, s := range e.Tasks {
		listed[s.Attempt] = struct{}{}
		if s.State == cawork.TaskStateRunning {
			l.adopt(e.Upstream, s)
		}
		l.observe(e.Upstream, s)
	}
	l.missing(e.Upstream, listed)
}

func (l *Launcher) adopt(u cawork.UpstreamID, s caplatform.TaskStatus) {
	l.Scheduler.Adopt(s, u, l.now())
	if _, tracked := l.attempts[s.Attempt]; !tracked {
		l.foreign.put(s.Task, s.Attempt, u)
	}
	caevent.Info(l.Logger, caevent.TaskAdopted).Str("task", s.Task.String()).Str("attempt", string(s.Attempt)).
		Str("upstream", string(u)).Str("shard", string(s.Shard)).Send()
}

// missing handles attempts that were taken for running on an upstream whose
// agent does not know them any more: the agent has lost its memory, and what
// ran there has ended with it.
func (l *Launcher) missing(u cawork.UpstreamID, listed map[cawork.AttemptID]struct{}) {
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
		l.foreignChanged(s)
		l.observeUntracked(e.Upstream, s)
	}
}

// owners returns the other entries that may own upstreams on which attempts of
// the led shards run: those of the zone, and those of the others once a shard
// was taken over from another zone, whose own entries could not hold a copy.
func (l *Launcher) owners() []Owner {
	owners := l.Directory.ZoneOwners()
	if l.hasFarAttempts() {
		owners = slices.Concat(owners, l.Directory.FarOwners())
	}
	return owners
}

func (l *Launcher) hasFarAttempts() bool {
	for _, a := range l.attempts {
		if vm, known := l.Directory.Upstream(a.upstream); known && vm.Zone != l.Zone {
			return true
		}
	}
	return false
}

// pollOwners asks the other owners of the zone what became of the attempts of
// the led shards.
func (l *Launcher) pollOwners() {
	for _, o := range l.owners() {
		if _, busy := l.polling[o.VM]; busy {
			continue
		}
		l.polling[o.VM] = struct{}{}
		request := l.pollRequest(o.VM)
		l.background(func(ctx context.Context) func() {
			reply, err := l.Peers.Poll(ctx, o.VM, request)
			return func() { l.polled(o.VM, reply, err) }
		})
	}
}

// pollPause returns the time between two polls. The attempts on owned upstreams
// are followed by heartbeats.
func (l *Launcher) pollPause() time.Duration {
	for _, a := range l.attempts {
		if !l.table.Owns(a.upstream) {
			return pollPeriod
		}
	}
	return calmPollPeriod
}

func (l *Launcher) pollRequest(owner cawork.VMID) PollRequest {
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

func (l *Launcher) polled(owner cawork.VMID, reply PollReply, err error) {
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
}

// HandlePoll tells the primary of a shard what changed on the upstreams that
// are owned here.
func (l *Launcher) HandlePoll(ctx context.Context, r PollRequest) (PollReply, error) {
	var reply PollReply
	ok := l.ask(ctx, func() {
		for _, s := range r.Shards {
			changes := l.table.Since(s.Shard, s.Cursor)
			reply.Shards = append(reply.Shards, ShardChanges{Shard: s.Shard, Changes: changes})
		}
	})
	if !ok {
		return PollReply{}, cakind.New(cakind.KindUnavailable, "entry %s has ended", l.Self)
	}
	return reply, nil
}
