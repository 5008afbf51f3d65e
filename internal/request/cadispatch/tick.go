package cadispatch

import (
	"context"
	"time"
)

// tickPeriod is the time between two looks at what waits for its time.
const tickPeriod = 50 * time.Millisecond

// ticks starts the ticks of a dispatcher. An idle one has none. It is guarded
// by the lock of the dispatcher, but for the channel.
type ticks struct {
	// start has a place for one signal, so that need never blocks.
	start chan struct{}
	on    bool
}

// need has the dispatcher tick until nothing waits for its time.
func (t *ticks) need() {
	if t.on {
		return
	}
	t.on = true
	select {
	case t.start <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) tickWhileNeeded(ctx context.Context) {
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
		d.giveBack(grants)
	}
	for _, t := range d.queues.Expire(now) {
		t.Payload.(*waiter).route <- nil
	}
	d.queues.Idle()
	d.cutLate(now)
	d.pump(now)
	d.borrow(now)
	d.metrics.queued.Update(float64(d.queues.Len()))
	d.metrics.slots.Update(float64(d.router.InUse()))
	d.metrics.memory.Update(float64(d.memory.used()))
	d.ticks.on = d.inProgress > 0 || d.router.Pending()
	return d.ticks.on
}
