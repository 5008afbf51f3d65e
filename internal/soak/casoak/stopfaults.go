package casoak

import (
	"context"
	"syscall"
	"time"
)

// stopFaults are the kinds of fault that end nodes at a chosen moment.
var stopFaults = []FaultKind{FaultPowerLossAfterSubmit, FaultPowerLossAfterCancel, FaultKillInDrain}

// maxAcknowledgementWait bounds the wait for the acknowledgement before a loss of power.
const maxAcknowledgementWait = 3 * time.Second

// powerLossDelays are the times from an acknowledgement to a loss of power, by the way of a fault.
var powerLossDelays = [addedWayCount]time.Duration{0, 3 * time.Millisecond, 10 * time.Millisecond}

// killDelays are the times from SIGTERM to SIGKILL, by the way of a fault: while the node accepts
// calls, and as it finishes the last ones.
var killDelays = [addedWayCount]time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 2600 * time.Millisecond}

// acknowledgements lets a fault wait for the next acknowledgement to a caller.
type acknowledgements struct {
	submitted, canceled chan struct{}
}

func newAcknowledgements() acknowledgements {
	return acknowledgements{submitted: make(chan struct{}), canceled: make(chan struct{})}
}

// notify ends the wait for an acknowledgement, if any.
func notify(acknowledged chan<- struct{}) {
	select {
	case acknowledged <- struct{}{}:
	default:
	}
}

// applyStopFault starts or ends a fault of stopFaults.
func (c *cell) applyStopFault(ctx context.Context, e faultEvent, l *outcomeLog) error {
	switch e.fault.Kind {
	case FaultPowerLossAfterSubmit:
		return c.losePowerAfter(ctx, e, c.acknowledged.submitted)
	case FaultPowerLossAfterCancel:
		return c.losePowerAfter(ctx, e, c.acknowledged.canceled)
	}
	node := e.fault.Target % len(c.nodes)
	if e.begins {
		c.stops.Go(func() { recordError(l, e.fault, c.killAfter(ctx, c.nodes[node], killDelays[e.fault.Way-1])) })
	}
	return c.applyDown(e, []int{node}, syscall.SIGTERM)
}

// losePowerAfter ends all nodes and all incarnations of upstreams soon after the next acknowledgement.
func (c *cell) losePowerAfter(ctx context.Context, e faultEvent, acknowledged <-chan struct{}) error {
	if e.begins {
		select {
		case <-acknowledged:
		case <-time.After(maxAcknowledgementWait):
		}
		// At the end of the context, the power is lost at once.
		_ = c.timer.Pause(ctx, powerLossDelays[e.fault.Way-1])
		c.fleet.LosePower(e.fault.For)
	}
	return c.applyDown(e, c.allNodes(), syscall.SIGKILL)
}

// killAfter kills a node after a time and starts it again, unless another fault keeps it down.
func (c *cell) killAfter(ctx context.Context, n *node, delay time.Duration) error {
	if err := c.timer.Pause(ctx, delay); err != nil {
		return err
	}
	n.beginDown(syscall.SIGKILL)
	return n.endDown()
}
