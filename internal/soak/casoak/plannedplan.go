package casoak

import (
	"cmp"
	"math/rand"
	"slices"
	"syscall"
	"time"
)

const (
	// plannedZones is the number of availability zones of a soak of planned work without a workload.
	plannedZones = 3
	// meanPlannedInterval is the mean time between two steps of planned work.
	meanPlannedInterval = 700 * time.Millisecond
	// configureShare, hangupShare and zoneShare are the shares of the steps that publish a
	// configuration, send SIGHUP to a node, and stop a whole zone. The others stop a node.
	configureShare = 0.2
	hangupShare    = 0.25
	zoneShare      = 0.1
	// minStopDuration and maxStopDuration bound the time from a stop to the next start.
	minStopDuration = 2600 * time.Millisecond
	maxStopDuration = 4 * time.Second
	// maxZoneSpread bounds the time between the stops of the nodes of a zone.
	maxZoneSpread = 300 * time.Millisecond
	// againShare is the share of the stops during which the node gets another signal, and startShare
	// that of those soon after which it gets one, within signalAfterStart of its start.
	againShare       = 0.5
	startShare       = 0.5
	signalAfterStart = 100 * time.Millisecond
	// secondStopShare is the share of these signals that are SIGTERM.
	secondStopShare = 0.3
)

// NewPlannedPlan returns the faults of a run of planned work, drawn from the seed: stops of nodes and
// zones, signals to read settings again, and configurations, in series that overlap.
func NewPlannedPlan(seed int64, during time.Duration, nodes int) []Fault {
	random := rand.New(rand.NewSource(seed + addedSource*int64(FaultStop)))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanPlannedInterval))
		if at >= during {
			break
		}
		target := random.Intn(nodes)
		switch kind := random.Float64(); {
		case kind < configureShare:
			plan = append(plan, Fault{Kind: FaultConfigure, At: at})
		case kind < configureShare+hangupShare:
			plan = append(plan, Fault{Kind: FaultHangup, At: at, Target: target})
		case kind < configureShare+hangupShare+zoneShare:
			for i := target % plannedZones; i < nodes; i += plannedZones {
				plan = append(plan, stopWithSignals(random, at+randomTime(random, maxZoneSpread), i)...)
			}
		default:
			plan = append(plan, stopWithSignals(random, at, target)...)
		}
	}
	slices.SortStableFunc(plan, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return plan
}

// stopWithSignals returns a stop of a node and the signals that the node gets during the stop and soon
// after its next start.
func stopWithSignals(random *rand.Rand, at time.Duration, node int) []Fault {
	stop := Fault{Kind: FaultStop, At: at, For: minStopDuration + randomTime(random, maxStopDuration-minStopDuration), Target: node}
	list := []Fault{stop}
	if random.Float64() < againShare {
		list = append(list, secondSignal(random, at+randomTime(random, minStopDuration), node))
	}
	if random.Float64() < startShare {
		list = append(list, secondSignal(random, at+stop.For+randomTime(random, signalAfterStart), node))
	}
	return list
}

// secondSignal returns a signal to a node that is being stopped or has just started.
func secondSignal(random *rand.Rand, at time.Duration, node int) Fault {
	if random.Float64() < secondStopShare {
		return Fault{Kind: FaultStop, At: at, For: minStopDuration, Target: node}
	}
	return Fault{Kind: FaultHangup, At: at, Target: node}
}

// randomTime returns a time below the bound.
func randomTime(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int63n(int64(bound)))
}

// applyPlanned starts or ends a step of planned work at a node.
func (c *cell) applyPlanned(e faultEvent, l *outcomeLog) {
	n := c.nodes[e.fault.Target]
	switch {
	case e.fault.Kind == FaultHangup && e.begins:
		c.stops.Go(func() { recordError(l, e.fault, n.signalInitialized(syscall.SIGHUP)) })
	case e.fault.Kind == FaultStop && e.begins:
		n.beginDown(syscall.SIGTERM)
		c.stops.Go(func() { recordError(l, e.fault, n.killAfterGrace()) })
	case e.fault.Kind == FaultStop:
		c.stops.Go(func() { recordError(l, e.fault, n.endStop()) })
	}
}

func recordError(l *outcomeLog, f Fault, err error) {
	if err != nil {
		l.recordViolation("%s: %v", f, err)
	}
}
