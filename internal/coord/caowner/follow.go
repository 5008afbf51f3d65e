package caowner

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/coord/camember"
)

// EntriesOf returns the live entries of the zone among the members.
func EntriesOf(members []camember.Member, zone cawork.ZoneName) []Entry {
	var entries []Entry
	for _, m := range members {
		if m.Zone == zone && m.Liveness.Live() {
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
	for {
		select {
		case <-ctx.Done():
			return nil
		case c, ok := <-changes.C:
			if !ok {
				return nil
			}
			if c.Member.Zone == zone {
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
