package cadirectory

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// maxListAge is the age up to which a list tells of every entry that may own an
// upstream. The platform lists an entry for longer than that.
const maxListAge = 8 * time.Second

// ownerWatch follows which entries of a zone may own upstreams. The caller
// passes the time in, and what is known at it.
type ownerWatch struct {
	// looked is the time of the last look, since the time from which on no look
	// and no list was missed.
	looked time.Time
	since  time.Time
	// running are the entries that may have run at the last look, ended the times
	// of the first looks at which others were known to have ended.
	running []cawork.VMID
	ended   map[cawork.VMID]time.Time
}

func newOwnerWatch() ownerWatch { return ownerWatch{ended: make(map[cawork.VMID]time.Time)} }

// look notes the entries that may run.
func (w *ownerWatch) look(now time.Time, list calist.Snapshot, running []cawork.VMID) {
	if now.Sub(w.looked) > maxListAge || now.Sub(list.At) > maxListAge {
		w.since = now
	}
	w.looked = now
	for _, vm := range w.running {
		w.ended[vm] = now
	}
	for _, vm := range running {
		delete(w.ended, vm)
	}
	w.running = running
}

// covers reports whether no entry beside those of the last look has run within
// the window before it.
func (w *ownerWatch) covers(window time.Duration) bool {
	for vm, at := range w.ended {
		if w.looked.Sub(at) < window {
			return false
		}
		delete(w.ended, vm)
	}
	return w.looked.Sub(w.since) >= window
}

// PossibleOwners implements calaunch.Directory. It is to be asked every few
// seconds: what happens between two calls far apart is not known.
func (d *Directory) PossibleOwners(now time.Time, window time.Duration) ([]cawork.VMID, bool) {
	running := d.runningInZone()
	last := d.list.Last()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watch.look(now, last, running)
	return running, d.watch.covers(window)
}

// runningInZone returns the other entries of the zone that may run.
func (d *Directory) runningInZone() []cawork.VMID {
	zones := make(map[cawork.VMID]cawork.ZoneName)
	for _, listed := range d.list.Last().VMs {
		if listed.Role == caplatform.VMRoleEntry {
			zones[listed.ID] = listed.Zone
		}
	}
	for _, m := range d.all() {
		zones[m.VM] = m.Zone
	}
	var running []cawork.VMID
	for _, vm := range d.RunningEntries() {
		// The zone of a member that was only heard of may not be known yet.
		if zone := zones[vm]; zone == d.zone || zone == "" {
			running = append(running, vm)
		}
	}
	return running
}
