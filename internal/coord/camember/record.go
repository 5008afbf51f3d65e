package camember

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

// record is what a State keeps of one member.
//
// Sections are ordered by version, and each key occurs once. So all sections
// after a version v bring a reader that has all up to v to the current state:
//
//	versions 1 place, 4 use of team a, 7 summary
//	a reader at version 4 needs only the summary
type record struct {
	key         uint64
	incarnation Incarnation
	standing    Standing
	sections    []Section
	version     uint64

	decoded   AppState
	decodedAt uint64

	// touched and urgent order records by their last change, and by the last one
	// that is more than usage.
	touched uint64
	urgent  uint64
	since   time.Time
	joined  time.Time
	live    time.Time
	suspect time.Time
	// verified is the time of the last verifying probe.
	verified time.Time
	reach    Reach
	// greeting is what the member told this entry itself of its version.
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

func (r *record) digest() Digest {
	return Digest{Key: r.key, Incarnation: r.incarnation, Standing: r.standing, Version: r.version}
}

// set replaces the section of the same key under the version.
func (r *record) set(s Section) {
	key := s.key()
	r.sections = slices.DeleteFunc(r.sections, func(o Section) bool { return o.key() == key })
	r.sections = append(r.sections, s)
	r.version = s.Version
}

// after returns the sections after the version, at most limit of them.
func (r *record) after(version uint64, limit int) []Section {
	i := slices.IndexFunc(r.sections, func(s Section) bool { return s.Version > version })
	if i < 0 {
		return nil
	}
	found := r.sections[i:]
	return slices.Clone(found[:min(len(found), limit)])
}

// setLive notes since when the member is live.
func (r *record) setLive(was Liveness, now time.Time) {
	switch {
	case r.standing.Liveness().Gone():
		r.live = time.Time{}
	case was.Gone():
		r.live = now
	}
}

// app returns the application state in the sections, which is put together once
// for each version.
func (r *record) app() AppState {
	if r.decodedAt != r.version {
		r.decoded, r.decodedAt = r.decode(), r.version
	}
	return r.decoded
}

func (r *record) decode() AppState {
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
		Since: r.since, Joined: r.joined, LiveSince: r.live, App: r.app(),
		Protocols: r.greeting.Protocols(), Format: r.greeting.Format, Foreign: r.foreign,
	}
}

func keyOf(vm cawork.VMID) uint64 { return carendezvous.Key(vm) }
