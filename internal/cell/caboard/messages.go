package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/casilence"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/cell/caterms"
)

// Record is the new stored record of a job. A nil value deletes the stored record.
type Record struct {
	Job   cawork.JobID
	Value []byte
	phase castate.Phase
}

// Batch holds changes that are stored together.
type Batch struct {
	Records []Record
	// Terms are the records of the definitions that jobs need. They are stored no later than Records.
	Terms []caterms.Record
	// Crashes are the records of the crashes under the tasks of jobs. They are stored no later than
	// Records.
	Crashes []Record
	// Silent are the upstreams to declare as silent in the record of the claim.
	Silent []casilence.Upstream
	// LongLeases are the leases that a later leader would take for shorter ones.
	LongLeases []LongLease
	// InheritedRemaining is the longest time until the leases that earlier leaders granted
	// have expired.
	InheritedRemaining time.Duration
	// RequestDelay is how much longer than announced approval requests are in flight on average.
	RequestDelay time.Duration
	starts       []*run
	ends         map[*upstream]endWatermark
	// jobEnds are the upstreams whose ends the records of jobs depend on.
	jobEnds map[cawork.JobID]map[*upstream]bool
	// Held counts the records that were held back since they cannot be stored. Dropped are the jobs of
	// them that were never stored and are not accepted.
	Held    int
	Dropped []cawork.JobID
}

// endWatermark is the number of the last applied end of an incarnation of an upstream.
type endWatermark struct {
	born   int64
	number int64
}
