// Package cajob implements the replicated state machine of a shard: the records
// of accepted work, and the state that results from applying them, which holds
// jobs, tasks, attempts and the allowances of the shard. Applying a record is
// deterministic: replicas that applied the same records have the same state
// and refuse the same records.
package cajob

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

//go:generate go tool enumer -type=RecordType -trimprefix=Record -transform=snake -text -output=recordtype_names.go

// RecordType is the type of a record.
type RecordType int

// The types of records. The payload of each is in the field of Record with the
// same name.
const (
	// RecordJobAccepted adds a new job, or one handed over by another shard.
	RecordJobAccepted RecordType = iota
	// RecordAttemptsIntended opens attempts. It is written ahead of their starts.
	RecordAttemptsIntended
	// RecordAttemptSettled closes an attempt that is not running and never will.
	RecordAttemptSettled
	// RecordJobCanceled marks a job that the caller canceled.
	RecordJobCanceled
	// RecordJobEnded sets the final outcome of a job.
	RecordJobEnded
	// RecordHandedOver transfers the ownership of a job to another shard.
	RecordHandedOver
	// RecordHandoverAcked marks a handover that the other shard has accepted.
	RecordHandoverAcked
	// RecordMintSet sets the share of a team's limit that the shard mints.
	RecordMintSet
	// RecordAllowanceSent debits allowance for another shard.
	RecordAllowanceSent
	// RecordAllowanceReceived credits a transfer from another shard.
	RecordAllowanceReceived
	// RecordAllowanceAcked marks a transfer that the receiver has credited.
	RecordAllowanceAcked
	// RecordPartnerClosed ends the transfers to and from a lost shard.
	RecordPartnerClosed
	// RecordInherited credits the allowance that a lost shard held.
	RecordInherited
	// RecordRebuilt marks that the shard was rebuilt from the log, which may
	// lack its last records. It freezes the account until RecordThawed.
	RecordRebuilt
	// RecordAttemptsFound adds the attempts of a rebuilt shard that its
	// upstreams reported.
	RecordAttemptsFound
	// RecordLostRefused refuses the transfers that a partner sent before it was
	// rebuilt and that have not arrived.
	RecordLostRefused
	// RecordPartnerSettled merges a partner's view of its transfers and
	// handovers into a rebuilt shard.
	RecordPartnerSettled
	// RecordThawed makes the allowances of a rebuilt shard available again.
	RecordThawed
)

// Record is one record of a shard. Of its payload fields, only the one that
// Type names is set.
type Record struct {
	Type RecordType
	// At is the time of the primary that wrote the record. It is the time at
	// which attempts were intended and jobs ended, bounds the retention of ended
	// jobs, and is the least epoch of a rebuild.
	At                time.Time
	JobAccepted       *JobAccepted        `cbor:",omitempty"`
	AttemptsIntended  *AttemptsIntended   `cbor:",omitempty"`
	AttemptSettled    *AttemptSettled     `cbor:",omitempty"`
	JobCanceled       *JobCanceled        `cbor:",omitempty"`
	JobEnded          *JobEnded           `cbor:",omitempty"`
	HandedOver        *HandedOver         `cbor:",omitempty"`
	HandoverAcked     *HandoverAcked      `cbor:",omitempty"`
	MintSet           *caescrow.MintShare `cbor:",omitempty"`
	AllowanceSent     *AllowanceSent      `cbor:",omitempty"`
	AllowanceReceived *caescrow.Transfer  `cbor:",omitempty"`
	AllowanceAcked    *AllowanceAcked     `cbor:",omitempty"`
	PartnerClosed     *PartnerClosed      `cbor:",omitempty"`
	Inherited         *Inherited          `cbor:",omitempty"`
	Rebuilt           *Rebuilt            `cbor:",omitempty"`
	AttemptsFound     *AttemptsFound      `cbor:",omitempty"`
	LostRefused       *LostRefused        `cbor:",omitempty"`
	PartnerSettled    *PartnerSettled     `cbor:",omitempty"`
	Thawed            *Thawed             `cbor:",omitempty"`
	// Format is zero in caversion.FormatUnnumbered.
	Format caversion.Format `cbor:",omitempty"`
}

// WithFormat returns a copy of the record with its format number set.
func (r Record) WithFormat(f caversion.Format) Record {
	r.Format = formatNumber(f)
	return r
}

// formatNumber returns the value of the field Format of a record or snapshot in
// the format.
func formatNumber(f caversion.Format) caversion.Format {
	if f <= caversion.FormatUnnumbered {
		return 0
	}
	return f
}

// JobAccepted is an accepted job. For a job that another shard handed over, it
// includes the state of the tasks there.
type JobAccepted struct {
	Job cawork.Job
	// Key is the idempotency key of the submission, scoped to the team. A second
	// submission with the same key refers to the same job.
	Key string
	// Digest distinguishes different jobs that are submitted with the same key.
	Digest uint64
	Tasks  []Task
	// Canceled, From and Number are set for a job that another shard handed
	// over. Number is the sequence number of the handover among those from that
	// shard to this one.
	Canceled bool
	From     cawork.ShardID
	Number   int64
}

// AttemptsIntended lists attempts of one job that are about to be sent to
// upstreams. For a gang, it must cover all tasks that are not done.
type AttemptsIntended struct {
	Attempts []Intent
}

// Intent is an attempt that is about to be sent to an upstream.
type Intent struct {
	Attempt  cawork.AttemptID
	Task     cawork.TaskRef
	Upstream cawork.UpstreamID
	Charge   cawork.Resources
	// View is the view of the shard in which the primary wrote the intent.
	View int64
}

// AttemptSettled is the end of an attempt. Observed is true if the upstream
// reported the state, and false if it was inferred from an expired lease.
type AttemptSettled struct {
	Attempt  cawork.AttemptID
	State    cawork.TaskState
	Observed bool
	Result   []byte
}

// JobCanceled names a job that the caller canceled.
type JobCanceled struct {
	Job cawork.JobID
}

// JobEnded is the final outcome of a job.
type JobEnded struct {
	Job     cawork.JobID
	Outcome cawork.Outcome
	Result  []byte
}

// HandedOver hands a job without open attempts over to another shard.
type HandedOver struct {
	Job cawork.JobID
	To  cawork.ShardID
}

// HandoverAcked names a job that was handed over and that the other shard has
// accepted.
type HandoverAcked struct {
	Job cawork.JobID
}

// AllowanceSent debits an amount that is sent to another shard.
type AllowanceSent struct {
	To     cawork.ShardID
	Team   cawork.TeamName
	Amount cawork.Resources
}

// AllowanceAcked acknowledges the transfers up to Number.
type AllowanceAcked struct {
	To     cawork.ShardID
	Team   cawork.TeamName
	Number int64
}

// PartnerClosed names a lost shard.
type PartnerClosed struct {
	Lost cawork.ShardID
}

// Inherited holds the closing balances of all other shards with a lost one.
type Inherited struct {
	Lost     cawork.ShardID
	Closings []caescrow.ClosingBalance
}

// Rebuilt freezes a rebuilt shard: it starts no attempt and sends no allowance
// until Thawed.
type Rebuilt struct{}

// Thawed ends the freeze that Rebuilt began.
type Thawed struct{}

var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	options := cbor.CanonicalEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes the record as CBOR.
func (r Record) Encode() ([]byte, error) {
	b, err := encMode.Marshal(r)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode record %v", r.Type)
	}
	return b, nil
}

// DecodeRecord decodes a record from CBOR. It returns a caversion.UnsupportedFormatError
// for a record of a later format.
func DecodeRecord(b []byte) (Record, error) { return decodeRecord(b, caversion.FormatNewest) }

// decodeRecord decodes a record whose format is at most maxFormat.
func decodeRecord(b []byte, maxFormat caversion.Format) (Record, error) {
	if err := caversion.CheckFormatOf("record", b, maxFormat); err != nil {
		return Record{}, err
	}
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Record{}, cakind.Wrap(cakind.KindInvalid, err, "decode record")
	}
	return r, nil
}
