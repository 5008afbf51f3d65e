// Package cadirectory combines the VM list of the platform with the reports of
// the members into one view of the entries and upstreams.
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

// unlistedTimeout is how long a VM must be missing from the lists before it
// counts as gone: the platform lists a VM, live or leaving, as long as it runs.
const unlistedTimeout = 10 * time.Second

// MemberSource returns the known entries.
type MemberSource interface {
	Members() []camember.Member
	// Member returns a known entry, at a lower cost than Members.
	Member(vm cawork.VMID) (camember.Member, bool)
}

// VMList returns the last list of VMs.
type VMList interface {
	Last() calist.Snapshot
}

// Directory answers questions about entries and upstreams. It is safe for
// concurrent use.
type Directory struct {
	self           cawork.VMID
	zone           cawork.ZoneName
	newestReadable caversion.Format
	list           VMList
	mu             sync.Mutex
	members        MemberSource
	indexedList    calist.Snapshot
	// unknownSince holds, for each unknown upstream that was asked for, the time
	// of the list that was the last one at the first call.
	unknownSince map[cawork.UpstreamID]time.Time
	byID         map[cawork.UpstreamID]caplatform.VM
	// zoneUpstreams is built from byID on demand and nil until then.
	zoneUpstreams []caplatform.VM
	// upstreamListedAt holds the time of the last list with each upstream.
	upstreamListedAt map[cawork.UpstreamID]time.Time
	// entryListedAt holds the time of the last list with each entry.
	entryListedAt map[cawork.VMID]time.Time
	// tracker tracks the entries that may own upstreams of the zone.
	tracker ownerTracker
}

// NewDirectory returns the directory of an entry in the zone that can read
// records up to the given format.
func NewDirectory(self cawork.VMID, zone cawork.ZoneName, reads caversion.Format, list VMList) *Directory {
	return &Directory{
		self: self, zone: zone, newestReadable: reads, list: list, byID: make(map[cawork.UpstreamID]caplatform.VM),
		upstreamListedAt: make(map[cawork.UpstreamID]time.Time), entryListedAt: make(map[cawork.VMID]time.Time), unknownSince: make(map[cawork.UpstreamID]time.Time),
		tracker: newOwnerTracker(),
	}
}

// SetMembers sets the source of the entries. It is separate from NewDirectory
// because the peer link, on which the membership depends, needs the directory.
func (d *Directory) SetMembers(m MemberSource) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = m
}

func (d *Directory) memberSource() MemberSource {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

func (d *Directory) allMembers() []camember.Member {
	members := d.memberSource()
	if members == nil {
		return nil
	}
	return members.Members()
}

func (d *Directory) member(vm cawork.VMID) (camember.Member, bool) {
	members := d.memberSource()
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
	d.updateIndex()
	vm, ok := d.byID[id]
	return vm, ok
}

// updateIndex indexes the VMs of a new list. Upstreams missing from it are kept,
// because attempts on them may still be open.
func (d *Directory) updateIndex() {
	last := d.list.Last()
	if last.At.Equal(d.indexedList.At) {
		return
	}
	d.indexedList = last
	for _, vm := range last.VMs {
		if vm.Role == caplatform.VMRoleUpstream {
			d.byID[cawork.UpstreamID(vm.ID)] = vm
			d.upstreamListedAt[cawork.UpstreamID(vm.ID)] = last.At
		}
		if vm.Role == caplatform.VMRoleEntry {
			d.entryListedAt[vm.ID] = last.At
		}
	}
	for id, vm := range d.byID {
		if vm.State != caplatform.VMStateGone && last.At.Sub(d.upstreamListedAt[id]) >= unlistedTimeout {
			vm.State = caplatform.VMStateGone
			d.byID[id] = vm
		}
	}
	d.zoneUpstreams = nil
}

// ZoneUpstreams implements calaunch.Directory. The caller must not modify the
// returned slice, which is shared.
func (d *Directory) ZoneUpstreams() []caplatform.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateIndex()
	if d.zoneUpstreams == nil {
		d.zoneUpstreams = d.findZoneUpstreams()
	}
	return d.zoneUpstreams
}

// findZoneUpstreams returns the upstreams of the zone that are not gone, ordered
// by id.
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

// LivePeers returns the other live members whose message version is supported.
func (d *Directory) LivePeers() []camember.Member {
	return slices.DeleteFunc(d.liveOthers(), func(m camember.Member) bool { return m.Foreign })
}

func (d *Directory) liveOthers() []camember.Member {
	return slices.DeleteFunc(d.allMembers(), func(m camember.Member) bool {
		return m.VM == d.self || !m.Liveness.Live()
	})
}

// ZoneOwners implements calaunch.Directory.
func (d *Directory) ZoneOwners() []calaunch.Owner {
	return d.owners(func(z cawork.ZoneName) bool { return z == d.zone })
}

// OtherZoneOwners implements calaunch.Directory.
func (d *Directory) OtherZoneOwners() []calaunch.Owner {
	return d.owners(func(z cawork.ZoneName) bool { return z != d.zone })
}

func (d *Directory) owners(inZone func(cawork.ZoneName) bool) []calaunch.Owner {
	var owners []calaunch.Owner
	for _, m := range d.LivePeers() {
		if !inZone(m.Zone) {
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
	for _, m := range d.allMembers() {
		for _, led := range m.App.Shards {
			if led.Shard == s && led.View > view && m.Liveness.Live() {
				leader, view = m.VM, led.View
			}
		}
	}
	return leader, view >= 0
}

// IsKnownEntry implements calaunch.Directory.
func (d *Directory) IsKnownEntry(vm cawork.VMID) bool {
	if _, ok := d.Address(vm); ok {
		return true
	}
	return slices.ContainsFunc(d.list.Last().VMs, func(listed caplatform.VM) bool {
		return listed.ID == vm && listed.Role == caplatform.VMRoleEntry
	})
}

// HasLowestIDInZone implements caarchive.Directory. It ignores entries that have
// reported an older newest readable format than that of this entry.
func (d *Directory) HasLowestIDInZone() bool {
	for _, m := range d.LivePeers() {
		readsAll := m.Format == 0 || m.Format >= d.newestReadable
		if m.Zone == d.zone && m.VM < d.self && readsAll {
			return false
		}
	}
	return true
}

// HasUnreachableEntry implements calaunch.Directory.
func (d *Directory) HasUnreachableEntry() bool {
	for _, m := range d.allMembers() {
		if m.Foreign || m.Liveness == camember.LivenessDead && !d.HasEnded(m.VM, int64(m.Incarnation)) {
			return true
		}
	}
	return false
}

// ZoneMembers implements caarchive.Directory.
func (d *Directory) ZoneMembers() []cashard.Member {
	var liveMembers []cashard.Member
	for _, m := range d.allMembers() {
		if m.Zone == d.zone && m.Liveness.Live() {
			liveMembers = append(liveMembers, cashard.Member{VM: m.VM, Incarnation: int64(m.Incarnation)})
		}
	}
	slices.SortFunc(liveMembers, func(a, b cashard.Member) int { return cmp.Compare(a.VM, b.VM) })
	return liveMembers
}

// HasEnded implements caarchive.Directory. An unreachable entry may still run.
func (d *Directory) HasEnded(vm cawork.VMID, incarnation int64) bool {
	m, known := d.member(vm)
	if known && (int64(m.Incarnation) > incarnation || m.Liveness == camember.LivenessLeft) {
		return true
	}
	return d.isUnlisted(vm)
}

// isUnlisted reports whether the platform lists the VM of an entry as gone, or
// has not listed it for unlistedTimeout.
func (d *Directory) isUnlisted(vm cawork.VMID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateIndex()
	for _, listed := range d.indexedList.VMs {
		if listed.ID == vm {
			return listed.State == caplatform.VMStateGone
		}
	}
	listedAt, known := d.entryListedAt[vm]
	return known && d.indexedList.At.Sub(listedAt) >= unlistedTimeout
}

// IsGone implements calaunch.Directory and caarchive.Directory. An unknown
// upstream counts as gone once the lists have not included it for
// unlistedTimeout after the first call for it.
func (d *Directory) IsGone(u cawork.UpstreamID) bool {
	if vm, known := d.Upstream(u); known {
		return vm.State == caplatform.VMStateGone
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	since, alreadyAsked := d.unknownSince[u]
	if !alreadyAsked {
		d.unknownSince[u] = d.indexedList.At
	}
	return alreadyAsked && d.indexedList.At.Sub(since) >= unlistedTimeout
}

// RunningEntries implements caarchive.Directory. It returns the other entries,
// listed or known as members, that are not known to have ended.
func (d *Directory) RunningEntries() []cawork.VMID {
	running := make(map[cawork.VMID]struct{})
	for _, m := range d.allMembers() {
		if !d.HasEnded(m.VM, int64(m.Incarnation)) {
			running[m.VM] = struct{}{}
		}
	}
	for _, listed := range d.list.Last().VMs {
		if listed.Role != caplatform.VMRoleEntry || listed.State == caplatform.VMStateGone {
			continue
		}
		if _, known := d.member(listed.ID); !known {
			running[listed.ID] = struct{}{}
		}
	}
	delete(running, d.self)
	return slices.Sorted(maps.Keys(running))
}

// ShardZone implements caarchive.Directory. It returns the zone of the entry that
// created the shard.
func (d *Directory) ShardZone(s cawork.ShardID) (cawork.ZoneName, bool) {
	founder := calaunch.CreatorOf(s)
	if m, known := d.member(founder); known {
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
	for _, m := range d.LivePeers() {
		for _, led := range m.App.Shards {
			partners = append(partners, caescrow.Partner{Shard: led.Shard, Zone: m.Zone})
		}
	}
	return partners
}

// Entries implements calaunch.Directory. It includes entries of an unsupported
// version: they cannot be queried but may hold a job.
func (d *Directory) Entries() []cawork.VMID {
	var ids []cawork.VMID
	for _, m := range d.liveOthers() {
		ids = append(ids, m.VM)
	}
	return ids
}

// RemoteUse returns the use of each team at the other entries, the total capacity
// of the live upstreams of the zone that are not in owned, and one upstream of
// each shape among those.
func (d *Directory) RemoteUse(owned []cawork.UpstreamID) casched.RemoteUse {
	remote := casched.RemoteUse{}
	use := make(map[cawork.TeamName]cawork.Resources)
	for _, m := range d.LivePeers() {
		for _, t := range m.App.TeamUse {
			use[t.Team] = use[t.Team].Plus(t.Use)
		}
	}
	for team, amount := range use {
		remote.Teams = append(remote.Teams, casched.TeamUse{Team: team, Use: amount})
	}
	slices.SortFunc(remote.Teams, func(a, b casched.TeamUse) int { return cmp.Compare(a.Team, b.Team) })
	d.addRemoteUpstreams(&remote, owned)
	return remote
}

type upstreamShape struct {
	capacity        cawork.Resources
	acceleratorKind string
	rack            cawork.RackName
}

func (d *Directory) addRemoteUpstreams(remote *casched.RemoteUse, owned []cawork.UpstreamID) {
	seen := make(map[upstreamShape]struct{})
	for _, vm := range d.ZoneUpstreams() {
		if slices.Contains(owned, cawork.UpstreamID(vm.ID)) || vm.State != caplatform.VMStateLive {
			continue
		}
		remote.Capacity = remote.Capacity.Plus(vm.Capacity)
		s := upstreamShape{vm.Capacity, vm.AcceleratorKind, vm.Rack}
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
