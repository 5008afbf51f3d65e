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

// Retention bounds how long ended jobs stay readable.
type Retention struct {
	Age   time.Duration
	Count int
}

// DefaultRetention keeps ended jobs for an hour, at most 4,000 of them.
func DefaultRetention() Retention { return Retention{Age: time.Hour, Count: 4_000} }

// Handover is a job on its way to another shard, which appends Accepted to its
// records.
type Handover struct {
	To       cawork.ShardID
	Accepted JobAccepted
}

type submission struct {
	Team cawork.TeamName
	Key  string
}

// State is folded from the records of one shard. It is not safe for concurrent
// use.
type State struct {
	shard     cawork.ShardID
	retention Retention
	account   *caescrow.Account
	jobs      map[cawork.JobID]*Job
	attempts  map[cawork.AttemptID]*Attempt
	keys      map[submission]cawork.JobID
	ended     []cawork.JobID
	open      int
	// handedTo and handedFrom count the jobs handed over to and from shards.
	handedTo   map[cawork.ShardID]int64
	handedFrom map[cawork.ShardID]int64
	// taken reports that a rebuilt shard has taken in its attempts.
	taken bool
	// format returns the format of snapshots to write, reads is the newest one
	// that is read.
	format func() caversion.Format
	reads  caversion.Format
}

// NewState returns the empty state of the shard.
func NewState(shard cawork.ShardID, r Retention) *State {
	return &State{
		shard:     shard,
		retention: r,
		account:   caescrow.NewAccount(shard),
		jobs:      map[cawork.JobID]*Job{},
		attempts:  map[cawork.AttemptID]*Attempt{},
		keys:      map[submission]cawork.JobID{},

		handedTo:   map[cawork.ShardID]int64{},
		handedFrom: map[cawork.ShardID]int64{},
		format:     func() caversion.Format { return caversion.FormatUnnumbered },
		reads:      caversion.FormatNewest,
	}
}

// SetFormats sets what tells the format of the snapshots to come, and the
// newest format that is read. Without it snapshots are unnumbered and all
// formats of this program are read.
func (s *State) SetFormats(write func() caversion.Format, reads caversion.Format) {
	s.format, s.reads = write, reads
}

// Apply folds the CBOR form of a record. A record that breaks a rule is
// refused with a typed error and changes nothing; every replica refuses it
// alike.
func (s *State) Apply(payload []byte) error {
	r, err := decodeRecord(payload, min(s.reads, caversion.FormatNewest))
	if err != nil {
		return err
	}
	return s.ApplyRecord(r)
}

// ApplyRecord folds a record.
func (s *State) ApplyRecord(r Record) error {
	s.prune(r.At)
	if err := s.applyJob(r); err != nil {
		return err
	}
	return s.check()
}

func (s *State) applyJob(r Record) error {
	switch {
	case r.Type == RecordJobAccepted && r.JobAccepted != nil:
		return s.accept(*r.JobAccepted)
	case r.Type == RecordAttemptsIntended && r.AttemptsIntended != nil:
		return s.intend(*r.AttemptsIntended, r.At)
	case r.Type == RecordAttemptSettled && r.AttemptSettled != nil:
		return s.settle(*r.AttemptSettled)
	case r.Type == RecordJobCanceled && r.JobCanceled != nil:
		return s.cancel(*r.JobCanceled)
	case r.Type == RecordJobEnded && r.JobEnded != nil:
		return s.end(*r.JobEnded, r.At)
	case r.Type == RecordHandedOver && r.HandedOver != nil:
		return s.handOver(*r.HandedOver)
	case r.Type == RecordHandoverAcked && r.HandoverAcked != nil:
		return s.handoverAcked(*r.HandoverAcked, r.At)
	case r.Type == RecordRebuilt && r.Rebuilt != nil:
		s.account.Rebuild(r.At.UnixNano())
		s.taken = false
		return nil
	case r.Type == RecordAttemptsFound && r.AttemptsFound != nil:
		s.takeFound(*r.AttemptsFound, r.At)
		return nil
	case r.Type == RecordPartnerSettled && r.PartnerSettled != nil:
		return s.partnerSettled(*r.PartnerSettled, r.At)
	case r.Type == RecordThawed && r.Thawed != nil:
		s.account.Thaw()
		return nil
	default:
		return s.applyAllowance(r)
	}
}

func (s *State) applyAllowance(r Record) error {
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
		s.account.RefuseLost(r.LostRefused.Shard, r.LostRefused.Epoch)
		return nil
	case r.Type == RecordPartnerClosed && r.PartnerClosed != nil:
		s.account.Close(r.PartnerClosed.Lost)
		return nil
	case r.Type == RecordInherited && r.Inherited != nil:
		return s.account.Inherit(r.Inherited.Lost, r.Inherited.Closings)
	default:
		return cakind.New(cakind.KindInvalid, "record of type %v has no body", r.Type)
	}
}

// Account returns the allowances of the shard. The caller must not change it.
func (s *State) Account() *caescrow.Account { return s.account }

// Job returns a job of the shard, open or ended.
func (s *State) Job(id cawork.JobID) (Job, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, false
	}
	return j.clone(), true
}

// JobOfKey returns the job that was accepted with the idempotency key.
func (s *State) JobOfKey(team cawork.TeamName, key string) (Job, bool) {
	id, ok := s.keys[submission{Team: team, Key: key}]
	if !ok || key == "" {
		return Job{}, false
	}
	return s.Job(id)
}

// OpenJobs returns the jobs without a final outcome, in no fixed order.
func (s *State) OpenJobs() []Job {
	out := make([]Job, 0, s.open)
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

// Handovers returns what is to be sent to other shards, again and again until
// they have accepted it.
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

// IsEmpty reports whether the shard has no open job and no allowance, so that
// it may be retired.
func (s *State) IsEmpty() bool {
	return s.open == 0 && len(s.attempts) == 0 && len(s.Handovers()) == 0 && s.account.IsEmpty()
}

type snapshot struct {
	Account  *caescrow.Account
	Jobs     map[cawork.JobID]*Job
	Attempts map[cawork.AttemptID]*Attempt
	Ended    []cawork.JobID

	HandedTo   map[cawork.ShardID]int64
	HandedFrom map[cawork.ShardID]int64
	Taken      bool
	// Format is unset in caversion.FormatUnnumbered.
	Format caversion.Format `cbor:",omitempty"`
}

func (s *State) snapshot() snapshot {
	return snapshot{
		Account: s.account, Jobs: s.jobs, Attempts: s.attempts, Ended: s.ended,
		HandedTo: s.handedTo, HandedFrom: s.handedFrom, Taken: s.taken,
	}
}

// Snapshot returns the CBOR form of the state. Equal states have equal forms.
func (s *State) Snapshot() ([]byte, error) {
	snap := s.snapshot()
	snap.Format = numbered(s.format())
	b, err := encMode.Marshal(snap)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode snapshot of shard %s", s.shard)
	}
	return b, nil
}

// Restore replaces the state by a snapshot. One of a later format is a
// caversion.LaterError and changes nothing.
func (s *State) Restore(b []byte) error {
	what := "snapshot of shard " + string(s.shard)
	if err := caversion.CheckFormatOf(what, b, s.reads); err != nil {
		return err
	}
	fresh := NewState(s.shard, s.retention)
	fresh.format, fresh.reads = s.format, s.reads
	snap := fresh.snapshot()
	if err := cbor.Unmarshal(b, &snap); err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "decode snapshot of shard %s", s.shard)
	}
	if err := snap.complete(); err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "restore snapshot of shard %s", s.shard)
	}
	fresh.account, fresh.jobs, fresh.attempts, fresh.ended = snap.Account, snap.Jobs, snap.Attempts, snap.Ended
	fresh.handedTo, fresh.handedFrom, fresh.taken = snap.HandedTo, snap.HandedFrom, snap.Taken
	for id, j := range fresh.jobs {
		fresh.index(id, j)
	}
	if err := fresh.check(); err != nil {
		return err
	}
	*s = *fresh
	return nil
}

// index enters a job into the tables that are derived from the jobs.
func (s *State) index(id cawork.JobID, j *Job) {
	key := submission{Team: j.Job.Team, Key: j.Key}
	if known, ok := s.keys[key]; j.Key != "" && (!ok || id < known) {
		s.keys[key] = id
	}
	if j.IsOpen() {
		s.open++
	}
}

// prune drops ended jobs that are past the retention.
func (s *State) prune(now time.Time) {
	for len(s.ended) > 0 {
		j := s.jobs[s.ended[0]]
		if len(s.ended) <= s.retention.Count && now.Sub(j.Ended) <= s.retention.Age {
			return
		}
		s.drop(j)
		s.ended = s.ended[1:]
	}
}

func (s *State) drop(j *Job) {
	delete(s.jobs, j.Job.ID)
	key := submission{Team: j.Job.Team, Key: j.Key}
	if s.keys[key] == j.Job.ID {
		delete(s.keys, key)
	}
}
