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
	seen    map[*upstream]endSeen
}

// endSeen is the last end of an incarnation of an upstream that was applied.
type endSeen struct {
	born   int64
	number int64
}

// StartOrder tells an upstream to start a run.
type StartOrder struct {
	Run        RunID             `cbor:"1,keyasint,omitempty"`
	Upstream   cawork.UpstreamID `cbor:"2,keyasint,omitempty"`
	Address    string            `cbor:"3,keyasint,omitempty"`
	Born       int64             `cbor:"4,keyasint,omitempty"`
	Payload    string            `cbor:"5,keyasint,omitempty"`
	Checkpoint string            `cbor:"6,keyasint,omitempty"`
	Ticket     string            `cbor:"7,keyasint,omitempty"`
	// UntilMS is the end of the lease on the clock of the upstream.
	UntilMS int64 `cbor:"8,keyasint,omitempty"`
}

// StopOrder tells an upstream to stop a run.
type StopOrder struct {
	Run      RunID             `cbor:"1,keyasint,omitempty"`
	Upstream cawork.UpstreamID `cbor:"2,keyasint,omitempty"`
	Address  string            `cbor:"3,keyasint,omitempty"`
	Born     int64             `cbor:"4,keyasint,omitempty"`
}

// Ask is a question to the advisor: which of the upstreams may run the step.
type Ask struct {
	Job        cawork.JobID        `cbor:"1,keyasint,omitempty"`
	Occurrence int                 `cbor:"2,keyasint,omitempty"`
	Step       int                 `cbor:"3,keyasint,omitempty"`
	Upstreams  []cawork.UpstreamID `cbor:"4,keyasint,omitempty"`
	// Cost is how long the advisor needs.
	Cost time.Duration `cbor:"5,keyasint,omitempty"`
	// Long questions go through some of the entries only, so that the others
	// are free for short ones.
	Long bool `cbor:"6,keyasint,omitempty"`
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
	// Looks are the upstreams to ask for a report at once.
	Looks []cawork.UpstreamID
}

// Report is what an upstream tells about its runs.
type Report struct {
	Upstream cawork.UpstreamID `cbor:"1,keyasint,omitempty"`
	Born     int64             `cbor:"2,keyasint,omitempty"`
	// SentAt and ReceivedAt are the times of the call and its answer, on the clock
	// of the leader. They do not travel.
	SentAt     time.Time `cbor:"-"`
	ReceivedAt time.Time `cbor:"-"`
	// ClockMS is the clock of the upstream.
	ClockMS int64        `cbor:"5,keyasint,omitempty"`
	Running []RunningRow `cbor:"6,keyasint,omitempty"`
	Ended   []EndedRow   `cbor:"7,keyasint,omitempty"`
	// Partial is set when some rows could not be read. What the others do not show
	// may run.
	Partial bool `cbor:"8,keyasint,omitempty"`
}

// RunningRow is a run that is present at an upstream.
type RunningRow struct {
	Run        RunID  `cbor:"1,keyasint,omitempty"`
	Checkpoint string `cbor:"2,keyasint,omitempty"`
	Percent    int    `cbor:"3,keyasint,omitempty"`
	Load       int    `cbor:"4,keyasint,omitempty"`
}

// EndedRow is a run that ended at an upstream. Numbers rise from 1 in each
// incarnation.
type EndedRow struct {
	Number     int64  `cbor:"1,keyasint,omitempty"`
	Run        RunID  `cbor:"2,keyasint,omitempty"`
	Ending     Ending `cbor:"3,keyasint,omitempty"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// Lease is what a call that renews the lease of an upstream carries.
type Lease struct {
	Upstream cawork.UpstreamID `cbor:"1,keyasint,omitempty"`
	Address  string            `cbor:"2,keyasint,omitempty"`
	Born     int64             `cbor:"3,keyasint,omitempty"`
	// UntilMS is the new end of the lease on the clock of the upstream, zero
	// while its clock is not known.
	UntilMS int64 `cbor:"4,keyasint,omitempty"`
	// StoredEnd is the number of the last end that is stored.
	StoredEnd int64 `cbor:"5,keyasint,omitempty"`
}
