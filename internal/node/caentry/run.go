package caentry

import (
	"context"
	"time"

	"github.com/oklog/run"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

const (
	// balancerDelay is the time for the balancer to notice that the entry is
	// not ready any more, before it stops to accept connections.
	balancerDelay = time.Second
	// releaseTimeout bounds the hand-over of upstreams and shards.
	releaseTimeout = 5 * time.Second
	// farewellTimeout bounds the farewell to other entries.
	farewellTimeout = 500 * time.Millisecond
)

// Run runs all parts until the context ends, then drains: it takes no new
// work, finishes the requests in progress, hands over upstreams and shards,
// and ends.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.done)
	caevent.Info(e.log, caevent.EntryStarted).Str("api", e.APIAddress()).Str("operators", e.OperatorsAddress()).Str("peer", e.PeerAddress()).
		Str("zone", string(e.settings.Zone)).Str("shard", string(e.shard)).Bool("tls", e.serverTLS != nil).Send()
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.stop = stop
	group := e.group(parts, stop)
	group.Add(func() error {
		select {
		case <-ctx.Done():
			e.drain()
		case <-parts.Done():
		}
		return nil
	}, func(error) { stop() })
	err := group.Run()
	_ = e.client.Close()
	caevent.Info(e.log, caevent.EntryStopped).AnErr("error", err).Send()
	return err
}

// part is something that runs until its context ends.
type part struct {
	name string
	run  func(context.Context) error
}

func (e *Entry) group(ctx context.Context, stop context.CancelFunc) *run.Group {
	group := &run.Group{}
	for _, p := range e.parts() {
		group.Add(func() error {
			err := p.run(ctx)
			if err != nil {
				caevent.Warn(e.log, caevent.PartFailed).Str("part", p.name).AnErr("error", err).Send()
			}
			return err
		}, func(error) { stop() })
	}
	return group
}

func (e *Entry) parts() []part {
	return []part{
		{"vm_list", e.list.Run},
		{"members", e.members.Run},
		{"owner", e.owner.Run},
		{"owner_inputs", func(ctx context.Context) error { return followOwner(ctx, e) }},
		{"shards", e.shards.Run},
		{"config", e.follower.Run},
		{"active", e.active.Run},
		{"launcher", e.launcher.Run},
		{"quota", e.quota.Run},
		{"archive", e.archive.Run},
		{"keys", e.keys.Run},
		{"dispatcher", e.dispatcher.Run},
		{"owner_events", e.forwardOwnership},
		{"policy", e.forwardPolicy},
		{"publisher", e.publish},
		{"peers", func(ctx context.Context) error { return e.peers.Serve(ctx, e.peerListener, e.serverTLS) }},
		{"api", e.serveAPI},
		{"operators", func(ctx context.Context) error { return e.operators.Run(ctx, e.operatorsListener) }},
	}
}

func (e *Entry) serveAPI(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- e.api.Serve(e.apiListener) }()
	select {
	case err := <-served:
		if err != nil {
			return err
		}
	case <-ctx.Done():
	}
	<-ctx.Done()
	// After a drain this closes nothing that is still in use.
	_ = e.api.Close()
	return nil
}

// drain hands over what this entry holds. No request is cut off unless it
// takes longer than the time for a drain.
func (e *Entry) drain() {
	caevent.Info(e.log, caevent.EntryStopping).Send()
	close(e.draining)
	notice, end := context.WithTimeout(context.Background(), farewellTimeout)
	defer end()
	e.members.Leave(notice)
	e.launcher.Drain()
	e.sleep(balancerDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Timeouts.Drain)
	defer cancel()
	if err := e.api.Shutdown(ctx); err != nil {
		caevent.Warn(e.log, caevent.PartFailed).Str("part", "api").AnErr("error", err).Send()
	}
	if err := e.dispatcher.Close(ctx); err != nil {
		caevent.Warn(e.log, caevent.PartFailed).Str("part", "dispatcher").AnErr("error", err).Send()
	}
	e.keys.Flush()
	e.handOver()
}

func (e *Entry) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := e.owner.Drain(ctx); err != nil {
		caevent.Warn(e.log, caevent.PartFailed).Str("part", "owner").AnErr("error", err).Send()
	}
	for _, s := range e.shards.Statuses() {
		if s.Primary {
			e.shards.Yield(s.Shard)
		}
	}
	for e.leadsAny() && ctx.Err() == nil {
		e.sleep(yieldPoll)
	}
	farewell, end := context.WithTimeout(context.Background(), farewellTimeout)
	defer end()
	e.members.Left(farewell)
}

// yieldPoll is the time between two looks at the shards that are handed over.
const yieldPoll = 50 * time.Millisecond

func (e *Entry) leadsAny() bool {
	for _, s := range e.shards.Statuses() {
		if s.Primary && !s.View.IsSolo() {
			return true
		}
	}
	return false
}

func (e *Entry) sleep(d time.Duration) {
	pause := e.timer.After(d)
	defer pause.Close()
	<-pause.C
}
