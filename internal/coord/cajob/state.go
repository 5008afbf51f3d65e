package cajob

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// Retention bounds the age and the number of the ended jobs that a shard keeps
// for queries.
type Retention struct {
	MaxAge   time.Duration
	MaxCount int
}

// DefaultRetention keeps ended jobs for an hour, at most 4,000 of them.
func DefaultRetention() Retention { return Retention{MaxAge: time.Hour, MaxCount: 4_000} }

// Handover is a job that is being handed over to another shard. The receiver
// appends Accepted to its records.
type Handover struct {
	To       cawork.ShardID
	Accepted JobAccepted
}

type submissionKey struct {
	Team cawork.TeamName
	Key  string
}

// State is the replicated state of one shard, built by applying its records in
// order. It is not safe for concurrent use.
type State struct {
	shard     cawork.ShardID
	retention Retention
	account   *caescrow.Account
	jobs      map[cawork.JobID]*Job
	attempts  map[cawork.AttemptID]*Attempt
	jobsByKey map[submissionKey]cawork.JobID
	endedJobs []cawork.JobID
	openCount int
	// handedTo and handedFrom count the handovers to and from each other shard.
	handedTo   map[cawork.ShardID]int64
	handedFrom map[cawork.ShardID]int64
	// foundApplied reports whether RecordAttemptsFound was applied since the
	// last RecordRebuilt.
	foundApplied bool
	// writeFormat returns the format in which to write snapshots. maxReadFormat
	// is the newest format that is read.
	writeFormat   func() caversion.Format
	maxReadFormat caversion.Format
}

// NewState returns the empty state of the shard.
func NewState(shard cawork.ShardID, r Retention) *State {
	return &State{
		shard:     shard,
		retention: r,
		account:   caescrow.NewAccount(shard),
		jobs:      map[cawork.JobID]*Job{},
		attempts:  map[cawork.AttemptID]*Attempt{},
		jobsByKey: map[submissionKey]cawork.JobID{},

		handedTo:      map[cawork.ShardID]int64{},
		handedFrom:    map[cawork.ShardID]int64{},
		writeFormat:   func() caversion.Format { return caversion.FormatUnnumbered },
		maxReadFormat: caversion.FormatNewest,
	}
}

// SetFormats sets the function that returns the format for writing snapshots,
// and the newest format that is read. By default, snapshots are written in
// caversion.FormatUnnumbered, and every format up to caversion.FormatNewest is
// read.
func (s *State) SetFormats(writeFormat func() caversion.Format, maxFormat caversion.Format) {
	s.writeFormat, s.maxReadFormat = writeFormat, maxFormat
}

// Apply decodes a record from CBOR and applies it. An invalid record is refused
// with a typed error and has no effect but the pruning of ended jobs. Every
// replica refuses the same records.
func (s *State) Apply(payload []byte) error {
	r, err := decodeRecord(payload, min(s.maxReadFormat, caversion.FormatNewest))
	if err != nil {
		return err
	}
	return s.ApplyRecord(r)
}

// ApplyRecord prunes ended jobs by the time of the record, then applies it.
func (s *State) ApplyRecord(r Record) error {
	s.pruneEnded(r.At)
	if err := s.applyJobRecord(r); err != nil {
		return err
	}
	return s.checkCounts()
}

func (s *State) applyJobRecord(r Record) error {
	switch {
	case r.Type == RecordJobAccepted && r.JobAccepted != nil:
		return s.acceptJob(*r.JobAccepted)
	case r.Type == RecordAttemptsIntended && r.AttemptsIntended != nil:
		return s.addAttempts(*r.AttemptsIntended, r.At)
	case r.Type == RecordAttemptSettled && r.AttemptSettled != nil:
		return s.settleAttempt(*r.AttemptSettled)
	case r.Type == RecordJobCanceled && r.JobCanceled != nil:
		return s.cancelJob(*r.JobCanceled)
	case r.Type == RecordJobEnded && r.JobEnded != nil:
		return s.endJob(*r.JobEnded, r.At)
	case r.Type == RecordHandedOver && r.HandedOver != nil:
		return s.handOverJob(*r.HandedOver)
	case r.Type == RecordHandoverAcked && r.HandoverAcked != nil:
		return s.acknowledgeHandover(*r.HandoverAcked, r.At)
	case r.Type == RecordRebuilt && r.Rebuilt != nil:
		s.account.Rebuild(r.At.UnixNano())
		s.foundApplied = false
		return nil
	case r.Type == RecordAttemptsFound && r.AttemptsFound != nil:
		s.applyAttemptsFound(*r.AttemptsFound, r.At)
		return nil
	case r.Type == RecordPartnerSettled && r.PartnerSettled != nil:
		return s.applyPartnerSettled(*r.PartnerSettled, r.At)
	case r.Type == RecordThawed && r.Thawed != nil:
		s.account.Unfreeze()
		return nil
	default:
		return s.applyAllowanceRecord(r)
	}
}

func (s *State) applyAllowanceRecord(r Record) error {
	switch {
	case r.Type == RecordMintSet && r.MintSet != nil:
		return s.account.SetMint(*r.MintSet)
	case r.Type == RecordAllowanceSent && r.AllowanceSent != nil:
		_, err := s.account.Send(r.AllowanceSent.To, r.AllowanceSent.Team, r.AllowanceSent.Amount)
		return err
	case r.Type == RecordAllowanceReceived && r.AllowanceReceived != nil:
		_, err := s.account.Receive(*r.AllowanceReceived)
		return err
	case r.Type == RecordAllowanceAcked && r.AllowanceAcked != nil:
		s.account.Acknowledge(r.AllowanceAcked.To, r.AllowanceAcked.Team, r.AllowanceAcked.Number)
		return nil
	case r.Type == RecordLostRefused && r.LostRefused != nil:
		s.account.RefuseOldTransfers(r.LostRefused.Shard, r.LostRefused.Epoch)
		return nil
	case r.Type == RecordPartnerClosed && r.PartnerClosed != nil:
		s.account.ClosePartner(r.PartnerClosed.Lost)
		return nil
	case r.Type == RecordInherited && r.Inherited != nil:
		return s.account.Inherit(r.Inherited.Lost, r.Inherited.Closings)
	default:
		return cakind.New(cakind.KindInvalid, "record of type %v has no body", r.Type)
	}
}

// Account returns the allowances of the shard. The caller must not change it.
func (s *State) Account() *caescrow.Account { return s.account }

// Job returns a copy of a job of the shard, open or ended.
func (s *State) Job(id cawork.JobID) (Job, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, false
	}
	return j.clone(), true
}

// JobByKey returns the job that was accepted with the idempotency key.
func (s *State) JobByKey(team cawork.TeamName, key string) (Job, bool) {
	id, ok := s.jobsByKey[submissionKey{Team: team, Key: key}]
	if !ok || key == "" {
		return Job{}, false
	}
	return s.Job(id)
}

// OpenJobs returns the jobs without a final outcome, in no fixed order.
func (s *State) OpenJobs() []Job {
	out := make([]Job, 0, s.openCount)
	for _, j := range s.jobs {
		if j.IsOpen() {
			out = append(out, j.clone())
		}
	}
	return out
}

// OpenAttempts returns the attempts that may run, in no fixed order.
func (s *State) OpenAttempts() []Attempt {
	out := make([]Attempt, 0, len(s.attempts))
	for _, a := range s.attempts {
		out = append(out, *a)
	}
	return out
}

// Handovers returns the unacknowledged handovers, ordered by receiver and
// number. The caller resends each one until the receiver has accepted it.
func (s *State) Handovers() []Handover {
	var out []Handover
	for _, j := range s.jobs {
		if j.HandedTo != "" && !j.HandoverAcked {
			out = append(out, s.handover(j))
		}
	}
	slices.SortFunc(out, func(a, b Handover) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Accepted.Number, b.Accepted.Number))
	})
	return out
}

func (s *State) handover(j *Job) Handover {
	return Handover{To: j.HandedTo, Accepted: JobAccepted{
		Job: j.Job, Key: j.Key, Digest: j.Digest, Tasks: slices.Clone(j.Tasks), Canceled: j.Canceled,
		From: s.shard, Number: j.HandoverNumber,
	}}
}

// IsEmpty reports whether the shard has no open job or attempt, no
// unacknowledged handover and no allowance. Only an empty shard may be retired.
func (s *State) IsEmpty() bool {
	return s.openCount == 0 && len(s.attempts) == 0 && len(s.Handovers()) == 0 && s.account.IsEmpty()
}

type snapshot struct {
	Account  *caescrow.Account
	Jobs     map[cawork.JobID]*Job
	Attempts map[cawork.AttemptID]*Attempt
	Ended    []cawork.JobID

	HandedTo   map[cawork.ShardID]int64
	HandedFrom map[cawork.ShardID]int64
	Taken      bool
	// Format is zero in caversion.FormatUnnumbered.
	Format caversion.Format `cbor:",omitempty"`
}

func (s *State) snapshot() snapshot {
	return snapshot{
		Account: s.account, Jobs: s.jobs, Attempts: s.attempts, Ended: s.endedJobs,
		HandedTo: s.handedTo, HandedFrom: s.handedFrom, Taken: s.foundApplied,
	}
}

// Snapshot encodes the state as CBOR. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	snap := s.snapshot()
	snap.Format = formatNumber(s.writeFormat())
	b, err := encMode.Marshal(snap)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode snapshot of shard %s", s.shard)
	}
	return b, nil
}

// Restore replaces the state with a snapshot. It returns a
// caversion.UnsupportedFormatError for a snapshot of a later format. On any error, the
// state is unchanged.
func (s *State) Restore(b []byte) error {
	subject := "snapshot of shard " + string(s.shard)
	if err := caversion.CheckFormatOf(subject, b, s.maxReadFormat); err != nil {
		return err
	}
	fresh := NewState(s.shard, s.retention)
	fresh.writeFormat, fresh.maxReadFormat = s.writeFormat, s.maxReadFormat
	snap := fresh.snapshot()
	if err := cbor.Unmarshal(b, &snap); err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "decode snapshot of shard %s", s.shard)
	}
	if err := snap.complete(); err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "restore snapshot of shard %s", s.shard)
	}
	fresh.account, fresh.jobs, fresh.attempts, fresh.endedJobs = snap.Account, snap.Jobs, snap.Attempts, snap.Ended
	fresh.handedTo, fresh.handedFrom, fresh.foundApplied = snap.HandedTo, snap.HandedFrom, snap.Taken
	for id, j := range fresh.jobs {
		fresh.indexJob(id, j)
	}
	if err := fresh.checkCounts(); err != nil {
		return err
	}
	*s = *fresh
	return nil
}

// indexJob adds a job to the idempotency key index and to the open job count.
func (s *State) indexJob(id cawork.JobID, j *Job) {
	key := submissionKey{Team: j.Job.Team, Key: j.Key}
	if current, ok := s.jobsByKey[key]; j.Key != "" && (!ok || id < current) {
		s.jobsByKey[key] = id
	}
	if j.IsOpen() {
		s.openCount++
	}
}

// pruneEnded deletes the oldest ended jobs while they exceed the retention.
func (s *State) pruneEnded(now time.Time) {
	for len(s.endedJobs) > 0 {
		j := s.jobs[s.endedJobs[0]]
		if len(s.endedJobs) <= s.retention.MaxCount && now.Sub(j.Ended) <= s.retention.MaxAge {
			return
		}
		s.deleteJob(j)
		s.endedJobs = s.endedJobs[1:]
	}
}

func (s *State) deleteJob(j *Job) {
	delete(s.jobs, j.Job.ID)
	key := submissionKey{Team: j.Job.Team, Key: j.Key}
	if s.jobsByKey[key] == j.Job.ID {
		delete(s.jobsByKey, key)
	}
}
