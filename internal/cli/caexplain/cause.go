package caexplain

//go:generate go tool enumer -type=Cause -trimprefix=Cause -transform=snake -json -output=cause_names.go

// Cause is a reason for which a job took time.
type Cause int

// The causes, in the order in which they occur.
const (
	// CauseNotAccepted is the time from the first call of the caller until the job was
	// accepted, including retries after refusals and calls without a response.
	CauseNotAccepted Cause = iota
	// CauseWait is the time until the first start of a task, which may wait for the advisor, for
	// free resources, for the upper limit of its team or for the store.
	CauseWait
	// CauseFailed is the time until a task was restarted after a failed run.
	CauseFailed
	// CauseLost is the same after a run whose upstream became unreachable.
	CauseLost
	// CauseUnanswered is the same after a start without a response.
	CauseUnanswered
	// CauseLong is the time by which a run exceeded longRunFactor times the median of its step.
	CauseLong
	// CauseRun is the time in which tasks ran.
	CauseRun
)
