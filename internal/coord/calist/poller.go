// Package calist polls the VM list of the platform and delivers each list to its
// subscribers. While the list cannot be read, the last one remains available.
package calist

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/coord/cafeed"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// The interval and timeout of a poll, and the longest interval after failures.
const (
	pollPeriod  = time.Second
	pollTimeout = 900 * time.Millisecond
	maxBackoff  = 5 * time.Second
)

// Snapshot is a list of VMs and the local time at which its poll started.
type Snapshot struct {
	VMs []caplatform.VM
	At  time.Time
}

// Poller polls a caplatform.VMList.
type Poller struct {
	list           caplatform.VMList
	timers         *catimer.Service
	log            zerolog.Logger
	scope          tally.Scope
	feed           cafeed.Feed[Snapshot]
	done           chan struct{}
	retryBackoff   *backoff.ExponentialBackOff
	lastPollFailed bool

	mu   sync.Mutex
	last Snapshot
}

// NewPoller returns a Poller that polls the list once a second.
func NewPoller(list caplatform.VMList, timers *catimer.Service, log zerolog.Logger, scope tally.Scope) *Poller {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = pollPeriod, maxBackoff
	return &Poller{list: list, timers: timers, log: log, scope: scope, done: make(chan struct{}), retryBackoff: retryBackoff}
}

// Run polls until the context ends. It must not be called more than once.
func (p *Poller) Run(ctx context.Context) error {
	defer close(p.done)
	defer p.feed.Close()
	for {
		timer := p.timers.After(p.poll(ctx))
		select {
		case <-ctx.Done():
			timer.Close()
			return nil
		case <-timer.C:
		}
	}
}

// Done returns a channel that is closed at the end of Run.
func (p *Poller) Done() <-chan struct{} { return p.done }

// Subscribe returns a subscription to the lists read from now on.
func (p *Poller) Subscribe() *cafeed.Subscription[Snapshot] { return p.feed.Subscribe() }

// Last returns the last list that was read, or the zero value if there is none.
func (p *Poller) Last() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// poll reads the list once and returns the time until the next poll.
func (p *Poller) poll(ctx context.Context) time.Duration {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	at := p.timers.Now()
	vms, err := p.list.List(pollCtx)
	if err != nil {
		if ctx.Err() == nil && !p.lastPollFailed {
			caevent.Warn(p.log, caevent.VMListUnavailable).Err(err).Send()
		}
		p.lastPollFailed = true
		p.scope.Counter("list_failures").Inc(1)
		return p.retryBackoff.NextBackOff()
	}
	p.lastPollFailed = false
	p.retryBackoff.Reset()
	p.mu.Lock()
	p.last = Snapshot{VMs: vms, At: at}
	p.feed.Publish(p.last)
	p.mu.Unlock()
	return pollPeriod
}
