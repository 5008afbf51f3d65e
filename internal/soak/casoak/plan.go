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
	// faultAtLeast and faultAtMost bound how long a fault lasts.
	faultAtLeast = 300 * time.Millisecond
	faultAtMost  = 5 * time.Second
	// faultGap is the mean time between the beginnings of two faults.
	faultGap = 1500 * time.Millisecond
	// leaderTarget stands for the node that leads when the fault begins.
	leaderTarget = -1
	// leaderShare is the fraction of faults of a node that hit the leader.
	leaderShare = 0.5
	// faultKinds is the number of kinds.
	faultKinds = int(FaultConfigure) + 1
	// linkFaults and storeFaults are the numbers of faults to choose from,
	// without the one that is none.
	linkFaults  = int(LinkSilent)
	storeFaults = 4
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
		at += time.Duration(random.ExpFloat64() * float64(faultGap))
		if at >= during {
			break
		}
		f := Fault{Kind: FaultKind(random.Intn(faultKinds)), At: at.Round(time.Millisecond)}
		f.For = (faultAtLeast + time.Duration(random.Int63n(int64(faultAtMost-faultAtLeast)))).Round(time.Millisecond)
		f.Target = random.Intn(nodes)
		if random.Float64() < leaderShare {
			f.Target = leaderTarget
		}
		f.Way = 1 + random.Intn(linkFaults)
		switch f.Kind {
		case FaultUpstreamLink, FaultUpstreamRestart:
			f.Target = random.Intn(upstreams)
		case FaultStore:
			f.Way = 1 + random.Intn(storeFaults)
		case FaultKill, FaultTerminate, FaultFreeze, FaultStoreLink, FaultPeerLink, FaultKillAll, FaultConfigure:
		}
		plan = append(plan, f)
	}
	return plan
}

// step is the beginning or the end of a fault.
type step struct {
	at time.Duration
	// number is that of the fault in the plan.
	number int
	fault  Fault
	begins bool
}

// steps returns the beginnings and ends of faults in their order.
func steps(plan []Fault) []step {
	list := make([]step, 0, 2*len(plan))
	for i, f := range plan {
		list = append(list, step{at: f.At, number: i, fault: f, begins: true}, step{at: f.At + f.For, number: i, fault: f})
	}
	slices.SortStableFunc(list, func(x, y step) int { return cmp.Compare(x.at, y.at) })
	return list
}
