package casched

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// ReservationID identifies a reservation. The asker chooses it, so that a
// repeated request is harmless.
type ReservationID string

// ReserveRequest asks an entry to keep room on its upstreams for tasks of
// another entry. At least Min and at most Count tasks are reserved, or none.
type ReserveRequest struct {
	ID          ReservationID
	Job         cawork.JobID
	Team        cawork.TeamName
	Kind        cawork.WorkKind
	Size        cawork.Resources
	RunTime     time.Duration
	Constraints cawork.Constraints
	Min         int
	Count       int
	Expires     time.Time
}

// Reservation lists the upstream of each reserved task. An upstream may occur
// more than once.
type Reservation struct {
	ID        ReservationID
	Upstreams []cawork.UpstreamID
	Expires   time.Time
}

// Unplaced is a job at the head of the queue of its team that does not fit on
// the upstreams of the entry now. Tasks lists what it may still start within
// the allowance of its team. A gang needs all of Tasks.
type Unplaced struct {
	Job         cawork.JobID
	Team        cawork.TeamName
	Kind        cawork.WorkKind
	Tasks       []cawork.TaskRef
	Size        cawork.Resources
	RunTime     time.Duration
	Constraints cawork.Constraints
	Waited      time.Duration
}
