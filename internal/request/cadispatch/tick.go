package cadispatch

import (
	"context"
	"time"
)

// tickPeriod is the time between two looks at what waits for its time.
const tickPeriod = 50 * time.Millisecond

// tickControl starts the ticks of a dispatcher. An idle one has none. It is guarded
// by the lock of the dispatcher, but for the channel.
type tickControl struct {
	// startSignal has a place for one signal, so that need never blocks.
	startSignal chan struct{}
	active      bool
}

// ensureActive has the dispatcher tick until nothing waits for its time.
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

func (d *Dispatcher) tickUntilIdle(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.config.Timer.Repeat(ctx, tickPeriod, func(context.Context) {
		if !d.tick() {
			cancel()
		}
	})
}

// tick does what is due and reports whether another tick is needed.
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
	d.queues.Idle()
	d.cancelLate(now)
	d.dispatchQueued(now)
	d.borrow(now)
	d.metrics.queued.Update(float64(d.queues.Len()))
	d.metrics.slots.Update(float64(d.router.InUse()))
	d.metrics.memory.Update(float64(d.memory.used()))
	d.ticks.active = d.inProgress > 0 || d.router.Pending()
	return d.ticks.active
}
