package cadirectory

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// maxListAge is the age up to which a list includes every entry that may own an
// upstream. The platform lists an entry for longer than that.
const maxListAge = 8 * time.Second

// ownerTracker tracks the entries of a zone that may own upstreams. The caller
// passes in the time, the list and the running entries.
type ownerTracker struct {
	// updatedAt is the time of the last update. Since unbrokenSince, updates and
	// lists have arrived without a gap.
	updatedAt     time.Time
	unbrokenSince time.Time
	// running holds the entries that may have been running at the last update;
	// endedAt holds the time at which each other entry was first found ended.
	running []cawork.VMID
	endedAt map[cawork.VMID]time.Time
}

func newOwnerTracker() ownerTracker { return ownerTracker{endedAt: make(map[cawork.VMID]time.Time)} }

// update records the entries that may be running.
func (t *ownerTracker) update(now time.Time, list calist.Snapshot, running []cawork.VMID) {
	if now.Sub(t.updatedAt) > maxListAge || now.Sub(list.At) > maxListAge {
		t.unbrokenSince = now
	}
	t.updatedAt = now
	for _, vm := range t.running {
		t.endedAt[vm] = now
	}
	for _, vm := range running {
		delete(t.endedAt, vm)
	}
	t.running = running
}

// covers reports whether only the entries of the last update can have run within
// the window before it.
func (t *ownerTracker) covers(window time.Duration) bool {
	for vm, at := range t.endedAt {
		if t.updatedAt.Sub(at) < window {
			return false
		}
		delete(t.endedAt, vm)
	}
	return t.updatedAt.Sub(t.unbrokenSince) >= window
}

// PossibleOwners implements calaunch.Directory. It must be called every few
// seconds: entries that ran between two calls further apart may be missed.
func (d *Directory) PossibleOwners(now time.Time, window time.Duration) ([]cawork.VMID, bool) {
	running := d.runningInZone()
	last := d.list.Last()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.update(now, last, running)
	return running, d.tracker.covers(window)
}

// runningInZone returns the other entries of the zone that may be running.
func (d *Directory) runningInZone() []cawork.VMID {
	zones := make(map[cawork.VMID]cawork.ZoneName)
	for _, listed := range d.list.Last().VMs {
		if listed.Role == caplatform.VMRoleEntry {
			zones[listed.ID] = listed.Zone
		}
	}
	for _, m := range d.allMembers() {
		zones[m.VM] = m.Zone
	}
	var running []cawork.VMID
	for _, vm := range d.RunningEntries() {
		// The zone of a member known only through others may be unknown.
		if zone := zones[vm]; zone == d.zone || zone == "" {
			running = append(running, vm)
		}
	}
	return running
}
