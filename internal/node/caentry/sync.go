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

// stateSyncPeriod is the time between two exchanges of state with the other
// entries.
const stateSyncPeriod = 500 * time.Millisecond

func followOwnershipInputs(ctx context.Context, e *Entry) error {
	return caowner.Follow(ctx, e.ownership, e.members, e.vmList)
}

// forwardOwnershipEvents forwards ownership events of upstreams to the launcher
// and the dispatcher.
func (e *Entry) forwardOwnershipEvents(ctx context.Context) error {
	events := e.ownership.Subscribe()
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
			e.updateRoute(ev)
		}
	}
}

func (e *Entry) updateRoute(ev caowner.Event) {
	switch ev.Kind {
	case caowner.EventKindGained, caowner.EventKindRequestsEnded:
		e.dispatcher.PutUpstream(newRoute(ev, ev.VM.State != caplatform.VMStateLive))
	case caowner.EventKindLeaving:
		if lease, ok := e.ownership.Lease(ev.Upstream); ok {
			ev.Epoch, ev.FormerRequests = lease.Epoch, lease.FormerRequests
			e.dispatcher.PutUpstream(newRoute(ev, true))
		}
	case caowner.EventKindLost, caowner.EventKindReleased, caowner.EventKindUnlisted:
		e.dispatcher.RemoveUpstream(ev.Upstream)
	case caowner.EventKindListed, caowner.EventKindTasksChanged:
	}
}

func newRoute(ev caowner.Event, leaving bool) caroute.Upstream {
	return caroute.Upstream{
		ID: ev.Upstream, Zone: ev.VM.Zone, Address: ev.VM.Address, Slots: ev.VM.Slots,
		Connections: ev.VM.Connections, Epoch: ev.Epoch, Draining: leaving,
		FormerRequests: ev.FormerRequests,
	}
}

// applyPolicies applies each newly active configuration to the launcher and the
// dispatcher.
func (e *Entry) applyPolicies(ctx context.Context) error {
	for {
		changed := e.activeConfig.Changed()
		if view := e.activeConfig.View(); view.Version > 0 {
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

// syncState periodically publishes the state of this entry and applies the
// state published by other entries.
func (e *Entry) syncState(ctx context.Context) error {
	ticks := e.timer.Every(stateSyncPeriod)
	defer ticks.Close()
	lastStates := make(map[cawork.UpstreamID]caplatform.VMState)
	for {
		e.updateUpstreamStates(lastStates)
		e.members.SetLocal(e.localAppState(ctx))
		e.chooseFormat()
		e.applyPeerState()
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
	}
}

// updateUpstreamStates notifies the launcher and the dispatcher when the state
// of an owned upstream changed in the VM list. lastStates holds the states of
// the last notifications.
func (e *Entry) updateUpstreamStates(lastStates map[cawork.UpstreamID]caplatform.VMState) {
	for _, id := range e.ownership.Owned() {
		vm, listed := e.directory.Upstream(id)
		previous, seen := lastStates[id]
		if !listed || (seen && previous == vm.State) {
			continue
		}
		lastStates[id] = vm.State
		e.launcher.UpstreamListed(vm)
		if lease, ok := e.ownership.Lease(id); ok {
			ev := caowner.Event{Upstream: id, VM: vm, Epoch: lease.Epoch, FormerRequests: lease.FormerRequests}
			e.dispatcher.PutUpstream(newRoute(ev, vm.State != caplatform.VMStateLive))
		}
	}
}

func (e *Entry) localAppState(ctx context.Context) camember.AppState {
	load := e.launcher.Load(ctx)
	state := camember.AppState{
		ConfigVersion: int64(e.follower.Current().Version), Free: load.Free, LargestHole: load.LargestHole,
		QueueLength: load.QueuedTasks, OwnedUpstreams: len(e.ownership.Owned()),
		FreeSlots: e.dispatcher.FreeSlots(), Unreachable: e.ownership.Unreachable(),
	}
	for _, u := range load.TeamUses {
		state.TeamUse = append(state.TeamUse, camember.TeamUse{Team: u.Team, Use: u.Use})
	}
	for _, s := range e.shards.Statuses() {
		if s.Primary {
			state.Shards = append(state.Shards, camember.LedShard{Shard: s.Shard, View: s.View.Number, Backup: s.View.Backup.VM})
		}
	}
	return state
}

// applyPeerState passes the state published by other entries to the components.
func (e *Entry) applyPeerState() {
	others := e.directory.LivePeers()
	e.launcher.SetRemoteUse(e.directory.RemoteUse(e.ownership.Owned()))
	e.shards.SetCandidates(e.backupCandidates(others))
	e.shards.SetWitnesses(e.witnessOrder())
	peers := make([]cadispatch.Peer, 0, len(others))
	members := []cadedupe.Member{{ID: e.settings.VM, Incarnation: e.incarnation}}
	for _, m := range others {
		if m.Liveness == camember.LivenessAlive && m.Reach == camember.ReachDirect {
			e.follower.Offer(cafollow.Offer{VM: m.VM, Zone: m.Zone, Version: cafollow.Version(m.App.ConfigVersion)})
		}
		peers = append(peers, cadispatch.Peer{
			ID: m.VM, Zone: m.Zone, OwnsUpstreams: m.App.OwnedUpstreams > 0, FreeSlots: m.App.FreeSlots,
		})
		if m.Zone == e.settings.Zone {
			members = append(members, cadedupe.Member{ID: m.VM, Incarnation: int64(m.Incarnation)})
		}
	}
	e.dispatcher.SetPeers(peers)
	e.idempotencyKeys.SetMembers(members)
}

// backupCandidates lists the entries that may become backup of a shard: entries
// of the own zone first, each zone group ordered by rendezvous score.
func (e *Entry) backupCandidates(others []camember.Member) []cashard.Candidate {
	var list []cashard.Candidate
	for _, m := range others {
		if m.Liveness == camember.LivenessLeaving {
			continue
		}
		member := cashard.Member{VM: m.VM, Incarnation: int64(m.Incarnation)}
		list = append(list, cashard.Candidate{Member: member, Zone: m.Zone})
	}
	slices.SortFunc(list, func(a, b cashard.Candidate) int {
		if aLocal, bLocal := a.Zone == e.settings.Zone, b.Zone == e.settings.Zone; aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		key := string(e.settings.VM)
		return cmp.Compare(carendezvous.Score(key, b.Member.VM), carendezvous.Score(key, a.Member.VM))
	})
	return list
}

// witnessOrder lists the live upstreams of the zone by rendezvous rank for the
// shard of this entry.
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
