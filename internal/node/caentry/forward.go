package caentry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cafollow"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// publishPeriod is the time between two reports of the own state to others.
const publishPeriod = 500 * time.Millisecond

func followOwner(ctx context.Context, e *Entry) error {
	return caowner.Follow(ctx, e.owner, e.members, e.list)
}

// forwardOwnership tells the launcher and the dispatcher what happened to the
// upstreams.
func (e *Entry) forwardOwnership(ctx context.Context) error {
	events := e.owner.Subscribe()
	defer events.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev, ok := <-events.C:
			if !ok {
				return nil
			}
			e.launcher.OwnerEvent(ev)
			e.routeEvent(ev)
		}
	}
}

func (e *Entry) routeEvent(ev caowner.Event) {
	switch ev.Kind {
	case caowner.EventKindGained, caowner.EventKindRequestsEnded:
		e.dispatcher.PutUpstream(route(ev, ev.VM.State != caplatform.VMStateLive))
	case caowner.EventKindLeaving:
		if lease, ok := e.owner.Lease(ev.Upstream); ok {
			ev.Epoch, ev.FormerRequests = lease.Epoch, lease.FormerRequests
			e.dispatcher.PutUpstream(route(ev, true))
		}
	case caowner.EventKindLost, caowner.EventKindReleased, caowner.EventKindUnlisted:
		e.dispatcher.RemoveUpstream(ev.Upstream)
	case caowner.EventKindListed, caowner.EventKindTasksChanged:
	}
}

func route(ev caowner.Event, leaving bool) caroute.Upstream {
	return caroute.Upstream{
		ID: ev.Upstream, Zone: ev.VM.Zone, Address: ev.VM.Address, Slots: ev.VM.Slots,
		Connections: ev.VM.Connections, Epoch: ev.Epoch, Leaving: leaving,
		FormerRequests: ev.FormerRequests,
	}
}

// forwardPolicy tells the parts of each configuration that comes into force.
func (e *Entry) forwardPolicy(ctx context.Context) error {
	for {
		changed := e.active.Changed()
		if view := e.active.View(); view.Version > 0 {
			e.launcher.SetPolicy(schedulerPolicy(view.Config))
			e.dispatcher.SetPolicy(requestPolicy(view.Config))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// publish exchanges the state of the parts with that of the other entries.
func (e *Entry) publish(ctx context.Context) error {
	ticks := e.timer.Every(publishPeriod)
	defer ticks.Close()
	states := make(map[cawork.UpstreamID]caplatform.VMState)
	for {
		e.takeStates(states)
		e.members.SetLocal(e.appState(ctx))
		e.chooseFormat()
		e.takeOthers()
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
	}
}

// takeStates tells the parts when the listed state of an owned upstream
// changed. Known holds the states that they were told.
func (e *Entry) takeStates(known map[cawork.UpstreamID]caplatform.VMState) {
	for _, id := range e.owner.Owned() {
		vm, listed := e.directory.Upstream(id)
		before, told := known[id]
		if !listed || (told && before == vm.State) {
			continue
		}
		known[id] = vm.State
		e.launcher.UpstreamListed(vm)
		if lease, ok := e.owner.Lease(id); ok {
			ev := caowner.Event{Upstream: id, VM: vm, Epoch: lease.Epoch, FormerRequests: lease.FormerRequests}
			e.dispatcher.PutUpstream(route(ev, vm.State != caplatform.VMStateLive))
		}
	}
}

func (e *Entry) appState(ctx context.Context) camember.AppState {
	load := e.launcher.Load(ctx)
	state := camember.AppState{
		ConfigVersion: int64(e.follower.Current().Version), Free: load.Free, LargestHole: load.LargestHole,
		QueueLength: load.Queued, OwnedUpstreams: len(e.owner.Owned()),
		FreeSlots: e.dispatcher.FreeSlots(), Unreachable: e.owner.Unreachable(),
	}
	for _, u := range load.Uses {
		state.TeamUse = append(state.TeamUse, camember.TeamUse{Team: u.Team, Use: u.Use})
	}
	for _, s := range e.shards.Statuses() {
		if s.Primary {
			state.Shards = append(state.Shards, camember.LedShard{Shard: s.Shard, View: s.View.Number, Backup: s.View.Backup.VM})
		}
	}
	return state
}

// takeOthers tells the parts what the other entries reported.
func (e *Entry) takeOthers() {
	others := e.directory.Others()
	e.launcher.SetRemoteUse(e.directory.RemoteUse(e.owner.Owned()))
	e.shards.SetCandidates(e.candidates(others))
	e.shards.SetWitnesses(e.witnessOrder())
	peers := make([]cadispatch.Peer, 0, len(others))
	members := []cadedupe.Member{{ID: e.settings.VM, Incarnation: e.life}}
	for _, m := range others {
		if m.Liveness == camember.LivenessAlive && m.Reach == camember.ReachDirect {
			e.follower.Offer(cafollow.Offer{VM: m.VM, Zone: m.Zone, Version: cafollow.Version(m.App.ConfigVersion)})
		}
		peers = append(peers, cadispatch.Peer{
			ID: m.VM, Zone: m.Zone, Owns: m.App.OwnedUpstreams > 0, FreeSlots: m.App.FreeSlots,
		})
		if m.Zone == e.settings.Zone {
			members = append(members, cadedupe.Member{ID: m.VM, Incarnation: int64(m.Incarnation)})
		}
	}
	e.dispatcher.SetPeers(peers)
	e.keys.SetMembers(members)
}

// candidates lists the entries that may back up a shard, those of the own zone
// first, each part in the order of rendezvous ranks.
func (e *Entry) candidates(others []camember.Member) []cashard.Candidate {
	var list []cashard.Candidate
	for _, m := range others {
		if m.Liveness == camember.LivenessLeaving {
			continue
		}
		member := cashard.Member{VM: m.VM, Incarnation: int64(m.Incarnation)}
		list = append(list, cashard.Candidate{Member: member, Zone: m.Zone})
	}
	slices.SortFunc(list, func(a, b cashard.Candidate) int {
		if near, far := a.Zone == e.settings.Zone, b.Zone == e.settings.Zone; near != far {
			if near {
				return -1
			}
			return 1
		}
		name := string(e.settings.VM)
		return cmp.Compare(carendezvous.Score(name, b.Member.VM), carendezvous.Score(name, a.Member.VM))
	})
	return list
}

// witnessOrder lists the live upstreams of the zone in the order of rendezvous
// ranks for the own shard.
func (e *Entry) witnessOrder() []cawork.UpstreamID {
	var ids []cawork.VMID
	for _, vm := range e.directory.ZoneUpstreams() {
		if vm.State == caplatform.VMStateLive {
			ids = append(ids, vm.ID)
		}
	}
	var order []cawork.UpstreamID
	for _, id := range carendezvous.Rank(string(e.settings.VM), ids) {
		order = append(order, cawork.UpstreamID(id))
	}
	return order
}
