// Package cagang places the tasks of a job on the upstreams of several entries.
//
// The owners are asked one after the other, in the order of their ids, each for
// as much as is still missing. Nobody waits while holding room: when the last
// owner has answered and room is missing, everything is released, and what is
// not released expires. As all jobs ask in the same order, of two that compete
// the one that was first at the first owner is first at the others too, so that
// they do not take parts from one another for ever.
//
// Example: a gang of 5 asks entry a for 5 and gets 3, asks b for 2 and gets 2.
// The tasks are then placed, which charges the team, and the reservation at b
// is committed.
package cagang

import (
	"fmt"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// Ask is a request to one owner.
type Ask struct {
	Owner   cawork.VMID
	Request casched.ReserveRequest
}

// Part is what one owner reserved, with the tasks that go there.
type Part struct {
	Owner       cawork.VMID
	Reservation casched.ReservationID
	Placements  []casched.Placement
}

// Tasks returns the tasks of the part in the order of its reservation.
func (p Part) Tasks() []cawork.TaskRef {
	out := make([]cawork.TaskRef, 0, len(p.Placements))
	for _, pl := range p.Placements {
		out = append(out, pl.Task)
	}
	return out
}

// Negotiation is the state of asking the owners for room for a job.
type Negotiation struct {
	job     casched.Unplaced
	owners  []cawork.VMID
	name    string
	expires time.Time
	asked   int
	placed  int
	parts   []Part
}

// New returns a negotiation over the owners. The name makes the ids of its
// reservations unique; they expire at the time.
func New(job casched.Unplaced, owners []cawork.VMID, name string, expires time.Time) *Negotiation {
	sorted := slices.Clone(owners)
	slices.Sort(sorted)
	return &Negotiation{job: job, owners: slices.Compact(sorted), name: name, expires: expires}
}

// Next returns the next request, false when there is none. Each is followed by
// Granted or Refused.
func (n *Negotiation) Next() (Ask, bool) {
	if n.asked == len(n.owners) || n.missing() == 0 {
		return Ask{}, false
	}
	owner := n.owners[n.asked]
	return Ask{Owner: owner, Request: casched.ReserveRequest{
		ID:  casched.ReservationID(fmt.Sprintf("%s/%s", n.name, owner)),
		Job: n.job.Job, Team: n.job.Team, Kind: n.job.Kind, Size: n.job.Size, RunTime: n.job.RunTime,
		Constraints: n.job.Constraints, Min: 1, Count: n.missing(), Expires: n.expires,
	}}, true
}

// Granted notes what the owner that was asked last reserved.
func (n *Negotiation) Granted(r casched.Reservation) {
	p := Part{Owner: n.owners[n.asked], Reservation: r.ID}
	n.asked++
	for _, u := range r.Upstreams[:min(len(r.Upstreams), n.missing())] {
		p.Placements = append(p.Placements, casched.Placement{
			Task: n.job.Tasks[n.placed], Upstream: u, Size: n.job.Size,
		})
		n.placed++
	}
	n.parts = append(n.parts, p)
}

// Refused notes that the owner that was asked last reserved nothing. When its
// answer was lost, the part must be released all the same.
func (n *Negotiation) Refused() {
	n.parts = append(n.parts, Part{
		Owner:       n.owners[n.asked],
		Reservation: casched.ReservationID(fmt.Sprintf("%s/%s", n.name, n.owners[n.asked])),
	})
	n.asked++
}

// Complete reports whether the tasks may be placed at the time: all of a gang,
// one or more of other work.
func (n *Negotiation) Complete(now time.Time) bool {
	if !now.Before(n.expires) {
		return false
	}
	if n.job.Kind == cawork.WorkKindGang {
		return n.missing() == 0
	}
	return n.placed > 0
}

// Placements returns all placements, for PlaceReserved.
func (n *Negotiation) Placements() []casched.Placement {
	var out []casched.Placement
	for _, p := range n.parts {
		out = append(out, p.Placements...)
	}
	return out
}

// Parts returns what to commit, or to release when the job is not placed. Parts
// without placements are always released.
func (n *Negotiation) Parts() []Part { return n.parts }

func (n *Negotiation) missing() int { return len(n.job.Tasks) - n.placed }
