package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// Record is the new record of a job. A nil value removes it.
type Record struct {
	Job   cawork.JobID
	Value []byte
	phase castate.Phase
}

// Batch holds changes that are stored together.
type Batch struct {
	Records []Record
	starts  []*run
	seen    map[*upstream]int64
}

// IsEmpty reports whether the batch changes nothing.
func (b Batch) IsEmpty() bool { return len(b.Records) == 0 && len(b.seen) == 0 && len(b.starts) == 0 }

// StartOrder tells an upstream to start a run.
type StartOrder struct {
	Run        RunID
	Upstream   cawork.UpstreamID
	Address    string
	Born       int64
	Payload    string
	Checkpoint string
	Ticket     string
	// UntilMS is the end of the lease on the clock of the upstream.
	UntilMS int64
}

// StopOrder tells an upstream to stop a run.
type StopOrder struct {
	Run      RunID
	Upstream cawork.UpstreamID
	Address  string
	Born     int64
}

// Ask is a question to the advisor: which of the upstreams may run the step.
type Ask struct {
	Job        cawork.JobID
	Occurrence int
	Step       int
	Upstreams  []cawork.UpstreamID
	// Cost is how long the advisor needs.
	Cost time.Duration
	// Long questions go through some of the entries only, so that the others
	// are free for short ones.
	Long bool
}

// Approval permits an upstream to run a step.
type Approval struct {
	Upstream cawork.UpstreamID `cbor:"1,keyasint"`
	Ticket   string            `cbor:"2,keyasint"`
}

// Orders are what is to be done at once.
type Orders struct {
	Stops []StopOrder
	Asks  []Ask
}

// Report is what an upstream tells about its runs.
type Report struct {
	Upstream cawork.UpstreamID
	Born     int64
	// SentAt and ReceivedAt are the times of the call and its answer.
	SentAt     time.Time
	ReceivedAt time.Time
	// ClockMS is the clock of the upstream.
	ClockMS int64
	Running []RunningRow
	Ended   []EndedRow
}

// RunningRow is a run that is present at an upstream.
type RunningRow struct {
	Run        RunID
	Checkpoint string
	Percent    int
	Load       int
}

// EndedRow is a run that ended at an upstream. Numbers rise from 1 in each
// incarnation.
type EndedRow struct {
	Number     int64
	Run        RunID
	Ending     Ending
	Checkpoint string
}

// Lease is what a call that renews the lease of an upstream carries.
type Lease struct {
	Upstream cawork.UpstreamID
	Address  string
	Born     int64
	// UntilMS is the new end of the lease on the clock of the upstream, zero
	// while its clock is not known.
	UntilMS int64
	// StoredEnd is the number of the last end that is stored.
	StoredEnd int64
}
