package casched

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// MaxDecisions is the most decisions that one call of Decide returns.
const MaxDecisions = 256

// Scheduler decides for one entry: over the upstreams that it owns and the
// jobs of the shard that it leads. It is not safe for concurrent use. Times
// passed in must not decrease.
//
// Two accounts are kept apart. Room on an upstream is committed for every task
// on it, whoever leads its shard. The allowance of a team is charged for tasks
// of the own shard only, wherever they run. Both are taken by the decision that
// places a task and freed by StartFailed with notRun, or Ended.
type Scheduler interface {
	// SetPolicy replaces the policy.
	SetPolicy(p Policy, now time.Time)
	// PutUpstream adds an upstream or changes its description.
	PutUpstream(u Upstream, now time.Time)
	// RemoveUpstream takes the upstream away. Tasks on it stay charged until
	// they are reported as ended.
	RemoveUpstream(id cawork.UpstreamID, now time.Time)
	// SetAllowance sets the most that this entry may have charged for the team.
	// A team without allowance starts nothing.
	SetAllowance(team cawork.TeamName, amount cawork.Resources, now time.Time)
	// SetRemoteUse sets what the other entries reported.
	SetRemoteUse(r RemoteUse, now time.Time)

	// Submit queues a job. It fails with KindInvalid, KindConflict,
	// KindNeverFits, KindOverloaded with a time to retry after, or
	// KindDeadlineBeforeStart; nothing of the job runs then.
	Submit(j cawork.Job, now time.Time) error
	// Restore queues a job of a shard that was taken over, with what is known
	// of its tasks. It is never refused but for a job that is known already.
	Restore(r RestoredJob, now time.Time) error
	// Cancel ends the job. Queued tasks never start; running ones are listed
	// for the caller to stop.
	Cancel(id cawork.JobID, now time.Time) (Cancellation, error)

	// Started tells that a placed task runs.
	Started(task cawork.TaskRef, now time.Time)
	// StartFailed tells that a start failed. With notRun the attempt is proved
	// never to run and the task is queued again within its bound of starts;
	// without it the task stays committed until Ended.
	StartFailed(task cawork.TaskRef, notRun bool, now time.Time) Settlement
	// Withdrawn tells that a placement was given up before anything was sent to
	// the upstream, for example because its intent could not be replicated. The
	// task is queued again; it costs no start and blames no upstream.
	Withdrawn(task cawork.TaskRef, now time.Time) Settlement
	// Ended tells that an attempt is over.
	Ended(e End, now time.Time) Settlement
	// Adopt tells of an attempt that an upstream already runs. A task of a
	// job that is not known here is a foreign one: it takes room but no
	// allowance.
	Adopt(s caplatform.TaskStatus, upstream cawork.UpstreamID, now time.Time)
	// ReportUsage tells the lagging usage of a task.
	ReportUsage(task cawork.TaskRef, used cawork.Resources, now time.Time)
	// MarkUpstream tells of a failure or a success of the upstream itself, for
	// example of a call to its agent.
	MarkUpstream(id cawork.UpstreamID, failed bool, now time.Time)

	// Reserve keeps room for tasks of another entry, or for the local part of a
	// gang. It is idempotent by the id. It fails with KindUnavailable when less
	// than Min fit now; nothing is reserved then.
	Reserve(r ReserveRequest, now time.Time) (Reservation, error)
	// CommitReservation turns the reserved room into foreign tasks, one for
	// each task in the order of the upstreams. KindNotFound tells that it has
	// expired.
	CommitReservation(id ReservationID, tasks []cawork.TaskRef, now time.Time) error
	// ReleaseReservation frees the room, also when the id is not known.
	ReleaseReservation(id ReservationID, now time.Time)
	// PlaceReserved charges queued tasks of an own job for which room is
	// reserved, here under the local id (empty when none) or at other entries.
	// A gang must be placed whole. KindLimitReached tells that the allowance
	// does not suffice, KindNotFound that the local reservation has expired,
	// KindConflict that a task is not queued. Nothing is charged then.
	PlaceReserved(placements []Placement, local ReservationID, now time.Time) (Decision, error)

	// Decide returns the next decisions, at most MaxDecisions. It is called
	// again until it returns none. The result is valid until the next call.
	Decide(now time.Time) []Decision

	// Free returns the uncommitted room on the upstreams that take work.
	Free() cawork.Resources
	// Capacity returns the capacity of the upstreams that take work.
	Capacity() cawork.Resources
	// Uses returns what is charged for each team, in the order of names.
	Uses() []TeamUse
	// QueueLength returns the number of queued tasks of the team and kind.
	QueueLength(team cawork.TeamName, k cawork.WorkKind) int
	// LargestHole returns the largest uncommitted room on one upstream that
	// the constraints allow, by its dominant share of the largest upstream.
	LargestHole(c cawork.Constraints) cawork.Resources
	// Unplaced returns at most limit jobs that the other entries may have room
	// for, those of the teams with the lowest shares first.
	Unplaced(limit int, now time.Time) []Unplaced
	// Check verifies every invariant from scratch and returns a Violation as
	// the error when one is broken.
	Check() error
}
