package caentry

import (
	"context"
	"time"

	"github.com/oklog/run"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

const (
	// loadBalancerDelay is the time that the load balancer needs to notice that
	// the entry is not ready. The entry accepts connections until then.
	loadBalancerDelay = time.Second
	// handoverTimeout bounds the handover of upstreams and shards.
	handoverTimeout = 5 * time.Second
	// announceTimeout bounds the announcement to other entries that this one is
	// leaving or has left.
	announceTimeout = 500 * time.Millisecond
)

// Run runs all components until the context ends. It then drains the entry: it
// rejects new work, completes the requests in progress, hands over upstreams
// and shards, and returns.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.done)
	caevent.Info(e.log, caevent.EntryStarted).Str("api", e.APIAddress()).Str("operators", e.OperatorsAddress()).Str("peer", e.PeerAddress()).
		Str("zone", string(e.settings.Zone)).Str("shard", string(e.shard)).Bool("tls", e.serverTLS != nil).Send()
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.stop = stop
	group := e.newGroup(componentsCtx, stop)
	group.Add(func() error {
		select {
		case <-ctx.Done():
			e.drain()
		case <-componentsCtx.Done():
		}
		return nil
	}, func(error) { stop() })
	err := group.Run()
	_ = e.peerClient.Close()
	caevent.Info(e.log, caevent.EntryStopped).AnErr("error", err).Send()
	return err
}

// component is a named function that runs until its context ends.
type component struct {
	name string
	run  func(context.Context) error
}

func (e *Entry) newGroup(ctx context.Context, stop context.CancelFunc) *run.Group {
	group := &run.Group{}
	for _, c := range e.components() {
		group.Add(func() error {
			err := c.run(ctx)
			if err != nil {
				caevent.Warn(e.log, caevent.PartFailed).Str("part", c.name).AnErr("error", err).Send()
			}
			return err
		}, func(error) { stop() })
	}
	return group
}

func (e *Entry) components() []component {
	return []component{
		{"vm_list", e.vmList.Run},
		{"members", e.members.Run},
		{"owner", e.ownership.Run},
		{"owner_inputs", func(ctx context.Context) error { return followOwnershipInputs(ctx, e) }},
		{"shards", e.shards.Run},
		{"config", e.follower.Run},
		{"active", e.activeConfig.Run},
		{"launcher", e.launcher.Run},
		{"quota", e.quota.Run},
		{"archive", e.archive.Run},
		{"keys", e.idempotencyKeys.Run},
		{"dispatcher", e.dispatcher.Run},
		{"owner_events", e.forwardOwnershipEvents},
		{"policy", e.applyPolicies},
		{"publisher", e.syncState},
		{"peers", func(ctx context.Context) error { return e.peerServer.Serve(ctx, e.peerListener, e.serverTLS) }},
		{"api", e.serveAPI},
		{"operators", func(ctx context.Context) error { return e.operatorsAPI.Run(ctx, e.operatorsListener) }},
	}
}

func (e *Entry) serveAPI(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- e.api.Serve(e.apiListener) }()
	select {
	case err := <-serveErr:
		if err != nil {
			return err
		}
	case <-ctx.Done():
	}
	<-ctx.Done()
	// After a drain this closes no connection that is in use.
	_ = e.api.Close()
	return nil
}

// drain stops new work, waits for requests in progress and hands over upstreams
// and shards. Only requests that outlast the drain timeout are cut off.
func (e *Entry) drain() {
	caevent.Info(e.log, caevent.EntryStopping).Send()
	close(e.draining)
	announceCtx, cancelAnnounce := context.WithTimeout(context.Background(), announceTimeout)
	defer cancelAnnounce()
	e.members.Leave(announceCtx)
	e.launcher.Drain()
	e.sleep(loadBalancerDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Timeouts.Drain)
	defer cancel()
	if err := e.api.Shutdown(ctx); err != nil {
		caevent.Warn(e.log, caevent.PartFailed).Str("part", "api").AnErr("error", err).Send()
	}
	if err := e.dispatcher.Close(ctx); err != nil {
		caevent.Warn(e.log, caevent.PartFailed).Str("part", "dispatcher").AnErr("error", err).Send()
	}
	e.idempotencyKeys.Flush()
	e.handOver()
}

func (e *Entry) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := e.ownership.Drain(ctx); err != nil {
		caevent.Warn(e.log, caevent.PartFailed).Str("part", "owner").AnErr("error", err).Send()
	}
	for _, s := range e.shards.Statuses() {
		if s.Primary {
			e.shards.Yield(s.Shard)
		}
	}
	for e.leadsReplicatedShard() && ctx.Err() == nil {
		e.sleep(handoverPollPeriod)
	}
	announceCtx, cancelAnnounce := context.WithTimeout(context.Background(), announceTimeout)
	defer cancelAnnounce()
	e.members.Left(announceCtx)
}

// handoverPollPeriod is the time between two checks whether all shards are
// handed over.
const handoverPollPeriod = 50 * time.Millisecond

func (e *Entry) leadsReplicatedShard() bool {
	for _, s := range e.shards.Statuses() {
		if s.Primary && !s.View.IsSolo() {
			return true
		}
	}
	return false
}

func (e *Entry) sleep(d time.Duration) {
	timer := e.timer.After(d)
	defer timer.Close()
	<-timer.C
}
