package cadispatch

import (
	"context"
	"time"
)

// tickPeriod is the interval between two ticks.
const tickPeriod = 50 * time.Millisecond

// tickControl starts the ticks of a dispatcher, which does not tick while it is
// idle. Its fields, except the channel, are guarded by Dispatcher.mu.
type tickControl struct {
	// startSignal has a buffer of one signal, so that ensureActive never blocks.
	startSignal chan struct{}
	active      bool
}

// ensureActive starts the ticks, unless they are running already. They run until
// a tick finds that no further one is needed.
func (t *tickControl) ensureActive() {
	if t.active {
		return
	}
	t.active = true
	select {
	case t.startSignal <- struct{}{}:
	default:
	}
}

// tickUntilIdle ticks until no further tick is needed or the context ends.
func (d *Dispatcher) tickUntilIdle(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.config.Timer.Repeat(ctx, tickPeriod, func(context.Context) {
		if !d.tick() {
			cancel()
		}
	})
}

// tick does one round of the periodic work and reports whether another tick is
// needed.
func (d *Dispatcher) tick() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Timer.Now()
	if grants := d.router.Expire(now); !d.closed {
		d.returnGrants(grants)
	}
	for _, t := range d.queues.Expire(now) {
		t.Payload.(*waiter).route <- nil
	}
	d.queues.RemoveIdleTeams()
	d.cancelLate(now)
	d.dispatchQueued(now)
	d.borrow(now)
	d.metrics.queued.Update(float64(d.queues.Len()))
	d.metrics.slots.Update(float64(d.router.SlotsInUse()))
	d.metrics.memory.Update(float64(d.memory.used()))
	d.ticks.active = d.inProgress > 0 || d.router.NeedsExpire()
	return d.ticks.active
}
