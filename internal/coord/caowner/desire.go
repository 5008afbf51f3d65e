package caowner

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

// competesLike reports whether the other entry has the same claim to upstreams.
func (e Entry) competesLike(o Entry) bool {
	return e.VM == o.VM && slices.Equal(e.Unreachable, o.Unreachable)
}

// gaveUp reports whether the entry leaves all upstreams to others.
func (e Entry) gaveUp() bool { return slices.Contains(e.Unreachable, AllUpstreams) }

// choose sets the desired owners of all upstreams: each entry that reaches them
// gets an even part of those that are listed. What this entry alone still keeps
// of others does not count, or else views would differ for as long.
func (s *State) choose(now time.Time) {
	s.stale = false
	var listed []string
	for _, id := range s.ids {
		if !s.upstreams[id].unlisted {
			listed = append(listed, string(id))
		}
	}
	entries := s.competitors()
	desired := carendezvous.Assign(listed, entries, carendezvous.Capacity(len(listed), len(entries)))
	for name, vm := range desired {
		s.setDesired(now, s.upstreams[cawork.UpstreamID(name)], vm)
	}
}

// competitors returns the entries that own upstreams, which are all when each
// has given up.
func (s *State) competitors() []carendezvous.Entry {
	var able, all []carendezvous.Entry
	for _, e := range s.entries {
		if e.VM == s.self {
			e.Unreachable = s.Unreachable()
		}
		competitor := carendezvous.Entry{VM: e.VM, Unable: func(name string) bool {
			return e.gaveUp() || slices.Contains(e.Unreachable, cawork.UpstreamID(name))
		}}
		all = append(all, competitor)
		if !e.gaveUp() {
			able = append(able, competitor)
		}
	}
	if len(able) == 0 {
		return all
	}
	return able
}

func (s *State) setDesired(now time.Time, u *upstream, vm cawork.VMID) {
	if vm != u.desired && vm == s.self && !u.unreachable {
		u.next = now
	}
	u.desired = vm
}

// Desired returns the entry that should own the upstream, as this one saw at
// the last Tick.
func (s *State) Desired(id cawork.UpstreamID) cawork.VMID {
	u, ok := s.upstreams[id]
	if !ok {
		return ""
	}
	return u.desired
}
