package caentry

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Status is the state of an entry, and of the cell as seen by this entry.
type Status struct {
	VM                 cawork.VMID      `json:"vm"`
	Zone               cawork.ZoneName  `json:"zone"`
	Ready              bool             `json:"ready"`
	ConfigVersion      int64            `json:"config_version"`
	ConfigConfirmedAgo string           `json:"config_confirmed_ago"`
	Entries            []EntryStatus    `json:"entries"`
	Upstreams          []UpstreamStatus `json:"upstreams"`
	Teams              []TeamStatus     `json:"teams"`
	Shards             []ShardStatus    `json:"shards"`
	Queued             int              `json:"queued"`
	OpenAttempts       int              `json:"open_attempts"`
	Free               cawork.Resources `json:"free"`
	Versions           VersionStatus    `json:"versions"`
}

// VersionStatus describes the protocol and format versions in the cell.
type VersionStatus struct {
	Protocols string `json:"protocols"`
	// Format is the record format in use and NewestReadable the newest format
	// that this entry reads. FormatHeldBy lists the entries that keep Format
	// below NewestReadable.
	Format         caversion.Format `json:"format"`
	NewestReadable caversion.Format `json:"reads"`
	FormatHeldBy   []cawork.VMID    `json:"held_by,omitempty"`
	// UnreadableShards lists shards of lost entries with records of a later format.
	// "*" means that any shard may have such records.
	UnreadableShards []cawork.ShardID `json:"unreadable,omitempty"`
	// UnreadableConfigFormat is the format of the unreadable record at which this entry
	// stopped applying configuration changes.
	UnreadableConfigFormat caversion.Format `json:"config_later,omitempty"`
	// UnreadableMintFormat is the format of the unreadable claim that keeps this entry
	// from minting allowance.
	UnreadableMintFormat caversion.Format `json:"mint_later,omitempty"`
}

// EntryStatus is the state of an entry as seen by this one.
type EntryStatus struct {
	VM             cawork.VMID     `json:"vm"`
	Zone           cawork.ZoneName `json:"zone"`
	Liveness       string          `json:"liveness"`
	Incarnation    int64           `json:"incarnation"`
	ConfigVersion  int64           `json:"config_version"`
	OwnedUpstreams int             `json:"owned_upstreams"`
	Queued         int             `json:"queued"`
	// Protocols and Format are the versions that the entry announced, unset
	// until then. Foreign is set when this entry understands none of its
	// messages.
	Protocols string           `json:"protocols,omitempty"`
	Format    caversion.Format `json:"format,omitempty"`
	Foreign   bool             `json:"foreign,omitempty"`
}

// UpstreamStatus is the state of an upstream of the zone.
type UpstreamStatus struct {
	ID       cawork.VMID      `json:"id"`
	Rack     cawork.RackName  `json:"rack"`
	State    string           `json:"state"`
	Capacity cawork.Resources `json:"capacity"`
	// DesiredOwner is the entry that should own the upstream according to this
	// entry's view of the zone.
	DesiredOwner cawork.VMID `json:"desired_owner"`
	// Epoch is set when this entry owns the upstream.
	Epoch caplatform.Epoch `json:"epoch,omitempty"`
}

// TeamStatus is the resource use of a team in the cell, with its share and
// limit.
type TeamStatus struct {
	Team      cawork.TeamName  `json:"team"`
	Share     float64          `json:"share"`
	Use       cawork.Resources `json:"use"`
	Unlimited bool             `json:"unlimited"`
	Limit     cawork.Resources `json:"limit"`
}

// ShardStatus is the state of a shard replica on this entry.
type ShardStatus struct {
	Shard    cawork.ShardID    `json:"shard"`
	View     int64             `json:"view"`
	Primary  cawork.VMID       `json:"primary"`
	Backup   cawork.VMID       `json:"backup"`
	Witness  cawork.UpstreamID `json:"witness"`
	Leads    bool              `json:"leads"`
	MayAct   bool              `json:"may_act"`
	Degraded bool              `json:"degraded"`
}

// Ready implements caapi.StatusReporter.
func (e *Entry) Ready() bool {
	return !e.isDraining() && e.activeConfig.View().Version > 0 && !e.isVersionOutnumbered()
}

// Status implements caapi.StatusReporter.
func (e *Entry) Status(ctx context.Context) any {
	load := e.launcher.Load(ctx)
	view := e.activeConfig.View()
	status := Status{
		VM: e.settings.VM, Zone: e.settings.Zone, Ready: e.Ready(), ConfigVersion: int64(view.Version),
		ConfigConfirmedAgo: e.confirmedAgo(view.Config), Queued: load.QueuedTasks, OpenAttempts: load.OpenAttempts, Free: load.Free,
		Entries: []EntryStatus{}, Teams: []TeamStatus{}, Upstreams: e.upstreamStatuses(), Shards: e.shardStatuses(),
		Versions: e.versionStatus(),
	}
	use := make(map[cawork.TeamName]cawork.Resources)
	for _, u := range load.TeamUses {
		use[u.Team] = u.Use
	}
	for _, m := range e.members.Members() {
		status.Entries = append(status.Entries, e.entryStatus(m))
		if m.VM == e.settings.VM || !m.Liveness.Live() {
			continue
		}
		for _, u := range m.App.TeamUse {
			use[u.Team] = use[u.Team].Plus(u.Use)
		}
	}
	for _, t := range view.Config.Teams() {
		status.Teams = append(status.Teams, TeamStatus{
			Team: t.Name, Share: t.Share, Use: use[t.Name], Unlimited: t.Limit.Unlimited(), Limit: t.Limit.Resources(),
		})
	}
	return status
}

func (e *Entry) confirmedAgo(c cacell.Config) string {
	if c.IsZero() {
		return "never"
	}
	confirmedAt := e.follower.ConfirmedAt(c.ZoneNames())
	if confirmedAt.IsZero() {
		return "never"
	}
	return e.timer.Now().Sub(confirmedAt).Round(time.Millisecond).String()
}

func (e *Entry) versionStatus() VersionStatus {
	_, heldBy := e.directory.CommonFormat()
	return VersionStatus{
		Protocols: e.version.Protocols.String(), Format: e.recordFormat(), NewestReadable: e.version.Format, FormatHeldBy: heldBy,
		UnreadableShards: e.archive.UnreadableShards(), UnreadableConfigFormat: e.follower.Later(), UnreadableMintFormat: e.quota.UnreadableFormat(),
	}
}

func (e *Entry) entryStatus(m camember.Member) EntryStatus {
	if m.VM == e.settings.VM {
		m.Protocols, m.Format = e.version.Protocols, e.version.Format
	}
	protocols := ""
	if !m.Protocols.IsZero() {
		protocols = m.Protocols.String()
	}
	return EntryStatus{
		Protocols: protocols, Format: m.Format, Foreign: m.Foreign,
		VM: m.VM, Zone: m.Zone, Liveness: m.Liveness.String(), Incarnation: int64(m.Incarnation),
		ConfigVersion: m.App.ConfigVersion, OwnedUpstreams: m.App.OwnedUpstreams, Queued: m.App.QueueLength,
	}
}

func (e *Entry) upstreamStatuses() []UpstreamStatus {
	statuses := []UpstreamStatus{}
	for _, vm := range e.directory.ZoneUpstreams() {
		s := UpstreamStatus{ID: vm.ID, Rack: vm.Rack, State: vm.State.String(), Capacity: vm.Capacity}
		s.DesiredOwner = e.ownership.DesiredOwner(cawork.UpstreamID(vm.ID))
		if lease, ok := e.ownership.Lease(cawork.UpstreamID(vm.ID)); ok {
			s.Epoch = lease.Epoch
		}
		statuses = append(statuses, s)
	}
	return statuses
}

func (e *Entry) shardStatuses() []ShardStatus {
	statuses := []ShardStatus{}
	for _, s := range e.shards.Statuses() {
		statuses = append(statuses, ShardStatus{
			Shard: s.Shard, View: s.View.Number, Primary: s.View.Primary.VM, Backup: s.View.Backup.VM,
			Witness: s.View.Witness, Leads: s.Primary, MayAct: s.MayAct, Degraded: s.Degraded,
		})
	}
	return statuses
}
