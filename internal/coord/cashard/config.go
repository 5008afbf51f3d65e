package cashard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// Config holds the time and size limits of the protocol. All members of a cell
// must use the same values.
type Config struct {
	// Lease is how long a primary may act, counted from when it sent the latest
	// message that its backup acknowledged.
	Lease time.Duration
	// Drift is the largest fraction by which a clock may run fast or slow.
	Drift float64
	// Margin is added to the lease in the time that a backup waits before a
	// takeover.
	Margin time.Duration
	// Tick is the time between checks of the timers.
	Tick time.Duration
	// Heartbeat is the longest time between messages to a backup.
	Heartbeat time.Duration
	// CallTimeout bounds one call to a peer or a witness.
	CallTimeout time.Duration
	// ReplaceAfter is how long a backup may fail to acknowledge before the
	// primary looks for another. It is below Lease.
	ReplaceAfter time.Duration
	// CandidateRest is how long a candidate that failed or refused is not chosen
	// again.
	CandidateRest time.Duration
	// WitnessPeriod is the time between checks of the witness.
	WitnessPeriod time.Duration
	// WitnessTimeout is how long a witness may fail before it is replaced.
	WitnessTimeout time.Duration
	// BatchRecords bounds the records in one message.
	BatchRecords int
	// ChunkBytes bounds the bytes of a snapshot in one message.
	ChunkBytes int
	// TailRecords bounds the committed records that the primary keeps for a backup
	// that is behind.
	TailRecords int
}

// DefaultConfig returns the configuration for entries within one region.
func DefaultConfig() Config {
	return Config{
		Lease:          2 * time.Second,
		Drift:          0.01,
		Margin:         200 * time.Millisecond,
		Tick:           100 * time.Millisecond,
		Heartbeat:      300 * time.Millisecond,
		CallTimeout:    400 * time.Millisecond,
		ReplaceAfter:   1200 * time.Millisecond,
		CandidateRest:  3 * time.Second,
		WitnessPeriod:  time.Second,
		WitnessTimeout: 3 * time.Second,
		BatchRecords:   512,
		ChunkBytes:     256 << 10,
		TailRecords:    8192,
	}
}

// Validate returns an error if the configuration is unsafe or prevents progress.
func (c Config) Validate() error {
	switch {
	case c.Tick <= 0, c.Heartbeat < c.Tick, c.CallTimeout <= 0, c.BatchRecords <= 0, c.ChunkBytes <= 0, c.TailRecords <= 0:
		return cakind.New(cakind.KindInvalid, "shard times and sizes must be positive, and the heartbeat at least one tick: %+v", c)
	case c.Drift < 0 || c.Drift > 0.2:
		return cakind.New(cakind.KindInvalid, "clock drift %v is not between 0 and 0.2", c.Drift)
	case c.ReplaceAfter >= c.Lease:
		return cakind.New(cakind.KindInvalid, "replace_after %v must be below the lease %v", c.ReplaceAfter, c.Lease)
	}
	return nil
}

// primaryLease is how long an acknowledgment is valid by the clock of the primary,
// which may run slow.
func (c Config) primaryLease() time.Duration { return scale(c.Lease, 1-c.Drift) }

// backupSilence is how long the backup waits without contact before a takeover,
// by its own clock, which may run fast.
func (c Config) backupSilence() time.Duration { return scale(c.Lease, 1+c.Drift) + c.Margin }

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
