package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// run is a run that may be present at an upstream. Its resources stay charged to the
// upstream and the team until it is known to have ended.
type run struct {
	id       caorder.RunID
	step     *step
	upstream *upstream
	team     cawork.TeamName
	size     cawork.Resources
	// isCharged is set while it may be present at the upstream, which then has it among its runs.
	isCharged bool
	// wide is set for members of wide gangs.
	wide bool
	// assignedAt is when the run was assigned.
	assignedAt time.Time
	// born is the incarnation of the upstream that the start order is for.
	born int64
	// sent is set once the start call was sent, by this or an earlier leader.
	sent bool
	// sentAt is when this leader sent it, and startAnswered is set once that call was
	// answered.
	sentAt        time.Time
	startAnswered bool
	// confirmed is set once the upstream has reported the run. Later reports must list
	// the run unless it has ended, if they were requested after confirmedAt: a report
	// that waits at the upstream also lists runs that started after the request.
	confirmed   bool
	confirmedAt time.Time
	// reportedIncarnation is the start time of the incarnation whose report listed the
	// run, or zero.
	reportedIncarnation int64
	// inherited runs were started by an earlier leader.
	inherited bool
	// crashCounted is set once a crash of the upstream in incarnation crashedIn was counted for
	// the run.
	crashCounted bool
	crashedIn    int64
	// resumed runs start from a checkpoint.
	resumed bool
	// onProbation is set if it was started on probation.
	onProbation bool
	// stopping is set once the run is to be stopped.
	stopping bool
	// stopOrderedAt is when the last stop call was ordered.
	stopOrderedAt time.Time
	// stopInFlight is set while a stop call is in flight.
	stopInFlight bool
	// lastStopAt is when the last stop call ended.
	lastStopAt time.Time
	// stopAckedAt is when the upstream acknowledged the stop.
	stopAckedAt time.Time
	// ticket permits the start until ticketExpires, which is zero where no ticket is
	// needed.
	ticket        string
	ticketExpires time.Time
}

func (r *run) task() *castate.Task { return &r.step.state().Tasks[r.id.Index] }

// isCurrent reports whether the run is the one that its task is assigned to.
func (r *run) isCurrent() bool {
	if r.step.orphan {
		return false
	}
	t := r.task()
	return t.Phase == castate.TaskAssigned && t.Run == r.id.Number
}

// keepsGangRoom reports whether the room of the run is not free for wide gangs soon.
func (r *run) keepsGangRoom() bool { return r.wide || r.step.spec.LongRunning }

// confirm records that the upstream reported the run at the time.
func (r *run) confirm(at time.Time) {
	r.step.job.reportedRunning = true
	if !r.confirmed {
		r.confirmed = true
		r.confirmedAt = at
	}
}

// mayCountCrash reports whether the end of an incarnation of the upstream may count for the run. A start
// order without an answer may meet several of them, but is carried out in one at most.
func (r *run) mayCountCrash(incarnation int64) bool {
	return r.confirmed || !r.crashCounted || r.crashedIn == incarnation
}

// mayStillStart reports whether the start order may still take effect, even in a later
// incarnation of the upstream: it was not answered, and nothing has superseded it since.
// Orders of earlier leaders are superseded by the fencing token of this one.
func (r *run) mayStillStart() bool { return r.sent && !r.confirmed && !r.inherited }
