package casched

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// ReservationID identifies a reservation. The requester chooses it, so that
// repeated requests are idempotent.
type ReservationID string

// ReserveRequest asks an entry to reserve capacity on its upstreams for tasks of
// another entry. Between Min and Count tasks are reserved, or none at all.
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

// Reservation lists the upstream of each reserved task. An upstream with several
// reserved tasks is listed once for each.
type Reservation struct {
	ID        ReservationID
	Upstreams []cawork.UpstreamID
	Expires   time.Time
}

// UnplacedJob is a job at the head of the queue of its team that does not fit on
// the upstreams of the entry now. Tasks lists the tasks that it may start within
// the allowance of its team. A gang starts all of Tasks together.
type UnplacedJob struct {
	Job         cawork.JobID
	Team        cawork.TeamName
	Kind        cawork.WorkKind
	Tasks       []cawork.TaskRef
	Size        cawork.Resources
	RunTime     time.Duration
	Constraints cawork.Constraints
	Waited      time.Duration
}
