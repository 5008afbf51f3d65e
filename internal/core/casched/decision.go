package casched

import (
	"fmt"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=DecisionKind -trimprefix=Decision -transform=snake -text -output=decisionkind_names.go
//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=snake -text -output=reason_names.go

// DecisionKind is the action that a decision requests or reports.
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
	// DecisionRefuse ends a queued job that can no longer run. None of its tasks
	// runs.
	DecisionRefuse
	// DecisionExpire ends a queued job whose deadline passed before its start.
	DecisionExpire
	// DecisionReserve reports that capacity is reserved for a job.
	DecisionReserve
	// DecisionEject reports that an upstream is ejected: it gets no new tasks for
	// a while.
	DecisionEject
	// DecisionRestore reports that an ejected upstream gets tasks again.
	DecisionRestore
)

// Reason is why a decision was taken.
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

// Placement assigns a task to an upstream and has the size committed for it.
type Placement struct {
	Task     cawork.TaskRef
	Upstream cawork.UpstreamID
	Size     cawork.Resources
}

// Decision is the immutable record of one decision. Placements has one element
// for each task that starts, one for the task that is checkpointed, stopped or
// throttled, and none for other decisions.
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

// Text formats the decision for a log line.
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
