// Package calist polls the VM list of the platform and hands each list to its
// subscribers. While the list cannot be read, the last one stays in force.
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

// Periods of polling.
const (
	period     = time.Second
	timeout    = 900 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Snapshot is a list of VMs and the local time at which it was asked for.
type Snapshot struct {
	VMs []caplatform.VM
	At  time.Time
}

// Part polls a caplatform.VMList.
type Part struct {
	list   caplatform.VMList
	timers *catimer.Service
	log    zerolog.Logger
	scope  tally.Scope
	feed   cafeed.Feed[Snapshot]
	done   chan struct{}
	pause  *backoff.ExponentialBackOff
	failed bool

	mu   sync.Mutex
	last Snapshot
}

// NewPart returns a part that polls the list once a second.
func NewPart(list caplatform.VMList, timers *catimer.Service, log zerolog.Logger, scope tally.Scope) *Part {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = period, maxBackoff
	return &Part{list: list, timers: timers, log: log, scope: scope, done: make(chan struct{}), pause: pause}
}

// Run polls until the context ends. It may be called once.
func (p *Part) Run(ctx context.Context) error {
	defer close(p.done)
	defer p.feed.Close()
	for {
		next := p.timers.After(p.poll(ctx))
		select {
		case <-ctx.Done():
			next.Close()
			return nil
		case <-next.C:
		}
	}
}

// Done is closed at the end of Run.
func (p *Part) Done() <-chan struct{} { return p.done }

// Subscribe returns a subscription to the lists read from now on.
func (p *Part) Subscribe() *cafeed.Subscription[Snapshot] { return p.feed.Subscribe() }

// Last returns the last list, the zero value before the first one.
func (p *Part) Last() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// poll reads the list once and returns the time to wait before the next read.
func (p *Part) poll(ctx context.Context) time.Duration {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at := p.timers.Now()
	vms, err := p.list.List(limited)
	if err != nil {
		if ctx.Err() == nil && !p.failed {
			caevent.Warn(p.log, caevent.VMListUnavailable).Err(err).Send()
		}
		p.failed = true
		p.scope.Counter("list_failures").Inc(1)
		return p.pause.NextBackOff()
	}
	p.failed = false
	p.pause.Reset()
	p.mu.Lock()
	p.last = Snapshot{VMs: vms, At: at}
	p.feed.Publish(p.last)
	p.mu.Unlock()
	return period
}
