package caowner

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/coord/camember"
)

// LiveEntries returns the live entries of the zone among the members. A member
// that runs an incompatible version is left out: its leases keep what it owns,
// but it is assigned no upstream.
func LiveEntries(members []camember.Member, zone cawork.ZoneName) []Entry {
	var entries []Entry
	for _, m := range members {
		if m.Zone == zone && m.Liveness.Live() && !m.Foreign {
			entries = append(entries, Entry{VM: m.VM, Since: m.LiveSince, Unreachable: m.App.Unreachable})
		}
	}
	return entries
}

// Follow passes the VM list to ownership and membership, and the members to
// ownership, until the context ends.
func Follow(ctx context.Context, owner *Runner, members *camember.Membership, list *calist.Poller) error {
	changes, lists := members.Subscribe(), list.Subscribe()
	defer changes.Close()
	defer lists.Close()
	zone := members.Self().Zone
	setEntries := func() { owner.SetEntries(LiveEntries(members.Members(), zone)) }
	setEntries()
	lastUnreachable := map[cawork.VMID][]cawork.UpstreamID{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case c, ok := <-changes.C:
			if !ok {
				return nil
			}
			m := c.Member
			isRelevant := c.Cause != camember.CauseApp || !slices.Equal(lastUnreachable[m.VM], m.App.Unreachable)
			lastUnreachable[m.VM] = m.App.Unreachable
			if m.Zone == zone && isRelevant {
				setEntries()
			}
		case l, ok := <-lists.C:
			if !ok {
				return nil
			}
			members.SetListed(l.VMs)
			owner.SetUpstreams(l.VMs)
		}
	}
}
