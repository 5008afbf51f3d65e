package casoak

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"
)

//go:generate go tool enumer -type=FaultKind -trimprefix=Fault -transform=snake -output=faultkind_names.go

// FaultKind is what a fault does.
type FaultKind int

// The kinds of fault.
const (
	// FaultKill ends a node at once and starts it again when the fault is over.
	FaultKill FaultKind = iota
	// FaultTerminate tells a node to stop, and starts it again.
	FaultTerminate
	// FaultFreeze stops a node and lets it go on.
	FaultFreeze
	// FaultStoreLink injures the way of a node to the store.
	FaultStoreLink
	// FaultPeerLink injures the ways of the others to a node.
	FaultPeerLink
	// FaultUpstreamLink injures the way to an upstream.
	FaultUpstreamLink
	// FaultUpstreamRestart starts an upstream anew under its id.
	FaultUpstreamRestart
	// FaultStore makes the store refuse, swallow, lose or delay its calls.
	FaultStore
	// FaultKillAll ends all nodes at once.
	FaultKillAll
	// FaultConfigure puts a new configuration in force.
	FaultConfigure
)

const (
	// minFaultDuration and faultAtMost bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration  = 5 * time.Second
	// meanFaultInterval is the mean time between the beginnings of two faults.
	meanFaultInterval = 1500 * time.Millisecond
	// leaderTarget stands for the node that leads when the fault begins.
	leaderTarget = -1
	// leaderFraction is the fraction of faults of a node that hit the leader.
	leaderFraction = 0.5
	// faultKindCount is the number of kinds.
	faultKindCount = int(FaultConfigure) + 1
	// linkFaultCount and storeFaults are the numbers of faults to choose from,
	// without the one that is none.
	linkFaultCount  = int(LinkSilent)
	storeFaultCount = 4
)

// Fault is one injury of the cell.
type Fault struct {
	Kind FaultKind
	// At is when it begins, after the beginning of the load, and For how long
	// it lasts.
	At, For time.Duration
	// Target is the number of the node or upstream, or leaderTarget.
	Target int
	// Way is the fault of a link, or of the store.
	Way int
}

// String returns the fault for a report.
func (f Fault) String() string {
	return fmt.Sprintf("%s at %v for %v on %d, way %d", f.Kind, f.At, f.For, f.Target, f.Way)
}

// NewPlan draws faults for the time from the seed. They come in series and may
// overlap.
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
		case FaultKill, FaultTerminate, FaultFreeze, FaultStoreLink, FaultPeerLink, FaultKillAll, FaultConfigure:
		}
		plan = append(plan, f)
	}
	return plan
}

// faultEvent is the beginning or the end of a fault.
type faultEvent struct {
	at time.Duration
	// faultIndex is that of the fault in the plan.
	faultIndex int
	fault  Fault
	begins bool
}

// faultEvents returns the beginnings and ends of faults in their order.
func faultEvents(plan []Fault) []faultEvent {
	list := make([]faultEvent, 0, 2*len(plan))
	for i, f := range plan {
		list = append(list, faultEvent{at: f.At, faultIndex: i, fault: f, begins: true}, faultEvent{at: f.At + f.For, faultIndex: i, fault: f})
	}
	slices.SortStableFunc(list, func(x, y faultEvent) int { return cmp.Compare(x.at, y.at) })
	return list
}
