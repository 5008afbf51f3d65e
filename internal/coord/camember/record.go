package camember

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

// record is the state that an entry keeps for one member.
//
// Sections are ordered by version, and each key occurs once. A receiver that
// has the state at version v is brought up to date by the sections after v:
//
//	versions: 1 place, 4 use of team a, 7 summary
//	a receiver at version 4 needs only the summary
type record struct {
	key         uint64
	incarnation Incarnation
	standing    Standing
	sections    []Section
	version     uint64

	// cachedApp is the application state at cachedVersion.
	cachedApp     AppState
	cachedVersion uint64

	// changeSequence orders records by their last change, urgentSequence by
	// their last change other than usage.
	changeSequence uint64
	urgentSequence uint64
	livenessAt     time.Time
	joinedAt       time.Time
	liveSince      time.Time
	suspectedAt    time.Time
	// verifiedAt is the time of the last verification probe.
	verifiedAt time.Time
	reach      Reach
	// greeting is the last one received from the member itself.
	greeting caversion.Greeting
	foreign  bool
}

func (r *record) place() (Place, bool) {
	for _, s := range r.sections {
		if s.Place != nil {
			return *s.Place, true
		}
	}
	return Place{}, false
}

func (r *record) vm() cawork.VMID {
	p, _ := r.place()
	return p.VM
}

func (r *record) digestEntry() Digest {
	return Digest{Key: r.key, Incarnation: r.incarnation, Standing: r.standing, Version: r.version}
}

// setSection stores the section in place of the one with the same key and
// advances the version of the record to that of the section.
func (r *record) setSection(s Section) {
	key := s.key()
	r.sections = slices.DeleteFunc(r.sections, func(o Section) bool { return o.key() == key })
	r.sections = append(r.sections, s)
	r.version = s.Version
}

// sectionsAfter returns the sections with a higher version, at most limit.
func (r *record) sectionsAfter(version uint64, limit int) []Section {
	i := slices.IndexFunc(r.sections, func(s Section) bool { return s.Version > version })
	if i < 0 {
		return nil
	}
	rest := r.sections[i:]
	return slices.Clone(rest[:min(len(rest), limit)])
}

// updateLiveSince sets liveSince after the liveness changed from was.
func (r *record) updateLiveSince(was Liveness, now time.Time) {
	switch {
	case r.standing.Liveness().Gone():
		r.liveSince = time.Time{}
	case was.Gone():
		r.liveSince = now
	}
}

// appState returns the application state held in the sections. It is cached
// for each version.
func (r *record) appState() AppState {
	if r.cachedVersion != r.version {
		r.cachedApp, r.cachedVersion = r.buildAppState(), r.version
	}
	return r.cachedApp
}

func (r *record) buildAppState() AppState {
	var a AppState
	for _, s := range r.sections {
		s.addTo(&a)
	}
	slices.SortFunc(a.TeamUse, func(x, y TeamUse) int { return cmp.Compare(x.Team, y.Team) })
	return a
}

func (s Section) addTo(a *AppState) {
	switch {
	case s.Config != nil:
		a.ConfigVersion = s.Config.Version
	case s.Use != nil && s.Use.Use != Amounts{}:
		a.TeamUse = append(a.TeamUse, TeamUse{Team: s.Use.Team, Use: s.Use.Use.resources()})
	case s.Summary != nil:
		a.Free, a.LargestHole = s.Summary.Free.resources(), s.Summary.LargestHole.resources()
		a.QueueLength, a.OwnedUpstreams = s.Summary.QueueLength, s.Summary.OwnedUpstreams
		a.FreeSlots = s.Summary.FreeSlots
	case s.Shards != nil:
		for _, e := range s.Shards.Shards {
			a.Shards = append(a.Shards, LedShard{Shard: e.Shard, View: e.View, Backup: e.Backup})
		}
	case s.Unreachable != nil:
		a.Unreachable = slices.Clone(s.Unreachable.Upstreams)
	}
}

func (r *record) member() Member {
	p, _ := r.place()
	return Member{
		VM: p.VM, Incarnation: r.incarnation, Address: p.Address, Zone: p.Zone,
		Liveness: r.standing.Liveness(), Reach: r.reach,
		Since: r.livenessAt, Joined: r.joinedAt, LiveSince: r.liveSince, App: r.appState(),
		Protocols: r.greeting.Protocols(), Format: r.greeting.Format, Foreign: r.foreign,
	}
}

func keyOf(vm cawork.VMID) uint64 { return carendezvous.Key(vm) }
