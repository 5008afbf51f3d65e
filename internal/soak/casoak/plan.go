package casoak

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/soak/caproxy"
)

//go:generate go tool enumer -type=FaultKind -trimprefix=Fault -transform=snake -output=faultkind_names.go

// FaultKind is the kind of an injected fault.
type FaultKind int

// The kinds of fault.
const (
	// FaultKill kills a node and restarts it when the fault ends.
	FaultKill FaultKind = iota
	// FaultTerminate sends SIGTERM to a node and restarts it when the fault ends.
	FaultTerminate
	// FaultFreeze stops a node by SIGSTOP and resumes it when the fault ends.
	FaultFreeze
	// FaultStoreLink disturbs the connections of a node to the store.
	FaultStoreLink
	// FaultPeerLink disturbs the connections of other nodes to a node.
	FaultPeerLink
	// FaultUpstreamLink disturbs the connections to an upstream.
	FaultUpstreamLink
	// FaultUpstreamRestart restarts an upstream under the same id.
	FaultUpstreamRestart
	// FaultStore makes calls to the store fail in the way given by Fault.Way.
	FaultStore
	// FaultKillAll kills all nodes and restarts them when the fault ends.
	FaultKillAll
	// FaultConfigure publishes a new version of the configuration.
	FaultConfigure
	// FaultDeadlyJob submits a job with a task that crashes each upstream that
	// starts it. Each crash lasts as long as the fault.
	FaultDeadlyJob
	// FaultCapacity shrinks the capacity of an upstream until the fault ends.
	FaultCapacity
	// FaultDeadlyWork is FaultDeadlyJob with a job of any kind of work.
	FaultDeadlyWork
	// FaultSeries submits a job whose occurrences overlap.
	FaultSeries
	// FaultOddEntry leaves an odd entry among those of the upstreams, as another writer may, in the
	// way given by Fault.Way: under a key of its own and in place of the entry of an upstream.
	FaultOddEntry
	// FaultPowerLoss kills all nodes and ends the incarnations of all upstreams until the fault ends.
	FaultPowerLoss
	// FaultZoneCut cuts the nodes of a zone off from the store, and the nodes and upstreams of the
	// zone from all callers.
	FaultZoneCut
	// FaultLimits changes the limit of a team until the fault ends.
	FaultLimits
	// FaultSurge lets a team submit many times its usual until the fault ends.
	FaultSurge
	// FaultStop sends SIGTERM to a node, kills it if it outlives its grace period, and starts it again
	// when the fault has ended and the process too.
	FaultStop
	// FaultHangup sends SIGHUP to a node.
	FaultHangup
	// FaultPowerLossAfterSubmit and FaultPowerLossAfterCancel are FaultPowerLoss soon after the next
	// submission, or cancellation, has been acknowledged.
	FaultPowerLossAfterSubmit
	FaultPowerLossAfterCancel
	// FaultKillInDrain sends SIGTERM to a node and SIGKILL while it drains.
	FaultKillInDrain
	// FaultLateRenewals leaves some of the renewals at a third of the upstreams unanswered, which are carried
	// out seconds later, and restarts these upstreams under their ids when the fault ends.
	FaultLateRenewals
	// FaultQueues changes a queue of the configuration until the fault ends, in the way of caqueues.Change.
	FaultQueues
	// FaultTeams changes the teams of the configuration until the fault ends, in the way of cateams.Change. Requests that
	// were accepted then arrive again.
	FaultTeams
)

const (
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 1500 * time.Millisecond
	// leaderTarget selects the node that is leader when the fault begins.
	leaderTarget = -1
	// leaderFraction is the fraction of node faults that target the leader.
	leaderFraction = 0.5
	// faultKindCount is the number of fault kinds that NewPlan draws.
	faultKindCount = int(FaultConfigure) + 1
	// linkFaultCount and storeFaultCount are the numbers of link and store faults,
	// without the value for no fault.
	linkFaultCount  = int(caproxy.LinkSilent)
	storeFaultCount = 4
	// meanAddedInterval is the mean time between two faults of an added kind, and meanPowerLossInterval
	// that between two losses of power of a kind.
	meanAddedInterval     = 3 * time.Second
	meanPowerLossInterval = 10 * time.Second
	// addedWayCount is the number of ways of the added kinds.
	addedWayCount = 3
	// addedSource separates the source of the added kinds from that of the others.
	addedSource = 1 << 32
	// lateRenewalSource separates the source of late renewals, which only runs with a workload have.
	lateRenewalSource = 1 << 40
	// queueSource separates the source of changes of queues from that of the other added kinds.
	queueSource = 1 << 44
	// teamSource separates the source of changes of teams from that of the other added kinds.
	teamSource = 1 << 48
	// addedShare is the share of the plans that have an added kind, in DrawAdded.
	addedShare = 0.7
)

// Fault is one fault of a plan.
type Fault struct {
	Kind FaultKind
	// At is the start of the fault, counted from the start of the load, and For
	// its duration.
	At, For time.Duration
	// Target is the index of the node or upstream, or leaderTarget.
	Target int
	// Way is the LinkFault of a link, the fault of the store, how a deadly job crashes
	// its upstream, or the cores that a shrunk upstream keeps.
	Way int
}

// String describes the fault for a report.
func (f Fault) String() string {
	return fmt.Sprintf("%s at %v for %v on %d, way %d", f.Kind, f.At, f.For, f.Target, f.Way)
}

// NewPlan returns the faults of a run, drawn from the seed and in order of their
// start. Faults may overlap.
func NewPlan(seed int64, during time.Duration, nodes, upstreams int) []Fault {
	random := rand.New(rand.NewSource(seed))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval))
		if at >= during {
			break
		}
		f := Fault{Kind: FaultKind(random.Intn(faultKindCount)), At: at.Round(time.Millisecond)}
		f.For = (minFaultDuration + time.Duration(random.Int63n(int64(maxFaultDuration-minFaultDuration)))).Round(time.Millisecond)
		f.Target = random.Intn(nodes)
		if random.Float64() < leaderFraction {
			f.Target = leaderTarget
		}
		f.Way = 1 + random.Intn(linkFaultCount)
		switch f.Kind {
		case FaultUpstreamLink, FaultUpstreamRestart:
			f.Target = random.Intn(upstreams)
		case FaultStore:
			f.Way = 1 + random.Intn(storeFaultCount)
		case FaultKill, FaultTerminate, FaultFreeze, FaultStoreLink, FaultPeerLink, FaultKillAll, FaultConfigure, FaultDeadlyJob, FaultCapacity, FaultDeadlyWork, FaultSeries, FaultOddEntry, FaultPowerLoss, FaultZoneCut, FaultLimits, FaultSurge, FaultStop, FaultHangup, FaultPowerLossAfterSubmit, FaultPowerLossAfterCancel, FaultKillInDrain, FaultLateRenewals, FaultQueues, FaultTeams:
		}
		plan = append(plan, f)
	}
	return plan
}

// DrawAdded returns the added kinds of fault of a seed, for runs that ask for none. A share
// of the plans has each kind.
func DrawAdded(seed int64) []FaultKind {
	random := rand.New(rand.NewSource(seed - addedSource))
	var kinds []FaultKind
	for _, kind := range slices.Concat([]FaultKind{FaultCapacity, FaultDeadlyWork, FaultSeries, FaultOddEntry}, stopFaults) {
		if random.Float64() < addedShare {
			kinds = append(kinds, kind)
		}
	}
	if rand.New(rand.NewSource(seed-queueSource)).Float64() < addedShare {
		kinds = append(kinds, FaultQueues)
	}
	if rand.New(rand.NewSource(seed-teamSource)).Float64() < addedShare {
		kinds = append(kinds, FaultTeams)
	}
	return kinds
}

// DrawAddedWork is DrawAdded for runs with a workload. Only their upstreams check that a ticket is of
// their incarnation, as far as late renewals need that.
func DrawAddedWork(seed int64) []FaultKind {
	kinds := slices.DeleteFunc(DrawAdded(seed), func(kind FaultKind) bool { return kind != FaultQueues && !slices.Contains(stopFaults, kind) })
	if rand.New(rand.NewSource(seed-lateRenewalSource)).Float64() < addedShare {
		kinds = append(kinds, FaultLateRenewals)
	}
	return kinds
}

// meanInterval returns the mean time between two faults of an added kind.
func (k FaultKind) meanInterval() time.Duration {
	if k == FaultPowerLossAfterSubmit || k == FaultPowerLossAfterCancel {
		return meanPowerLossInterval
	}
	return meanAddedInterval
}

// WithAddedFaults returns the plan with faults of further kinds. They are drawn from a
// source of their own, so that the other faults of a seed stay as they are.
func WithAddedFaults(plan []Fault, seed int64, during time.Duration, upstreams int, kinds []FaultKind) []Fault {
	for _, kind := range kinds {
		random := rand.New(rand.NewSource(seed + addedSource*int64(kind)))
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() * float64(kind.meanInterval()))
			if at >= during {
				break
			}
			plan = append(plan, Fault{
				Kind: kind, At: at.Round(time.Millisecond), Target: random.Intn(upstreams), Way: 1 + random.Intn(addedWayCount),
				For: (minFaultDuration + time.Duration(random.Int63n(int64(maxFaultDuration-minFaultDuration)))).Round(time.Millisecond),
			})
		}
	}
	slices.SortStableFunc(plan, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return plan
}

// faultEvent is the start or the end of a fault.
type faultEvent struct {
	at time.Duration
	// faultIndex is the index of the fault in the plan.
	faultIndex int
	fault      Fault
	begins     bool
}

// faultEvents returns the starts and ends of the faults in order of time.
func faultEvents(plan []Fault) []faultEvent {
	list := make([]faultEvent, 0, 2*len(plan))
	for i, f := range plan {
		list = append(list, faultEvent{at: f.At, faultIndex: i, fault: f, begins: true}, faultEvent{at: f.At + f.For, faultIndex: i, fault: f})
	}
	slices.SortStableFunc(list, func(x, y faultEvent) int { return cmp.Compare(x.at, y.at) })
	return list
}
