package casched

import (
	"fmt"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=DecisionKind -trimprefix=Decision -transform=snake -text -output=decisionkind_names.go
//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=snake -text -output=reason_names.go

// DecisionKind tells what a decision asks for.
type DecisionKind int

// The kinds of decisions.
const (
	// DecisionPlace asks to start a task.
	DecisionPlace DecisionKind = iota
	// DecisionPlaceGang asks to start all tasks of a job together.
	DecisionPlaceGang
	// DecisionCheckpoint asks to checkpoint a running task.
	DecisionCheckpoint
	// DecisionStop asks to stop a running task.
	DecisionStop
	// DecisionThrottle asks to throttle a running task.
	DecisionThrottle
	// DecisionRefuse ends a queued job that can no longer run. Nothing of it
	// runs.
	DecisionRefuse
	// DecisionExpire ends a queued job whose deadline passed before its start.
	DecisionExpire
	// DecisionReserve tells that room is kept for a job.
	DecisionReserve
	// DecisionEject tells that an upstream gets no more work for a while.
	DecisionEject
	// DecisionRestore tells that an ejected upstream gets work again.
	DecisionRestore
)

// Reason tells why a decision was taken.
type Reason int

// The reasons.
const (
	ReasonLowestShare Reason = iota
	ReasonUrgent
	ReasonBackfill
	ReasonReservation
	ReasonGangFits
	ReasonProbe
	ReasonOverLimit
	ReasonOverSize
	ReasonShare
	ReasonUrgentPreemption
	ReasonGangMemberLost
	ReasonNotSavedInTime
	ReasonCanceled
	ReasonDeadline
	ReasonNeverFits
	ReasonBlocked
	ReasonFailureRate
	ReasonProbeSucceeded
)

// Placement is a task on an upstream with the size that is committed for it.
type Placement struct {
	Task     cawork.TaskRef
	Upstream cawork.UpstreamID
	Size     cawork.Resources
}

// Decision is the immutable record of one decision. Placements has one element
// but for DecisionPlaceGang, and for decisions about no task, which have none.
type Decision struct {
	Kind       DecisionKind
	Reason     Reason
	At         time.Time
	Job        cawork.JobID
	Team       cawork.TeamName
	WorkKind   cawork.WorkKind
	Placements []Placement
	// Upstream is set for decisions about an upstream.
	Upstream cawork.UpstreamID
	// Waited is the time since the job was accepted.
	Waited time.Duration
	// Share is the weighted dominant share of the team before the decision.
	Share float64
	// Loss is the work that a checkpoint or a stop puts at risk.
	Loss time.Duration
	// Attempts counts the attempts of the task before this one.
	Attempts int
}

// Text returns the decision in words for the log line.
func (d Decision) Text() string {
	where := string(d.Upstream)
	if len(d.Placements) > 0 {
		where = string(d.Placements[0].Upstream)
	}
	switch d.Kind {
	case DecisionPlace, DecisionPlaceGang:
		return fmt.Sprintf("%s on %s: %s, waited %v, share %.4f, tasks %d",
			d.Kind, where, d.Reason, d.Waited, d.Share, len(d.Placements))
	case DecisionCheckpoint, DecisionStop, DecisionThrottle:
		return fmt.Sprintf("%s on %s: %s, loss %v, share %.4f", d.Kind, where, d.Reason, d.Loss, d.Share)
	case DecisionEject, DecisionRestore:
		return fmt.Sprintf("%s %s: %s", d.Kind, where, d.Reason)
	default:
		return fmt.Sprintf("%s: %s, waited %v", d.Kind, d.Reason, d.Waited)
	}
}
