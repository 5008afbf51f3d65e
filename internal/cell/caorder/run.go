package caorder

import (
	"cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=Ending -trimprefix=Ending -transform=snake -output=ending_names.go
//go:generate go tool enumer -type=StartOutcome -trimprefix=Start -transform=snake -output=startoutcome_names.go

// RunID identifies one run of a task. The members of a gang share its number.
type RunID struct {
	Job        cawork.JobID `cbor:"1,keyasint,omitempty"`
	Occurrence int          `cbor:"2,keyasint,omitempty"`
	Step       int          `cbor:"3,keyasint,omitempty"`
	Index      int          `cbor:"4,keyasint,omitempty"`
	Number     int          `cbor:"5,keyasint,omitempty"`
}

// Compare orders runs by the fields of their ids.
func (id RunID) Compare(other RunID) int {
	return cmp.Or(
		cmp.Compare(id.Job, other.Job), cmp.Compare(id.Occurrence, other.Occurrence), cmp.Compare(id.Step, other.Step),
		cmp.Compare(id.Index, other.Index), cmp.Compare(id.Number, other.Number),
	)
}

// Ending says how a run ended.
type Ending int

// The endings of a run.
const (
	EndingDone Ending = iota
	// EndingFailed counts as an attempt.
	EndingFailed
	EndingStopped
	// EndingLapsed means that the lease of the upstream expired.
	EndingLapsed
	// EndingBroken means that another member of the gang ended.
	EndingBroken
	// EndingAlone means that the other members of the gang did not start.
	EndingAlone
)

// StartOutcome is the outcome of the call that starts a run.
type StartOutcome int

// The outcomes of a start call.
const (
	StartAccepted StartOutcome = iota
	// StartUnknown means that the call may take effect, now or later.
	StartUnknown
	// StartFenced means that the upstream has accepted the fencing token of a later
	// leader.
	StartFenced
	// StartOutdated means that the upstream has already had a run of the task with this
	// number or a higher one.
	StartOutdated
	// StartLate means that the lease in the call had expired.
	StartLate
	// StartNoRoom means that the upstream has no room.
	StartNoRoom
	// StartNoTicket means that the ticket is no longer valid.
	StartNoTicket
	// StartMismatch means that another incarnation answered.
	StartMismatch
	// StartUnhealthy means that the upstream rejected the call as overloaded or
	// unhealthy.
	StartUnhealthy
	// StartInvalid means that the upstream can not interpret the call.
	StartInvalid
)
