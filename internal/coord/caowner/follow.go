package caowner

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/coord/camember"
)

// EntriesOf returns the live entries of the zone among the members. An entry of
// a foreign version keeps what it holds by its leases, and competes for no more.
func EntriesOf(members []camember.Member, zone cawork.ZoneName) []Entry {
	var entries []Entry
	for _, m := range members {
		if m.Zone == zone && m.Liveness.Live() && !m.Foreign {
			entries = append(entries, Entry{VM: m.VM, Since: m.LiveSince, Unreachable: m.App.Unreachable})
		}
	}
	return entries
}

// Follow feeds ownership and membership from each other and from the VM list
// until the context ends.
func Follow(ctx context.Context, owner *Part, members *camember.Part, list *calist.Part) error {
	changes, lists := members.Subscribe(), list.Subscribe()
	defer changes.Close()
	defer lists.Close()
	zone := members.Self().Zone
	set := func() { owner.SetEntries(EntriesOf(members.Members(), zone)) }
	set()
	unreachable := map[cawork.VMID][]cawork.UpstreamID{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case c, ok := <-changes.C:
			if !ok {
				return nil
			}
			m := c.Member
			matters := c.Cause != camember.CauseApp || !slices.Equal(unreachable[m.VM], m.App.Unreachable)
			unreachable[m.VM] = m.App.Unreachable
			if m.Zone == zone && matters {
				set()
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
