package caowner

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

// isSameCandidate reports whether both entries are the same VM with the same
// unreachable upstreams, and so yield the same desired owners.
func (e Entry) isSameCandidate(other Entry) bool {
	return e.VM == other.VM && slices.Equal(e.Unreachable, other.Unreachable)
}

// reachesNone reports whether all upstreams are unreachable for the entry.
func (e Entry) reachesNone() bool { return slices.Contains(e.Unreachable, AllUpstreams) }

// assignDesired sets the desired owners: the listed upstreams are divided evenly
// among the entries that reach them. Upstreams that this entry still tracks
// after they left the list are excluded, since the entries would otherwise
// compute different assignments.
func (s *State) assignDesired(now time.Time) {
	s.desiredStale = false
	var listed []string
	for _, id := range s.ids {
		if !s.upstreams[id].unlisted {
			listed = append(listed, string(id))
		}
	}
	candidates := s.candidates()
	desired := carendezvous.Assign(listed, candidates, carendezvous.Capacity(len(listed), len(candidates)))
	for name, vm := range desired {
		s.setDesired(now, s.upstreams[cawork.UpstreamID(name)], vm)
	}
}

// candidates returns the entries that may own upstreams. Entries that reach no
// upstream are excluded, unless that is true of all.
func (s *State) candidates() []carendezvous.Entry {
	var eligible, all []carendezvous.Entry
	for _, e := range s.entries {
		if e.VM == s.self {
			e.Unreachable = s.Unreachable()
		}
		candidate := carendezvous.Entry{VM: e.VM, Ineligible: func(name string) bool {
			return e.reachesNone() || slices.Contains(e.Unreachable, cawork.UpstreamID(name))
		}}
		all = append(all, candidate)
		if !e.reachesNone() {
			eligible = append(eligible, candidate)
		}
	}
	if len(eligible) == 0 {
		return all
	}
	return eligible
}

// setDesired sets the desired owner of the upstream. If that changes to this
// entry and the upstream is reachable, its next call is due at once.
func (s *State) setDesired(now time.Time, u *upstream, vm cawork.VMID) {
	if vm != u.desired && vm == s.self && !u.unreachable {
		u.nextCall = now
	}
	u.desired = vm
}

// DesiredOwner returns the desired owner of the upstream as of the last Tick, empty
// for an unknown upstream.
func (s *State) DesiredOwner(id cawork.UpstreamID) cawork.VMID {
	u, ok := s.upstreams[id]
	if !ok {
		return ""
	}
	return u.desired
}
