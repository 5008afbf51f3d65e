package caboard

import (
	"cmp"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

//go:generate go tool enumer -type=Ending -trimprefix=Ending -transform=snake -output=ending_names.go
//go:generate go tool enumer -type=StartOutcome -trimprefix=Start -transform=snake -output=startoutcome_names.go

// RunID names one run of a task. The members of a gang share its number.
type RunID struct {
	Job        cawork.JobID `cbor:"1,keyasint,omitempty"`
	Occurrence int          `cbor:"2,keyasint,omitempty"`
	Step       int          `cbor:"3,keyasint,omitempty"`
	Index      int          `cbor:"4,keyasint,omitempty"`
	Number     int          `cbor:"5,keyasint,omitempty"`
}

// compare orders runs by their names.
func (id RunID) compare(other RunID) int {
	return cmp.Or(
		cmp.Compare(id.Job, other.Job), cmp.Compare(id.Occurrence, other.Occurrence), cmp.Compare(id.Step, other.Step),
		cmp.Compare(id.Index, other.Index), cmp.Compare(id.Number, other.Number),
	)
}

// Ending tells how a run ended.
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
	// EndingAlone means that the other members of the gang did not come.
	EndingAlone
)

// StartOutcome is what became of the call that starts a run.
type StartOutcome int

// The outcomes of a start call.
const (
	StartAccepted StartOutcome = iota
	// StartUnknown means that the call may take effect, now or later.
	StartUnknown
	// StartFenced means that the upstream obeys a later leader.
	StartFenced
	// StartOutdated means that the upstream knows a run that is not lower.
	StartOutdated
	// StartLate means that the lease in the call was over.
	StartLate
	// StartNoRoom means that the upstream has no room.
	StartNoRoom
	// StartNoTicket means that the ticket is not valid any more.
	StartNoTicket
	// StartMismatch means that another incarnation answered.
	StartMismatch
	// StartUnhealthy means that the upstream turned the call away.
	StartUnhealthy
	// StartInvalid means that the upstream can not make sense of the call.
	StartInvalid
)

// run is a run that may be present at an upstream. Its room and the use of its
// team stay charged until it is known to be gone.
type run struct {
	id   RunID
	step *step
	up   *upstream
	team cawork.TeamName
	size cawork.Resources
	// wide is set for members of wide gangs.
	wide bool
	// at is when it was assigned.
	at time.Time
	// sent is set once the start call was sent, by this or an earlier leader.
	sent bool
	// sentAt is when this leader sent it, and answered is set once that call had an
	// answer.
	sentAt   time.Time
	answered bool
	// confirmed is set once the upstream has shown the run. A report that was
	// asked for after confirmedAt shows it too, unless it is over: reports that
	// wait at the upstream show what began after they were asked for.
	confirmed   bool
	confirmedAt time.Time
	// shownBy is the start of the incarnation whose report showed the run, zero
	// while none did.
	shownBy int64
	// inherited runs were ordered by an earlier leader.
	inherited bool
	// resumed runs begin from a checkpoint.
	resumed bool
	// stopping is set once the run is to be stopped.
	stopping bool
	// stopCalling is set while a stop call is under way.
	stopCalling bool
	// stopTried is when the last stop call ended.
	stopTried time.Time
	// stopAcked is when the upstream acknowledged the stop.
	stopAcked time.Time
	// ticket permits the start until ticketEnds, which is zero where none is
	// needed.
	ticket     string
	ticketEnds time.Time
}

func (r *run) task() *castate.Task { return &r.step.state().Tasks[r.id.Index] }

// isCurrent reports whether the task still stands on this run.
func (r *run) isCurrent() bool {
	if r.step.orphan {
		return false
	}
	t := r.task()
	return t.Phase == castate.TaskAssigned && t.Run == r.id.Number
}

// confirm notes that the upstream has shown the run at the time.
func (r *run) confirm(at time.Time) {
	r.step.job.shownRunning = true
	if !r.confirmed {
		r.confirmed = true
		r.confirmedAt = at
	}
}

// mayStartLate reports whether the start order may still come about, also in a
// later incarnation of the upstream: it had no answer, and nothing has outdated
// it since. Orders of earlier leaders are outdated by the token of this one.
func (r *run) mayStartLate() bool { return r.sent && !r.confirmed && !r.inherited }
