package camember

import "time"

// Config holds the settings of a State.
type Config struct {
	// Period is the base interval between two probes. Each known member adds
	// PeriodPerMember to it.
	Period          time.Duration
	PeriodPerMember time.Duration
	// ProbeTimeout limits the duration of one exchange.
	ProbeTimeout time.Duration
	// Relays is the number of entries that are asked to probe a member
	// indirectly after a direct probe of it failed.
	Relays int
	// Suspicion is the time after which a suspected member that has not refuted
	// the suspicion is declared dead.
	Suspicion time.Duration
	// Retry is the least interval between two probes of the same seed, dead
	// member, or listed VM that is not a member.
	Retry time.Duration
	// Forget is the time after which the record of a dead member is removed.
	Forget time.Duration
	// PublishPerMember times the number of members is the least interval
	// between two publications of usage, so that the traffic does not grow with
	// the number of members.
	PublishPerMember time.Duration
	// PublishMin is the least interval between two publications of usage for
	// any number of members.
	PublishMin time.Duration
	// UrgentBurst is the number of changes of a section other than usage that
	// are published without delay. UrgentPause is the interval between further
	// changes. The rate limit keeps a flapping section from loading all members.
	UrgentBurst int
	UrgentPause time.Duration
	// Window is the number of digest entries in a request. ReplyWindow limits
	// the entries of a reply that advertise member states; entries that request
	// deltas are not counted.
	Window      int
	ReplyWindow int
	// MaxSections limits the number of sections in one message.
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
// assumes that its process was paused.
const pausePeriods = 3
