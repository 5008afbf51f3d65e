package casoak

import (
	"cmp"
	"context"
	"math/rand"
	"slices"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/soak/caproxy"
)

const (
	// workFaultShare is the share of the plans with a workload that have a kind of workFaults.
	workFaultShare = 0.5
	// surgeFactor is how many times its usual a team submits in a surge.
	surgeFactor = 8
)

// workFaults are the kinds of fault that concern the power supply, whole zones and teams.
var workFaults = []FaultKind{FaultPowerLoss, FaultKillAll, FaultZoneCut, FaultLimits, FaultSurge}

// limitFactors are what a limit is multiplied with, by the way of a fault.
var limitFactors = [addedWayCount]float64{0.25, 0.5, 2}

// NewWorkPlan returns the faults of a run with a workload: those of NewPlan, and some of
// workFaults from a source of their own.
func NewWorkPlan(seed int64, during time.Duration, nodes, upstreams int) []Fault {
	plan := NewPlan(seed, during, nodes, upstreams)
	for _, kind := range workFaults {
		random := rand.New(rand.NewSource(seed + addedSource*int64(kind)))
		if random.Float64() >= workFaultShare {
			continue
		}
		at := time.Duration(random.Float64() * float64(during))
		length := minFaultDuration + time.Duration(random.Int63n(int64(maxFaultDuration-minFaultDuration)))
		plan = append(plan, Fault{
			Kind: kind, At: at.Round(time.Millisecond), For: length.Round(time.Millisecond),
			Target: random.Intn(nodes), Way: 1 + random.Intn(addedWayCount),
		})
	}
	slices.SortStableFunc(plan, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return plan
}

// applyWorkEvent starts or ends a fault of workFaults, or a change of a queue or of teams.
func (c *cell) applyWorkEvent(ctx context.Context, e faultEvent) error {
	switch e.fault.Kind {
	case FaultPowerLoss:
		if e.begins {
			c.fleet.LosePower(e.fault.For)
		}
		return c.applyDown(e, c.allNodes(), syscall.SIGKILL)
	case FaultZoneCut:
		c.cutZone(c.zoneOf(e.fault.Target), e.begins)
	case FaultLimits:
		c.work.changeLimit(e)
		return c.configure(ctx)
	case FaultSurge:
		c.work.changeRate(e)
	case FaultQueues:
		return c.changeQueue(ctx, e)
	case FaultTeams:
		return c.changeTeams(ctx, e)
	}
	return nil
}

// cutZone cuts a zone off, or ends the cut. The proxies stand at the called side: nodes of the zone
// still reach nodes elsewhere.
func (c *cell) cutZone(zone string, begins bool) {
	link := caproxy.LinkNone
	if begins {
		link = caproxy.LinkSilent
	}
	for _, n := range c.nodes {
		if n.zone == zone {
			n.storeProxy.SetFault(link)
			n.peerProxy.SetFault(link)
		}
	}
	for i, p := range c.upstreamProxies {
		if c.zoneOf(i) == zone {
			p.SetFault(link)
		}
	}
}
