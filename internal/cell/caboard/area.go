package caboard

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// A gang that is wider than one upstream needs many large places at the same time.
// Small work that goes wherever there is room leaves none of them, so a part of
// each pool, the gang area, is left to such gangs. Its size follows their part of
// the work. Places that one gang leaves there fit the next.

const (
	// areaMost is the largest fraction of a pool that is left to wide gangs.
	areaMost = 0.75
	// areaMemory is the time over which the part of wide gangs is averaged.
	areaMemory = 4 * time.Second
	// areaLeastBusy is the fraction of a pool that must be asked for before the
	// part of wide gangs means anything.
	areaLeastBusy = 0.05
	// areaSpare is how many times the places that wide gangs need are left free in
	// their area before other work may go there, beyond what the advisor refuses.
	areaSpare = 1.2
	// approvedLeast bounds the part of upstreams that the advisor is taken to
	// approve, so that the places left free stay bounded.
	approvedLeast = 0.25
	// areaPatience is the fraction of its slack that a step waits for room outside
	// of the gang area.
	areaPatience = 0.35
	// areaWeight makes urgent work prefer upstreams outside of the gang area.
	areaWeight = 0.25
	// sizeWeight is the weight of one gang in the mean of their sizes.
	sizeWeight = 0.1
)

// area is what is known of the wide gangs of a pool.
type area struct {
	// share is the fraction of the pool that is left to them.
	share    float64
	measured time.Time
	// tasks is the mean width of a gang, and the others the mean size of its tasks, in
	// thousandths of a core, bytes and accelerators. They are zero until the first gang.
	tasks, cpu, memory, accelerators float64
}

// place returns the size of a task of a typical wide gang.
func (a *area) place() cawork.Resources {
	return cawork.Resources{CPU: cawork.MilliCPU(a.cpu), Memory: cawork.Bytes(a.memory), Accelerators: int64(a.accelerators)}
}

// noteGang takes the size of a wide gang into the means.
func (a *area) noteGang(s caspec.Step) {
	weight := sizeWeight
	if a.tasks == 0 {
		weight = 1
	}
	a.tasks += weight * (float64(s.Tasks) - a.tasks)
	a.cpu += weight * (float64(s.CPU) - a.cpu)
	a.memory += weight * (float64(s.Memory) - a.memory)
	a.accelerators += weight * (float64(s.Accelerators) - a.accelerators)
}

// follow moves the share towards the part of wide gangs in what is asked for.
func (a *area) follow(now time.Time, wide, all, capacity float64) {
	if all < areaLeastBusy*capacity {
		return
	}
	target := min(wide/all, areaMost)
	weight := 1.0
	if !a.measured.IsZero() {
		weight = 1 - math.Exp(-now.Sub(a.measured).Seconds()/areaMemory.Seconds())
	}
	a.measured = now
	a.share += weight * (target - a.share)
}

func (b *Board) areaOf(pool caspec.PoolName) *area {
	a, ok := b.areas[pool]
	if !ok {
		a = &area{}
		b.areas[pool] = a
	}
	return a
}

// rankOf returns a number from 0 to 1 by which upstreams join the gang area.
func rankOf(id cawork.UpstreamID) float64 {
	const precision = 1 << 53
	return float64(xxhash.Sum64String(string(id))>>11) / precision
}

// noteWidth takes a step into the mean size of the gangs of its queue.
func (q *queueStats) noteWidth(s caspec.Step) {
	if !s.Gang || s.LongRunning {
		return
	}
	weight := sizeWeight
	if q.gangCPU == 0 && q.gangMemory == 0 {
		weight = 1
	}
	q.gangCPU += weight * (float64(s.CPU)*float64(s.Tasks) - q.gangCPU)
	q.gangMemory += weight * (float64(s.Memory)*float64(s.Tasks) - q.gangMemory)
}

// isWide reports whether the gangs of the queue do not fit on one upstream of the
// capacity.
func (q *queueStats) isWide(capacity cawork.Resources) bool {
	return q.gangCPU > float64(capacity.CPU) || q.gangMemory > float64(capacity.Memory)
}

// layAreas decides which upstreams are left to wide gangs in the plan being made,
// and how much other work may go there nevertheless.
func (b *Board) layAreas() {
	for _, s := range b.steps {
		p := b.pools[s.job.pool]
		if p == nil {
			continue
		}
		s.wide = s.spec.Gang && !s.spec.LongRunning && b.statsOf(s.job.Submission.Queue).isWide(p.largest)
		if !s.ready || s.waiting == 0 || s.lateness != latenessNone {
			continue
		}
		asked := float64(s.spec.CPU) * float64(s.waiting)
		p.asked += asked
		if s.wide {
			p.askedWide += asked
			p.waitingWide += s.waiting
		}
	}
	for name, p := range b.pools {
		b.layArea(b.areaOf(name), p)
	}
}

// layArea decides it for one pool. Before the first gang its tasks have no size, and
// no place counts as free.
func (b *Board) layArea(a *area, p *openPool) {
	a.follow(b.now.Steady, p.askedWide, p.asked, float64(p.capacity))
	place := a.place()
	free := 0
	for _, u := range p.upstreams {
		u.inArea = u.rank < a.share
		if u.inArea && u.reservedBy == nil && a.tasks > 0 {
			free += u.free().Holds(place)
		}
	}
	approved := b.approvedOfWide(p)
	p.spill = free - int(areaSpare*(float64(p.waitingWide)+a.tasks)/approved)
}

// approvedOfWide returns the part of upstreams that the advisor approves for the
// wide gangs that wait, the smallest of their queues.
func (b *Board) approvedOfWide(p *openPool) float64 {
	least := 1.0
	for name, stats := range b.queues {
		q, ok := b.policy.Queue(name)
		if ok && q.Approval != nil && stats.isWide(p.largest) && b.pools[q.Pool] == p {
			least = min(least, stats.approvedShare)
		}
	}
	return max(least, approvedLeast)
}

// takesPlace reports whether a task of the step takes a place from wide gangs at an
// upstream that is left to them, rather than room that is too small for them.
func (b *Board) takesPlace(s *step, u *upstream) bool {
	if !u.inArea || s.wide {
		return false
	}
	place := b.areaOf(u.info.Pool).place()
	return u.free().Minus(s.spec.Size()).Holds(place) < u.free().Holds(place)
}

// mayUseArea reports whether a step may use an upstream that is left to wide
// gangs. Urgent work may, and so may what has waited for long.
func (b *Board) mayUseArea(s *step, q caspec.Queue, u *upstream) bool {
	if s.tight || !b.takesPlace(s, u) {
		return true
	}
	if p := b.pools[q.Pool]; p != nil && p.spill > 0 {
		return true
	}
	return s.lateness == latenessNone && b.now.Steady.Sub(s.readyAt) > time.Duration(areaPatience*float64(s.slack))
}

// noteAreaUse counts the places that a task takes from wide gangs.
func (b *Board) noteAreaUse(s *step, u *upstream) {
	p := b.pools[u.info.Pool]
	if p == nil || !u.inArea || s.wide {
		return
	}
	place := b.areaOf(u.info.Pool).place()
	p.spill -= u.free().Plus(s.spec.Size()).Holds(place) - u.free().Holds(place)
}
