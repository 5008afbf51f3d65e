// Package cagang reserves capacity for the tasks of a job on upstreams that several
// entries own.
//
// Reservations are requested from one owner after the other, in the order of
// their IDs, each for the tasks that still lack capacity. A job does not wait
// while it holds reservations: if capacity is missing after the response of the
// last owner, all reservations are released, and those whose release is lost
// expire. All jobs use the same order, so of two competing jobs the one that is
// first at the first owner is first at the others too. This prevents a livelock
// in which each job repeatedly reserves a part of what the other needs.
//
// Example: a gang of 5 tasks requests 5 from entry a, which reserves 3, and 2 from
// b, which reserves 2. The tasks are then placed, which charges the team, and the
// reservation at b is committed.
package cagang

import (
	"fmt"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// OwnerRequest is a reservation request to one owner.
type OwnerRequest struct {
	Owner   cawork.VMID
	Request casched.ReserveRequest
}

// OwnerReservation is the reservation at one owner, with the placements of tasks in it.
type OwnerReservation struct {
	Owner       cawork.VMID
	Reservation casched.ReservationID
	Placements  []casched.Placement
}

// Tasks returns the tasks of the reservation in the order of the reserved upstreams.
func (p OwnerReservation) Tasks() []cawork.TaskRef {
	out := make([]cawork.TaskRef, 0, len(p.Placements))
	for _, pl := range p.Placements {
		out = append(out, pl.Task)
	}
	return out
}

// Negotiation is the state of the reservation requests for one job.
type Negotiation struct {
	job       casched.UnplacedJob
	owners    []cawork.VMID
	idPrefix  string
	expires   time.Time
	nextOwner int
	assigned  int
	parts     []OwnerReservation
}

// New returns a negotiation with the owners. The IDs of its reservations begin with
// idPrefix, which must be unique. The reservations expire at the given time.
func New(job casched.UnplacedJob, owners []cawork.VMID, idPrefix string, expires time.Time) *Negotiation {
	sorted := slices.Clone(owners)
	slices.Sort(sorted)
	return &Negotiation{job: job, owners: slices.Compact(sorted), idPrefix: idPrefix, expires: expires}
}

// Next returns the next request, or false if there is none. The caller must report
// the result of each request with RecordGrant or RecordRefusal before the next call.
func (n *Negotiation) Next() (OwnerRequest, bool) {
	if n.nextOwner == len(n.owners) || n.missing() == 0 {
		return OwnerRequest{}, false
	}
	owner := n.owners[n.nextOwner]
	return OwnerRequest{Owner: owner, Request: casched.ReserveRequest{
		ID:  casched.ReservationID(fmt.Sprintf("%s/%s", n.idPrefix, owner)),
		Job: n.job.Job, Team: n.job.Team, Kind: n.job.Kind, Size: n.job.Size, RunTime: n.job.RunTime,
		Constraints: n.job.Constraints, Min: 1, Count: n.missing(), Expires: n.expires,
	}}, true
}

// RecordGrant records the reservation of the owner of the last request.
func (n *Negotiation) RecordGrant(r casched.Reservation) {
	p := OwnerReservation{Owner: n.owners[n.nextOwner], Reservation: r.ID}
	n.nextOwner++
	for _, u := range r.Upstreams[:min(len(r.Upstreams), n.missing())] {
		p.Placements = append(p.Placements, casched.Placement{
			Task: n.job.Tasks[n.assigned], Upstream: u, Size: n.job.Size,
		})
		n.assigned++
	}
	n.parts = append(n.parts, p)
}

// RecordRefusal records that the last request was rejected or got no response. It adds a
// part without placements to be released, because the owner may have reserved
// capacity although its response was lost.
func (n *Negotiation) RecordRefusal() {
	n.parts = append(n.parts, OwnerReservation{
		Owner:       n.owners[n.nextOwner],
		Reservation: casched.ReservationID(fmt.Sprintf("%s/%s", n.idPrefix, n.owners[n.nextOwner])),
	})
	n.nextOwner++
}

// CanPlace reports whether the tasks can be placed at the given time: the
// reservations have not expired, and cover all tasks of a gang or at least one task
// of another job.
func (n *Negotiation) CanPlace(now time.Time) bool {
	if !now.Before(n.expires) {
		return false
	}
	if n.job.Kind == cawork.WorkKindGang {
		return n.missing() == 0
	}
	return n.assigned > 0
}

// Placements returns the placements of all parts, for Scheduler.PlaceReserved.
func (n *Negotiation) Placements() []casched.Placement {
	var out []casched.Placement
	for _, p := range n.parts {
		out = append(out, p.Placements...)
	}
	return out
}

// Reservations returns the reservations to commit, or to release if the job is not placed.
// Parts without placements must always be released.
func (n *Negotiation) Reservations() []OwnerReservation { return n.parts }

// missing returns the number of tasks without reserved capacity.
func (n *Negotiation) missing() int { return len(n.job.Tasks) - n.assigned }
