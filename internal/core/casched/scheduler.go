package casched

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// MaxDecisions is the maximum number of decisions that one call of Decide
// returns.
const MaxDecisions = 256

// Scheduler schedules for one entry: it places the jobs of the shard that the
// entry leads and manages the upstreams that the entry owns. It is not safe for
// concurrent use. The times passed to its methods must not decrease.
//
// A task is accounted for twice. Capacity of an upstream is committed for every
// task on it, including foreign tasks, which belong to shards of other entries.
// The allowance of a team is charged only for tasks of the own shard, on
// whichever upstream they run. The decision that places a task takes both;
// Withdrawn, Ended and StartFailed with notRun free them.
type Scheduler interface {
	// SetPolicy replaces the policy.
	SetPolicy(p Policy, now time.Time)
	// PutUpstream adds an upstream or changes its description.
	PutUpstream(u Upstream, now time.Time)
	// RemoveUpstream removes the upstream. Its tasks stay charged until they are
	// reported as ended.
	RemoveUpstream(id cawork.UpstreamID, now time.Time)
	// SetAllowance sets the maximum that this entry may charge to the team. A
	// team without an allowance starts no tasks.
	SetAllowance(team cawork.TeamName, amount cawork.Resources, now time.Time)
	// SetRemoteUse sets the capacity and the charges that other entries reported.
	SetRemoteUse(r RemoteUse, now time.Time)

	// Submit queues a job. It fails with KindInvalid, KindConflict,
	// KindNeverFits, KindOverloaded with a time to retry after, or
	// KindDeadlineBeforeStart. After an error none of the job's tasks runs.
	Submit(j cawork.Job, now time.Time) error
	// Restore queues a job of a shard that was taken over, with the recorded
	// state of its tasks. Admission control does not apply. It fails with
	// KindInvalid, or KindConflict for a job that the scheduler already has.
	Restore(r RestoredJob, now time.Time) error
	// Cancel ends the job. Its queued tasks never start. The result lists the
	// running tasks, which the caller has to stop.
	Cancel(id cawork.JobID, now time.Time) (Cancellation, error)

	// Started reports that a placed task runs.
	Started(task cawork.TaskRef, now time.Time)
	// StartFailed reports that a start failed. With notRun it is proved that the
	// attempt never runs, and the task is queued again unless it has used up its
	// starts. Without notRun the task stays charged until Ended.
	StartFailed(task cawork.TaskRef, notRun bool, now time.Time) AttemptResult
	// Withdrawn reports that a placement was abandoned before anything was sent
	// to the upstream, for example because the intent to start could not be
	// replicated. The task is queued again. This counts neither as a start of the
	// task nor as a failure of the upstream.
	Withdrawn(task cawork.TaskRef, now time.Time) AttemptResult
	// Ended reports that an attempt has ended.
	Ended(e AttemptEnd, now time.Time) AttemptResult
	// Adopt registers an attempt that already runs on an upstream. A task whose
	// job the scheduler does not have is foreign: it takes capacity of the
	// upstream, but no allowance.
	Adopt(s caplatform.TaskStatus, upstream cawork.UpstreamID, now time.Time)
	// ReportUsage reports the measured usage of a task, which lags behind.
	ReportUsage(task cawork.TaskRef, used cawork.Resources, now time.Time)
	// ReportUpstreamResult reports a failure or a success of the upstream itself, for
	// example of a call to its agent. It feeds outlier ejection.
	ReportUpstreamResult(id cawork.UpstreamID, failed bool, now time.Time)

	// Reserve reserves capacity for tasks of another entry, or for the local part
	// of a gang. Requests with the same ID are idempotent. It fails with
	// KindUnavailable and reserves nothing when fewer than Min tasks fit now.
	Reserve(r ReserveRequest, now time.Time) (Reservation, error)
	// CommitReservation places foreign tasks in the reserved capacity, in the
	// order of the reserved upstreams, and releases the rest. It fails with
	// KindNotFound when the reservation has expired.
	CommitReservation(id ReservationID, tasks []cawork.TaskRef, now time.Time) error
	// ReleaseReservation frees the reserved capacity. An unknown ID is ignored.
	ReleaseReservation(id ReservationID, now time.Time)
	// PlaceReserved places and charges queued tasks of an own job for which
	// capacity is reserved, here under the local ID (empty when none) or at other
	// entries. A gang must be placed whole. It fails with KindLimitReached when
	// the allowance does not suffice, with KindNotFound when the local reservation
	// has expired, with KindConflict when a task is not queued, and with
	// KindInvalid when the local reservation does not cover a placement. It
	// charges nothing when it fails.
	PlaceReserved(placements []Placement, local ReservationID, now time.Time) (Decision, error)

	// Decide returns the next decisions, at most MaxDecisions. The caller repeats
	// it until it returns none. The result is valid until the next call.
	Decide(now time.Time) []Decision

	// Free returns the uncommitted capacity of the upstreams that take work.
	Free() cawork.Resources
	// Capacity returns the capacity of the upstreams that take work.
	Capacity() cawork.Resources
	// TeamUses returns what is charged to each team, in the order of names.
	TeamUses() []TeamUse
	// QueueLength returns the number of queued tasks of the team and kind.
	QueueLength(team cawork.TeamName, k cawork.WorkKind) int
	// LargestFree returns the largest uncommitted capacity of a single upstream
	// that the constraints allow, by its dominant share of Capacity.
	LargestFree(c cawork.Constraints) cawork.Resources
	// UnplacedJobs returns at most limit jobs that do not fit here but may fit at
	// other entries, starting with the teams with the lowest shares.
	UnplacedJobs(limit int, now time.Time) []UnplacedJob
	// Check verifies all invariants by computing the sums anew. It returns a
	// *Violation for the first invariant that is broken.
	Check() error
}
