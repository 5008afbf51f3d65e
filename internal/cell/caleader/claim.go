package caleader

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/cacrash"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/casilence"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/cell/caterms"
)

const (
	// claimKey is the key of the record that identifies the leader.
	claimKey = "leader"
	// layoutKey is the key of the record that divides the cell into shards.
	layoutKey = "layout"
	// beforeLayoutKey sorts after the keys of jobs, crashes and definitions and before layoutKey and
	// claimKey, so that a read after it skips them.
	beforeLayoutKey = "layou"
	// jobPrefix precedes the ID of a job in its key.
	jobPrefix = "job/"
	// crashPrefix precedes the ID of a job in the key of its crashes.
	crashPrefix = "crash/"
	// runTimesKey is the key of what is known of the speeds of upstreams. Like those of jobs and crashes it
	// sorts before layoutKey.
	runTimesKey = "expected"
	// loadRetry is the delay before a failed read of the log is retried.
	loadRetry = 50 * time.Millisecond
	// loadReadTimeout bounds one read of the log, or of the list of upstreams, while loading.
	loadReadTimeout = 3 * time.Second
)

// Pause waits for the given duration. It returns an error if the context ends
// first.
type Pause func(context.Context, time.Duration) error

// Claim identifies the leader of a shard. It is the first record of each append.
type Claim struct {
	VM      cawork.VMID `cbor:"1,keyasint"`
	Address string      `cbor:"2,keyasint"`
	// Token is the fencing token: the offset of the first record of the claim,
	// counted from 1. It is zero in that record itself.
	Token int64 `cbor:"3,keyasint,omitempty"`
	// Seq numbers the appends of a leader. The one that takes the claim has
	// number 0.
	Seq int64 `cbor:"4,keyasint,omitempty"`
	// Nonce distinguishes claims of the same VM.
	Nonce int64 `cbor:"5,keyasint"`
	// Released is set when the leader has released the shard.
	Released bool `cbor:"6,keyasint,omitempty"`
	// Silent are the upstreams that do not answer the leader. It extends none of their leases
	// until a later claim without them is stored.
	Silent []casilence.Upstream `cbor:"7,keyasint,omitempty"`
	// Process identifies the process of the entry. Later ones of the same VM have higher numbers.
	Process int64 `cbor:"8,keyasint,omitempty"`
	// InheritedRemaining is the longest time until the leases that earlier leaders granted
	// have expired.
	InheritedRemaining time.Duration `cbor:"9,keyasint,omitempty"`
	// AppendTook is the duration of the leader's last append.
	AppendTook time.Duration `cbor:"10,keyasint,omitempty"`
	// Taken is set if the leader before had not released the shard.
	Taken bool `cbor:"11,keyasint,omitempty"`
	// GrantsNone is set as long as the leader has granted no lease. It grants none until a claim
	// without it is stored.
	GrantsNone bool `cbor:"12,keyasint,omitempty"`
	// Granter is the last leader before that may have granted leases, if GrantsNone is set.
	Granter *Granter `cbor:"13,keyasint,omitempty"`
	// LongLeases are the leases of upstreams that a successor would take for shorter ones.
	LongLeases []caboard.LongLease `cbor:"14,keyasint,omitempty"`
	// RequestDelay is how much longer than announced the approval requests of the leader, or of the one
	// before, were in flight on average.
	RequestDelay time.Duration `cbor:"15,keyasint,omitempty"`
	// AdvisorSlowness is how many times longer than announced the advisor takes.
	AdvisorSlowness float64 `cbor:"16,keyasint,omitempty"`
}

// after returns the claim as it is some time later, if its leader has granted no lease meanwhile.
func (c Claim) after(elapsed time.Duration) Claim {
	silent := make([]casilence.Upstream, 0, len(c.Silent))
	for _, s := range c.Silent {
		s.LeaseRemaining = max(s.LeaseRemaining-elapsed, 0)
		silent = append(silent, s)
	}
	c.Silent = silent
	long := make([]caboard.LongLease, 0, len(c.LongLeases))
	for _, l := range c.LongLeases {
		l.Remaining = max(l.Remaining-elapsed, 0)
		long = append(long, l)
	}
	c.LongLeases = long
	c.InheritedRemaining = max(c.InheritedRemaining-elapsed, 0)
	return c
}

// logEntry encodes the claim as a record of the log.
func (c Claim) logEntry() (LogEntry, error) {
	b, err := cbor.Marshal(c)
	if err != nil {
		return LogEntry{}, cakind.Wrap(cakind.KindInternal, err, "encode claim")
	}
	return LogEntry{Key: claimKey, Value: b}, nil
}

// LeadershipState is the leadership of a shard according to its log.
type LeadershipState struct {
	// Claim is the newest claim, zero if there is none or it cannot be decoded.
	Claim Claim
	// Layout is the division of the cell into shards, stored only in the log of
	// the first shard.
	Layout calayout.Layout
	// End is the offset after the last record of the log.
	End int64
}

// ReadLeadershipState reads the newest claim and layout from the log.
func ReadLeadershipState(ctx context.Context, log Log) (LeadershipState, error) {
	page, err := log.Newest(ctx, beforeLayoutKey)
	if err != nil {
		return LeadershipState{}, err
	}
	state := LeadershipState{End: page.End}
	for _, e := range page.Entries {
		switch e.Key {
		case claimKey:
			state.Claim = decodeClaim(e)
		case layoutKey:
			if layout, err := calayout.Decode(e.Value); err == nil {
				state.Layout = layout
			}
		}
	}
	return state, nil
}

// decodeClaim decodes the claim in a record. It returns the zero Claim on failure.
func decodeClaim(e LogEntry) Claim {
	var c Claim
	if err := cbor.Unmarshal(e.Value, &c); err != nil {
		return Claim{}
	}
	if c.Token == 0 {
		c.Token = e.Offset + 1
	}
	return c
}

// AcquireClaim claims the shard if its log still ends at the offset. An error of
// KindFenced means that it does not, and KindUnknown that the claim may be stored.
func AcquireClaim(ctx context.Context, log Log, c Claim, at int64, pause Pause) (token, end int64, err error) {
	w := newWriter(log, c, at, pause)
	if _, err := w.append(ctx, nil); err != nil {
		return 0, 0, err
	}
	return at + 1, w.end, nil
}

// storedState is what a leader loads from the log.
type storedState struct {
	// runTimes is the record of the speeds of upstreams, nil without one.
	runTimes []byte
	// terms are the records of the definitions that jobs need.
	terms []caterms.Record
	jobs  []*castate.Job
	// layout is the stored layout, zero without one.
	layout calayout.Layout
	// crashes are the crashes of upstreams under the tasks of jobs.
	crashes map[cawork.JobID]*cacrash.History
	// unreadableJobs and unreadableCrashes count the records that cannot be decoded.
	unreadableJobs, unreadableCrashes int
}

// addEntry adds a record of the log. A job goes on without crashes that cannot be decoded.
func (s *storedState) addEntry(e LogEntry) {
	if len(e.Value) == 0 {
		return
	}
	if e.Key == runTimesKey {
		s.runTimes = e.Value
		return
	}
	if e.Key == layoutKey {
		s.layout, _ = calayout.Decode(e.Value)
		return
	}
	if strings.HasPrefix(e.Key, caterms.KeyPrefix) {
		s.terms = append(s.terms, caterms.Record{Key: e.Key, Value: e.Value})
		return
	}
	if id, ok := strings.CutPrefix(e.Key, crashPrefix); ok {
		h, err := cacrash.Decode(e.Value)
		if err != nil {
			s.unreadableCrashes++
			return
		}
		s.crashes[cawork.JobID(id)] = h
	}
	if strings.HasPrefix(e.Key, jobPrefix) {
		j, err := castate.DecodeJob(e.Value)
		if err != nil {
			s.unreadableJobs++
			return
		}
		s.jobs = append(s.jobs, j)
	}
}

// loadState reads the records of all jobs and their crashes. It retries failed reads until the
// context ends, and calls onRead with the error of each read. Only the claim may change meanwhile;
// the caller's claim ensures that.
func loadState(ctx context.Context, log Log, pause Pause, onRead func(error)) (storedState, error) {
	state := storedState{crashes: make(map[cawork.JobID]*cacrash.History)}
	after := ""
	for {
		page, err := loadPage(ctx, log, after)
		onRead(err)
		if err != nil {
			if ctx.Err() != nil {
				return storedState{}, err
			}
			if err := pause(ctx, loadRetry); err != nil {
				return storedState{}, err
			}
			continue
		}
		for _, e := range page.Entries {
			state.addEntry(e)
		}
		if page.Next == "" {
			return state, nil
		}
		after = page.Next
	}
}

// loadPage reads one page. An answer that is lost never comes.
func loadPage(ctx context.Context, log Log, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, loadReadTimeout)
	defer cancel()
	return log.Newest(ctx, after)
}
