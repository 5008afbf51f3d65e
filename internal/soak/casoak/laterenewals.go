package casoak

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// lateRenewalShare is the share of the renewals at an upstream that are left unanswered during a fault.
	lateRenewalShare = 0.5
	// lateRenewalSpread is how much later than the shortest delay of its fault a renewal is carried out at most.
	lateRenewalSpread = 4 * time.Second
	// lateRenewalStride is the distance of the upstreams that a fault concerns.
	lateRenewalStride = 3
)

// lateRenewalDelays are the shortest times until such a renewal is carried out, by the way of a fault.
var lateRenewalDelays = [addedWayCount]time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second}

// lateRenewals are the upstreams that leave renewals unanswered.
type lateRenewals struct {
	mu     sync.Mutex
	random *rand.Rand
	// delays are the shortest delays there.
	delays map[cawork.UpstreamID]time.Duration
}

func newLateRenewals(seed int64) *lateRenewals {
	return &lateRenewals{random: rand.New(rand.NewSource(seed)), delays: make(map[cawork.UpstreamID]time.Duration)}
}

// begin makes an upstream leave renewals unanswered.
func (l *lateRenewals) begin(id cawork.UpstreamID, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[id] = delay
}

// end ends that.
func (l *lateRenewals) end(id cawork.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.delays, id)
}

// lateness returns how late a renewal at an upstream is carried out, if it is.
func (l *lateRenewals) lateness(id cawork.UpstreamID) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay, ok := l.delays[id]
	if !ok || l.random.Float64() >= lateRenewalShare {
		return 0, false
	}
	return delay + time.Duration(l.random.Int63n(int64(lateRenewalSpread))), true
}

// applyLateRenewals starts or ends a fault of late renewals.
func (c *cell) applyLateRenewals(ctx context.Context, e faultEvent) error {
	for i := e.fault.Target % lateRenewalStride; i < len(c.upstreams); i += lateRenewalStride {
		if e.begins {
			c.late.begin(c.upstreams[i], lateRenewalDelays[e.fault.Way-1])
			continue
		}
		c.late.end(c.upstreams[i])
		c.restartUpstream(i)
	}
	if e.begins {
		return nil
	}
	return c.registerUpstreams(ctx)
}

// restartUpstream restarts an upstream under its id.
func (c *cell) restartUpstream(index int) {
	c.fleet.Restart(c.upstreams[index])
	c.upstreamProxies[index].ResetConns()
}
