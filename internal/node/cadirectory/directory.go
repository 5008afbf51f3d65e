// Package cadirectory tells what is known of entries and upstreams: what the
// platform lists and what the members report.
package cadirectory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/node/calaunch"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// unlistedAfter is the time for which every list must have left out an
// upstream before it is taken for gone: the platform lists a VM as long as it
// runs, live or leaving.
const unlistedAfter = 10 * time.Second

// Members tells of the known entries.
type Members interface {
	Members() []camember.Member
	// Member returns a known entry, at a lower cost than Members.
	Member(vm cawork.VMID) (camember.Member, bool)
}

// List gives the last list of VMs.
type List interface {
	Last() calist.Snapshot
}

// Directory answers questions about entries and upstreams. It is safe for
// concurrent use.
type Directory struct {
	self    cawork.VMID
	zone    cawork.ZoneName
	reads   caversion.Format
	list    List
	mu      sync.Mutex
	members Members
	indexed calist.Snapshot
	// missed holds the time of the last list when an unknown upstream was first
	// asked for.
	missed map[cawork.UpstreamID]time.Time
	byID   map[cawork.UpstreamID]caplatform.VM
	// zoneUpstreams is made from byID when it is asked for, nil before.
	zoneUpstreams []caplatform.VM
	// seen holds the time of the last list that named each upstream.
	seen map[cawork.UpstreamID]time.Time
	// seenEntries holds the time of the last list that named each entry.
	seenEntries map[cawork.VMID]time.Time
	// watch follows which entries may own upstreams of the zone.
	watch ownerWatch
}

// NewDirectory returns a directory for an entry of the zone, which reads records
// up to the format.
func NewDirectory(self cawork.VMID, zone cawork.ZoneName, reads caversion.Format, list List) *Directory {
	return &Directory{
		self: self, zone: zone, reads: reads, list: list, byID: make(map[cawork.UpstreamID]caplatform.VM),
		seen: make(map[cawork.UpstreamID]time.Time), seenEntries: make(map[cawork.VMID]time.Time), missed: make(map[cawork.UpstreamID]time.Time),
		watch: newOwnerWatch(),
	}
}

// SetMembers gives the directory the source of entries. The link needs the
// directory before the members can run.
func (d *Directory) SetMembers(m Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = m
}

func (d *Directory) source() Members {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

func (d *Directory) all() []camember.Member {
	members := d.source()
	if members == nil {
		return nil
	}
	return members.Members()
}

func (d *Directory) member(vm cawork.VMID) (camember.Member, bool) {
	members := d.source()
	if members == nil {
		return camember.Member{}, false
	}
	return members.Member(vm)
}

// Address returns the peer address of an entry.
func (d *Directory) Address(vm cawork.VMID) (string, bool) {
	m, ok := d.member(vm)
	return m.Address, ok
}

// Upstream implements calaunch.Directory.
func (d *Directory) Upstream(id cawork.UpstreamID) (caplatform.VM, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index()
	vm, ok := d.byID[id]
	return vm, ok
}

// index notes the VMs of a new list. A VM that the list dropped stays known,
// because attempts on it may still be open.
func (d *Directory) index() {
	last := d.list.Last()
	if last.At.Equal(d.indexed.At) {
		return
	}
	d.indexed = last
	for _, vm := range last.VMs {
		if vm.Role == caplatform.VMRoleUpstream {
			d.byID[cawork.UpstreamID(vm.ID)] = vm
			d.seen[cawork.UpstreamID(vm.ID)] = last.At
		}
		if vm.Role == caplatform.VMRoleEntry {
			d.seenEntries[vm.ID] = last.At
		}
	}
	for id, vm := range d.byID {
		if vm.State != caplatform.VMStateGone && last.At.Sub(d.seen[id]) >= unlistedAfter {
			vm.State = caplatform.VMStateGone
			d.byID[id] = vm
		}
	}
	d.zoneUpstreams = nil
}

// ZoneUpstreams implements calaunch.Directory. The list is shared and must not
// be changed.
func (d *Directory) ZoneUpstreams() []caplatform.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index()
	if d.zoneUpstreams == nil {
		d.zoneUpstreams = d.findZoneUpstreams()
	}
	return d.zoneUpstreams
}

// findZoneUpstreams returns the upstreams of the zone that are not gone, in the
// order of their ids.
func (d *Directory) findZoneUpstreams() []caplatform.VM {
	var vms []caplatform.VM
	for _, vm := range d.byID {
		if vm.Zone == d.zone && vm.State != caplatform.VMStateGone {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b caplatform.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// Others returns the other members that are not known to have ended and whose
// messages are understood here.
func (d *Directory) Others() []camember.Member {
	return slices.DeleteFunc(d.live(), func(m camember.Member) bool { return m.Foreign })
}

func (d *Directory) live() []camember.Member {
	return slices.DeleteFunc(d.all(), func(m camember.Member) bool {
		return m.VM == d.self || !m.Liveness.Live()
	})
}

// ZoneOwners implements calaunch.Directory.
func (d *Directory) ZoneOwners() []calaunch.Owner {
	return d.owners(func(z cawork.ZoneName) bool { return z == d.zone })
}

// FarOwners implements calaunch.Directory.
func (d *Directory) FarOwners() []calaunch.Owner {
	return d.owners(func(z cawork.ZoneName) bool { return z != d.zone })
}

func (d *Directory) owners(within func(cawork.ZoneName) bool) []calaunch.Owner {
	var owners []calaunch.Owner
	for _, m := range d.Others() {
		if !within(m.Zone) {
			continue
		}
		var led []cawork.ShardID
		for _, s := range m.App.Shards {
			led = append(led, s.Shard)
		}
		owners = append(owners, calaunch.Owner{
			VM: m.VM, Zone: m.Zone, Shard: calaunch.OwnShard(m.VM, led),
			Free: m.App.Free, LargestHole: m.App.LargestHole,
		})
	}
	return owners
}

// ZoneEntries implements calaunch.Directory.
func (d *Directory) ZoneEntries(z cawork.ZoneName) []cawork.VMID {
	var ids []cawork.VMID
	for _, o := range d.owners(func(zone cawork.ZoneName) bool { return zone == z }) {
		ids = append(ids, o.VM)
	}
	return ids
}

// Leader implements calaunch.Directory.
func (d *Directory) Leader(s cawork.ShardID) (cawork.VMID, bool) {
	var leader cawork.VMID
	view := int64(-1)
	for _, m := range d.all() {
		for _, led := range m.App.Shards {
			if led.Shard == s && led.View > view && m.Liveness.Live() {
				leader, view = m.VM, led.View
			}
		}
	}
	return leader, view >= 0
}

// KnowsEntry implements calaunch.Directory.
func (d *Directory) KnowsEntry(vm cawork.VMID) bool {
	if _, ok := d.Address(vm); ok {
		return true
	}
	return slices.ContainsFunc(d.list.Last().VMs, func(listed caplatform.VM) bool {
		return listed.ID == vm && listed.Role == caplatform.VMRoleEntry
	})
}

// IsFirstOfZone implements caarchive.Directory. Entries that told that they do
// not read all formats that are read here do not count.
func (d *Directory) IsFirstOfZone() bool {
	for _, m := range d.Others() {
		reads := m.Format == 0 || m.Format >= d.reads
		if m.Zone == d.zone && m.VM < d.self && reads {
			return false
		}
	}
	return true
}

// HasSilent implements calaunch.Directory.
func (d *Directory) HasSilent() bool {
	for _, m := range d.all() {
		if m.Foreign || m.Liveness == camember.LivenessDead && !d.HasEnded(m.VM, int64(m.Incarnation)) {
			return true
		}
	}
	return false
}

// ZoneLives implements caarchive.Directory.
func (d *Directory) ZoneLives() []cashard.Member {
	var lives []cashard.Member
	for _, m := range d.all() {
		if m.Zone == d.zone && m.Liveness.Live() {
			lives = append(lives, cashard.Member{VM: m.VM, Incarnation: int64(m.Incarnation)})
		}
	}
	slices.SortFunc(lives, func(a, b cashard.Member) int { return cmp.Compare(a.VM, b.VM) })
	return lives
}

// HasEnded implements caarchive.Directory. A silent entry has not ended.
func (d *Directory) HasEnded(vm cawork.VMID, incarnation int64) bool {
	m, met := d.member(vm)
	if met && (int64(m.Incarnation) > incarnation || m.Liveness == camember.LivenessLeft) {
		return true
	}
	return d.isUnlisted(vm)
}

// isUnlisted reports whether the platform lists the VM of an entry as gone, or
// has left it out for long enough.
func (d *Directory) isUnlisted(vm cawork.VMID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index()
	for _, listed := range d.indexed.VMs {
		if listed.ID == vm {
			return listed.State == caplatform.VMStateGone
		}
	}
	seen, known := d.seenEntries[vm]
	return known && d.indexed.At.Sub(seen) >= unlistedAfter
}

// IsGone implements calaunch.Directory and caarchive.Directory. An upstream that is not known
// here counts as gone once the lists have not named it for long enough since it
// was first asked for.
func (d *Directory) IsGone(u cawork.UpstreamID) bool {
	if vm, known := d.Upstream(u); known {
		return vm.State == caplatform.VMStateGone
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	since, asked := d.missed[u]
	if !asked {
		d.missed[u] = d.indexed.At
	}
	return asked && d.indexed.At.Sub(since) >= unlistedAfter
}

// RunningEntries implements caarchive.Directory: the other entries that are not
// known to have ended, listed or met.
func (d *Directory) RunningEntries() []cawork.VMID {
	running := make(map[cawork.VMID]struct{})
	for _, m := range d.all() {
		if !d.HasEnded(m.VM, int64(m.Incarnation)) {
			running[m.VM] = struct{}{}
		}
	}
	for _, listed := range d.list.Last().VMs {
		if listed.Role != caplatform.VMRoleEntry || listed.State == caplatform.VMStateGone {
			continue
		}
		if _, met := d.member(listed.ID); !met {
			running[listed.ID] = struct{}{}
		}
	}
	delete(running, d.self)
	return slices.Sorted(maps.Keys(running))
}

// ShardZone implements caarchive.Directory: the zone of the entry that founded
// a shard.
func (d *Directory) ShardZone(s cawork.ShardID) (cawork.ZoneName, bool) {
	founder := calaunch.EntryOf(s)
	if m, met := d.member(founder); met {
		return m.Zone, true
	}
	for _, listed := range d.list.Last().VMs {
		if listed.ID == founder {
			return listed.Zone, true
		}
	}
	return "", false
}

// Partners implements caquota.Leaders.
func (d *Directory) Partners() []caescrow.Partner {
	var partners []caescrow.Partner
	for _, m := range d.Others() {
		for _, led := range m.App.Shards {
			partners = append(partners, caescrow.Partner{Shard: led.Shard, Zone: m.Zone})
		}
	}
	return partners
}

// Entries implements calaunch.Directory. Those of a foreign version are among
// them, because a job may be there although they cannot be asked.
func (d *Directory) Entries() []cawork.VMID {
	var ids []cawork.VMID
	for _, m := range d.live() {
		ids = append(ids, m.VM)
	}
	return ids
}

// RemoteUse returns what the other entries use, with one upstream of each
// shape that they may own.
func (d *Directory) RemoteUse(owned []cawork.UpstreamID) casched.RemoteUse {
	remote := casched.RemoteUse{}
	use := make(map[cawork.TeamName]cawork.Resources)
	for _, m := range d.Others() {
		for _, t := range m.App.TeamUse {
			use[t.Team] = use[t.Team].Plus(t.Use)
		}
	}
	for team, amount := range use {
		remote.Teams = append(remote.Teams, casched.TeamUse{Team: team, Use: amount})
	}
	slices.SortFunc(remote.Teams, func(a, b casched.TeamUse) int { return cmp.Compare(a.Team, b.Team) })
	d.addUpstreams(&remote, owned)
	return remote
}

type shape struct {
	capacity        cawork.Resources
	acceleratorKind string
	rack            cawork.RackName
}

func (d *Directory) addUpstreams(remote *casched.RemoteUse, owned []cawork.UpstreamID) {
	seen := make(map[shape]struct{})
	for _, vm := range d.ZoneUpstreams() {
		if slices.Contains(owned, cawork.UpstreamID(vm.ID)) || vm.State != caplatform.VMStateLive {
			continue
		}
		remote.Capacity = remote.Capacity.Plus(vm.Capacity)
		s := shape{vm.Capacity, vm.AcceleratorKind, vm.Rack}
		if _, ok := seen[s]; ok {
			continue
		}
		seen[s] = struct{}{}
		remote.Shapes = append(remote.Shapes, casched.Upstream{
			ID: cawork.UpstreamID(vm.ID), Zone: vm.Zone, Rack: vm.Rack,
			Capacity: vm.Capacity, AcceleratorKind: vm.AcceleratorKind,
		})
	}
}
