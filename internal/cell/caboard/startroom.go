package caboard

import "celeryarch.example/celeryarch/internal/base/cawork"

// startRoom is what the upstreams of a batch have left for its starts, apart from runs whose
// starts were sent. An upstream is added with its first start.
type startRoom map[*upstream]cawork.Resources

// take reports whether the upstream of a run still has room for its start, and takes that
// room. Only an upstream whose capacity has shrunk since the run was assigned has too little.
func (s startRoom) take(r *run) bool {
	u := r.upstream
	if !u.free().IsNegative() {
		return true
	}
	room, ok := s[u]
	if !ok {
		room = u.info.Capacity.Minus(u.sentUse())
	}
	fits := r.size.Fits(room)
	if fits {
		room = room.Minus(r.size)
	}
	s[u] = room
	return fits
}

// sentUse returns what the runs of the upstream take whose starts were sent.
func (u *upstream) sentUse() cawork.Resources {
	used := cawork.Resources{}
	for _, r := range u.runs {
		if r.sent {
			used = used.Plus(r.size)
		}
	}
	return used
}
