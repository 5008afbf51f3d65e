// Package cajob holds the records of accepted work that a shard replicates,
// and the state folded from them: jobs, tasks, attempts and the shard's
// allowances. Folding is deterministic, so that every replica that applied
// the same records has the same state and refuses the same records.
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

// RecordType tells what a record notes.
type RecordType int

// The types of records. Each uses the field of Record of the same name.
const (
	// RecordJobAccepted notes a new job, or one handed over by another shard.
	RecordJobAccepted RecordType = iota
	// RecordAttemptsIntended notes attempts before they are sent.
	RecordAttemptsIntended
	// RecordAttemptSettled notes that an attempt does not run and never will.
	RecordAttemptSettled
	// RecordJobCanceled notes that the caller wants no more of the job.
	RecordJobCanceled
	// RecordJobEnded notes the final outcome of a job.
	RecordJobEnded
	// RecordHandedOver notes that a job belongs to another shard from now on.
	RecordHandedOver
	// RecordHandoverAcked notes that the other shard has accepted the job.
	RecordHandoverAcked
	// RecordMintSet sets the share of a limit that the shard mints.
	RecordMintSet
	// RecordAllowanceSent debits allowance for another shard.
	RecordAllowanceSent
	// RecordAllowanceReceived credits a transfer of another shard.
	RecordAllowanceReceived
	// RecordAllowanceAcked notes that a transfer has arrived.
	RecordAllowanceAcked
	// RecordPartnerClosed ends the dealings with a lost shard.
	RecordPartnerClosed
	// RecordInherited credits what a lost shard held.
	RecordInherited
	// RecordRebuilt notes that the shard was rebuilt from the log, which may
	// lack its last records.
	RecordRebuilt
	// RecordAttemptsFound takes in what the upstreams know of the attempts of a
	// rebuilt shard.
	RecordAttemptsFound
	// RecordLostRefused refuses what a partner sent before it was rebuilt.
	RecordLostRefused
	// RecordPartnerSettled takes over what a partner tells a rebuilt shard.
	RecordPartnerSettled
	// RecordThawed ends the time that RecordRebuilt began.
	RecordThawed
)

// Record is one record of a shard. At is the time of the primary that wrote
// it; it only bounds how long ended jobs are kept. Of the other fields, the
// one that Type names is set.
type Record struct {
	Type              RecordType
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
	// Format is unset in caversion.FormatUnnumbered.
	Format caversion.Format `cbor:",omitempty"`
}

// WithFormat returns a copy that states the format in which it is written.
func (r Record) WithFormat(f caversion.Format) Record {
	r.Format = numbered(f)
	return r
}

// numbered returns the number that a record or snapshot of the format states.
func numbered(f caversion.Format) caversion.Format {
	if f <= caversion.FormatUnnumbered {
		return 0
	}
	return f
}

// JobAccepted is a job and, when another shard handed it over, what its tasks
// went through there.
type JobAccepted struct {
	Job cawork.Job
	// Key is the idempotency key of the submission, scoped by the team. A
	// second submission with the key is the same job.
	Key string
	// Digest tells apart the jobs that are submitted under one key.
	Digest uint64
	Tasks  []Task
	// Canceled, From and Number are set for a job that another shard handed
	// over. Number counts the jobs handed over from that shard to this one.
	Canceled bool
	From     cawork.ShardID
	Number   int64
}

// AttemptsIntended notes attempts of one job that are about to be sent. For a
// gang it holds all tasks that are not done.
type AttemptsIntended struct {
	Attempts []Intent
}

// Intent is an attempt that is about to be sent.
type Intent struct {
	Attempt  cawork.AttemptID
	Task     cawork.TaskRef
	Upstream cawork.UpstreamID
	Charge   cawork.Resources
	// View is the view of the shard in which the attempt is intended.
	View int64
}

// AttemptSettled is the end of an attempt. Observed reports whether the
// upstream told the state; otherwise it was inferred from a lapsed lease.
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

// HandedOver gives a job that has no open attempt to another shard.
type HandedOver struct {
	Job cawork.JobID
	To  cawork.ShardID
}

// HandoverAcked names a job that the other shard has accepted.
type HandoverAcked struct {
	Job cawork.JobID
}

// AllowanceSent debits an amount for another shard.
type AllowanceSent struct {
	To     cawork.ShardID
	Team   cawork.TeamName
	Amount cawork.Resources
}

// AllowanceAcked notes that the transfer of the number has arrived.
type AllowanceAcked struct {
	To     cawork.ShardID
	Team   cawork.TeamName
	Number int64
}

// PartnerClosed names a lost shard.
type PartnerClosed struct {
	Lost cawork.ShardID
}

// Inherited holds the closings of all other shards with a lost one.
type Inherited struct {
	Lost     cawork.ShardID
	Closings []caescrow.Closing
}

// Rebuilt begins the time in which a rebuilt shard starts nothing and moves no
// allowance.
type Rebuilt struct{}

// Thawed ends the time that Rebuilt began.
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

// Encode returns the CBOR form of the record.
func (r Record) Encode() ([]byte, error) {
	b, err := encMode.Marshal(r)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode record %v", r.Type)
	}
	return b, nil
}

// DecodeRecord reads the CBOR form of a record. One of a later format is a
// caversion.LaterError.
func DecodeRecord(b []byte) (Record, error) { return decodeRecord(b, caversion.FormatNewest) }

// decodeRecord reads a record of the formats up to the given one.
func decodeRecord(b []byte, reads caversion.Format) (Record, error) {
	if err := caversion.CheckFormatOf("record", b, reads); err != nil {
		return Record{}, err
	}
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Record{}, cakind.Wrap(cakind.KindInvalid, err, "decode record")
	}
	return r, nil
}
