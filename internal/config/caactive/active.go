// Package caactive holds the configuration in force at an entry: the last
// version that it could decode, with its keyring. It authenticates keys and
// handles a configuration that can no longer be confirmed.
package caactive

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/config/cakey"
	"celeryarch.example/celeryarch/internal/coord/cafollow"
)

// retryAfterUnconfirmed is the delay after which a caller whose key could not
// be confirmed may retry.
const retryAfterUnconfirmed = 2 * time.Second

// maxRefusalLogsPerSecond limits the log lines about refused keys.
const maxRefusalLogsPerSecond = 10

// Source provides versions of the configuration.
type Source interface {
	Current() cafollow.Snapshot
	Changed() <-chan struct{}
	ConfirmedAt(zones []cawork.ZoneName) time.Time
}

// View is one version of the configuration with its keyring. It is immutable.
type View struct {
	Version cafollow.Version
	Config  cacell.Config
	Keyring *cakey.Keyring
	// zones are the names of the zones, cached because each request needs them.
	zones []cawork.ZoneName
}

// Tracker holds the configuration in force.
type Tracker struct {
	source Source
	timer  *catimer.Service
	logger zerolog.Logger
	// refusalLogLimiter prevents invalid keys from flooding the log.
	refusalLogLimiter *rate.Limiter
	view              atomic.Pointer[View]
	// changed is closed and replaced when the view changes.
	changed atomic.Pointer[chan struct{}]
	done    chan struct{}
}

// NewTracker returns a Tracker with the current version of the source.
func NewTracker(source Source, timer *catimer.Service, logger zerolog.Logger) *Tracker {
	a := &Tracker{
		source: source, timer: timer, logger: logger,
		refusalLogLimiter: rate.NewLimiter(maxRefusalLogsPerSecond, maxRefusalLogsPerSecond),
		done:              make(chan struct{}),
	}
	a.view.Store(&View{Keyring: cakey.NewKeyring(cacell.Config{})})
	changed := make(chan struct{})
	a.changed.Store(&changed)
	a.apply(source.Current())
	return a
}

// Run applies each new version of the source until the context ends.
func (a *Tracker) Run(ctx context.Context) error {
	defer close(a.done)
	for {
		changed := a.source.Changed()
		a.apply(a.source.Current())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Done returns a channel that is closed when Run has ended.
func (a *Tracker) Done() <-chan struct{} { return a.done }

// View returns the configuration in force. Its version is 0 when there is none.
func (a *Tracker) View() View { return *a.view.Load() }

// Changed returns a channel that is closed when the view changes. Call it
// before View, so that no change is missed.
func (a *Tracker) Changed() <-chan struct{} { return *a.changed.Load() }

// apply puts a newer version in force if it can be decoded. Otherwise the
// previous version stays in force until the next one.
func (a *Tracker) apply(s cafollow.Snapshot) {
	if s.Version <= a.View().Version {
		return
	}
	config, err := cacell.Decode(s.Body)
	if err != nil {
		caevent.Warn(a.logger, caevent.ConfigRefused).
			Int64("version", int64(s.Version)).
			Int64("version_in_force", int64(a.View().Version)).Err(err).Send()
		return
	}
	a.view.Store(&View{
		Version: s.Version, Config: config, Keyring: cakey.NewKeyring(config), zones: config.ZoneNames(),
	})
	next := make(chan struct{})
	close(*a.changed.Swap(&next))
}

// Authenticate returns the principal of a key. The error is of
// KindUnauthenticated for a key that is unknown or withdrawn, and of
// KindKeyUnconfirmed for any key while no configuration is in force, or while
// it cannot be confirmed and its policy is to refuse unconfirmed keys.
func (a *Tracker) Authenticate(secret string) (cakey.Principal, error) {
	principal, err := a.authenticate(secret)
	if now := a.timer.Now(); err != nil && a.refusalLogLimiter.AllowN(now, 1) {
		caevent.Warn(a.logger, caevent.KeyRefused).Err(err).Send()
	}
	return principal, err
}

func (a *Tracker) authenticate(secret string) (cakey.Principal, error) {
	v := a.View()
	if v.Version == 0 {
		return cakey.Principal{}, cakind.New(cakind.KindKeyUnconfirmed,
			"no configuration is in force yet").WithRetryAfter(retryAfterUnconfirmed)
	}
	// Confirm the configuration first: a key that is missing from an outdated
	// one may have been granted since, and must not be reported as invalid.
	if err := a.checkConfirmed(v); err != nil {
		return cakey.Principal{}, err
	}
	return v.Keyring.Authenticate(secret)
}

func (a *Tracker) checkConfirmed(v View) error {
	if v.Config.UnconfirmedKeys() == cacell.UnconfirmedKeysServe {
		return nil
	}
	age := a.timer.Now().Sub(a.source.ConfirmedAt(v.zones))
	if age <= v.Config.KeyFreshness() {
		return nil
	}
	return cakind.New(cakind.KindKeyUnconfirmed,
		"keys were last confirmed more than %s ago", v.Config.KeyFreshness()).WithRetryAfter(retryAfterUnconfirmed)
}

// AuthorizeQueue returns the team that is charged for work of a kind in an open
// queue, which accepts work without a key.
func (a *Tracker) AuthorizeQueue(name cacell.QueueName, kind cawork.WorkKind) (cawork.TeamName, error) {
	q, ok := a.View().Config.Queue(name)
	if !ok {
		return "", cakind.New(cakind.KindNotFound, "queue %q is not open to all", name)
	}
	if !q.Allows(kind) {
		return "", cakind.New(cakind.KindForbidden, "queue %q does not accept %s work", name, kind)
	}
	return q.Team, nil
}
