package camember

import "time"

// Config holds the settings of a State.
type Config struct {
	// Period is the time between two probes, to which each known member adds
	// PeriodPerMember.
	Period          time.Duration
	PeriodPerMember time.Duration
	// ProbeTimeout bounds one exchange.
	ProbeTimeout time.Duration
	// Relays is the number of entries asked to probe a silent member.
	Relays int
	// Suspicion is the time that a suspected member has to refute.
	Suspicion time.Duration
	// Retry is the time between two contacts to a seed, a listed VM that is
	// not a member, or a dead member.
	Retry time.Duration
	// Forget is the time after which a dead member is dropped.
	Forget time.Duration
	// PublishPerMember times the number of members is the least time between
	// two publications of usage, so that traffic does not grow with them.
	PublishPerMember time.Duration
	// PublishMin is the least time between two publications of usage.
	PublishMin time.Duration
	// UrgentBurst is the number of changes of a section other than usage that
	// are published at once, UrgentPause the least time between two after
	// that, so that one that changes all the time does not cost all members.
	UrgentBurst int
	UrgentPause time.Duration
	// Window is the number of digest entries of a request, ReplyWindow of an
	// answer besides those that it asks for.
	Window      int
	ReplyWindow int
	// MaxSections bounds the sections in one message.
	MaxSections int
}

// DefaultConfig returns the settings for up to a hundred entries in a region.
func DefaultConfig() Config {
	return Config{
		Period:           500 * time.Millisecond,
		PeriodPerMember:  5 * time.Millisecond,
		ProbeTimeout:     250 * time.Millisecond,
		Relays:           3,
		Suspicion:        2 * time.Second,
		Retry:            5 * time.Second,
		Forget:           time.Hour,
		PublishPerMember: 250 * time.Millisecond,
		PublishMin:       time.Second,
		UrgentBurst:      5,
		UrgentPause:      5 * time.Second,
		Window:           12,
		ReplyWindow:      6,
		MaxSections:      96,
	}
}

// pausePeriods is the number of periods without a tick after which an entry
// takes itself for having been paused.
const pausePeriods = 3
