// Package caactive holds the configuration in force at an entry: the last one
// that it could read, with its keyring, and what to do when it can no longer
// be confirmed.
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

// retryAfterUnconfirmed is when a caller may try again whose key could not be
// confirmed.
const retryAfterUnconfirmed = 2 * time.Second

// refusalsPerSecond bounds the log lines about refused keys.
const refusalsPerSecond = 10

// Source gives versions of the configuration.
type Source interface {
	Current() cafollow.Snapshot
	Changed() <-chan struct{}
	ConfirmedAt(zones []cawork.ZoneName) time.Time
}

// View is one version of the configuration with its keyring. It is not
// changed after it is built.
type View struct {
	Version cafollow.Version
	Config  cacell.Config
	Keyring *cakey.Keyring
	// zones are the names of the zones, kept because each request needs them.
	zones []cawork.ZoneName
}

// Active keeps the configuration in force.
type Active struct {
	source Source
	timer  *catimer.Service
	logger zerolog.Logger
	// refusals spares the log from a flood of wrong keys.
	refusals *rate.Limiter
	view     atomic.Pointer[View]
	// change is closed and replaced when the view changes.
	change atomic.Pointer[chan struct{}]
	done   chan struct{}
}

// NewActive returns the active configuration of a source.
func NewActive(source Source, timer *catimer.Service, logger zerolog.Logger) *Active {
	a := &Active{
		source: source, timer: timer, logger: logger,
		refusals: rate.NewLimiter(refusalsPerSecond, refusalsPerSecond),
		done:     make(chan struct{}),
	}
	a.view.Store(&View{Keyring: cakey.NewKeyring(cacell.Config{})})
	changed := make(chan struct{})
	a.change.Store(&changed)
	a.take(source.Current())
	return a
}

// Run takes each version that the source gives until the context ends.
func (a *Active) Run(ctx context.Context) error {
	defer close(a.done)
	for {
		changed := a.source.Changed()
		a.take(a.source.Current())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Done returns a channel that is closed when Run has ended.
func (a *Active) Done() <-chan struct{} { return a.done }

// View returns the configuration in force. Its version is 0 when none is.
func (a *Active) View() View { return *a.view.Load() }

// Changed returns a channel that is closed when the view changes. Take it
// before View, so that no change is missed.
func (a *Active) Changed() <-chan struct{} { return *a.change.Load() }

// take puts a version in force when it can be read. Otherwise the former one
// stays in force until the next version.
func (a *Active) take(s cafollow.Snapshot) {
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
	close(*a.change.Swap(&next))
}

// Authenticate returns who a key stands for. It refuses with
// KindUnauthenticated a key that is unknown or withdrawn, and with
// KindKeyUnconfirmed any key while the configuration cannot be confirmed.
func (a *Active) Authenticate(secret string) (cakey.Principal, error) {
	principal, err := a.authenticate(secret)
	if now := a.timer.Now(); err != nil && a.refusals.AllowN(now, 1) {
		caevent.Warn(a.logger, caevent.KeyRefused).Err(err).Send()
	}
	return principal, err
}

func (a *Active) authenticate(secret string) (cakey.Principal, error) {
	v := a.View()
	if v.Version == 0 {
		return cakey.Principal{}, cakind.New(cakind.KindKeyUnconfirmed,
			"no configuration is in force yet").WithRetryAfter(retryAfterUnconfirmed)
	}
	// A key that is not known here may have been granted meanwhile, so that a
	// configuration that is out of date must not call it wrong.
	if err := a.confirmed(v); err != nil {
		return cakey.Principal{}, err
	}
	return v.Keyring.Authenticate(secret)
}

func (a *Active) confirmed(v View) error {
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

// OpenQueue returns the team that is charged for work of a kind in a queue
// that is open to all.
func (a *Active) OpenQueue(name cacell.QueueName, kind cawork.WorkKind) (cawork.TeamName, error) {
	q, ok := a.View().Config.Queue(name)
	if !ok {
		return "", cakind.New(cakind.KindNotFound, "queue %q is not open to all", name)
	}
	if !q.Allows(kind) {
		return "", cakind.New(cakind.KindForbidden, "queue %q does not take %s work", name, kind)
	}
	return q.Team, nil
}
