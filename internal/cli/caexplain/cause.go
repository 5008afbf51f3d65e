package caexplain

//go:generate go tool enumer -type=Cause -trimprefix=Cause -transform=snake -json -output=cause_names.go

// Cause is why a job took the time that it took.
type Cause int

// The causes, in the order in which they follow each other.
const (
	// CauseNotAccepted is the time from the first call of the caller until the job was
	// accepted: it was refused and came again, or had no answer.
	CauseNotAccepted Cause = iota
	// CauseWait is the time until a task was started first: for the advisor, for room,
	// for the upper limit of its team, for the store.
	CauseWait
	// CauseFailed is the time until a task whose run failed was started again.
	CauseFailed
	// CauseLost is the same after a run whose upstream was out of reach.
	CauseLost
	// CauseUnanswered is the same after a start without an answer.
	CauseUnanswered
	// CauseLong is the time for which a run took longer than others of its step.
	CauseLong
	// CauseRun is the time in which tasks ran.
	CauseRun
)
