package caboard

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// A gang that does not fit on one upstream needs many large slots at the same time. Small
// tasks that are placed wherever there is room leave no such slots. Therefore a part of
// each pool, the gang partition, is left to these wide gangs. Its size follows their
// share of the demand. The slots that one gang frees there fit the next.

const (
	// maxPartitionShare is the largest fraction of a pool that is left to wide gangs.
	maxPartitionShare = 0.9
	// partitionTimeConstant is the time constant of the moving average of the wide gangs'
	// share.
	partitionTimeConstant = 4 * time.Second
	// minPartitionDemandShare is the fraction of a pool that must be in demand for the
	// share of wide gangs to be updated.
	minPartitionDemandShare = 0.05
	// gangSlotSpareFactor is the ratio of the slots that are left free in the gang
	// partition to those that wide gangs need, after upstreams that the advisor rejects
	// are discounted. Other work may use the slots beyond that.
	gangSlotSpareFactor = 1.2
	// minWideApprovalRate is a lower bound for the assumed approval rate of wide gangs,
	// so that the slots left free stay bounded.
	minWideApprovalRate = 0.25
	// maxPartitionWaitSlackShare is the fraction of its slack for which a step waits for
	// room outside of the gang partition.
	maxPartitionWaitSlackShare = 0.6
	// maxPartitionWait is for how long a step of which nothing runs waits for room outside of the gang
	// partition, however late it is.
	maxPartitionWait = 1500 * time.Millisecond
	// gangSlotPenalty makes urgent work prefer upstreams outside of the gang partition.
	gangSlotPenalty = 0.25
	// gangSizeWeight is the weight of one gang in the moving averages of gang sizes.
	gangSizeWeight = 0.1
)

// gangPartition is the part of a pool that is left to wide gangs.
type gangPartition struct {
	// share is its fraction of the pool.
	share float64
	// updatedAt is when share was last updated.
	updatedAt time.Time
	// meanTasks is the mean width of a gang, and the others are the mean size of its
	// tasks, in thousandths of a core, bytes and accelerators. They are zero until the
	// first gang.
	meanTasks, meanCPU, meanMemory, meanAccelerators float64
}

// slotSize returns the size of a task of a typical wide gang.
func (g *gangPartition) slotSize() cawork.Resources {
	return cawork.Resources{CPU: cawork.MilliCPU(g.meanCPU), Memory: cawork.Bytes(g.meanMemory), Accelerators: int64(g.meanAccelerators)}
}

// addGang adds the size of a wide gang to the moving averages.
func (g *gangPartition) addGang(s caspec.Step) {
	weight := gangSizeWeight
	if g.meanTasks == 0 {
		weight = 1
	}
	g.meanTasks += weight * (float64(s.Tasks) - g.meanTasks)
	g.meanCPU += weight * (float64(s.CPU) - g.meanCPU)
	g.meanMemory += weight * (float64(s.Memory) - g.meanMemory)
	g.meanAccelerators += weight * (float64(s.Accelerators) - g.meanAccelerators)
}

// updateShare moves the share towards the part of the demand that is of wide gangs. Where
// the demand exceeds the capacity, it is the part of the capacity, so that other work waits
// first.
func (g *gangPartition) updateShare(now time.Time, wideDemand, demand, capacity float64) {
	if demand < minPartitionDemandShare*capacity {
		return
	}
	target := min(wideDemand/min(demand, capacity), maxPartitionShare)
	weight := 1.0
	if !g.updatedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(g.updatedAt).Seconds()/partitionTimeConstant.Seconds())
	}
	g.updatedAt = now
	g.share += weight * (target - g.share)
}

func (b *Planner) partitionOf(pool caspec.PoolName) *gangPartition {
	g, ok := b.partitions[pool]
	if !ok {
		g = &gangPartition{}
		b.partitions[pool] = g
	}
	return g
}

// partitionRankOf returns a number from 0 to 1 that determines the order in which
// upstreams join the gang partition.
func partitionRankOf(id cawork.UpstreamID) float64 {
	const precision = 1 << 53
	return float64(xxhash.Sum64String(string(id))>>11) / precision
}

// addGangSize adds a step to the mean size of the gangs of its queue.
func (q *queueStats) addGangSize(s caspec.Step) {
	if !s.Gang || s.LongRunning {
		return
	}
	weight := gangSizeWeight
	if q.meanGangCPU == 0 && q.meanGangMemory == 0 {
		weight = 1
	}
	q.meanGangCPU += weight * (float64(s.CPU)*float64(s.Tasks) - q.meanGangCPU)
	q.meanGangMemory += weight * (float64(s.Memory)*float64(s.Tasks) - q.meanGangMemory)
}

// hasWideGangs reports whether a mean gang of the queue does not fit on one upstream of
// the given capacity.
func (q *queueStats) hasWideGangs(capacity cawork.Resources) bool {
	return q.meanGangCPU > float64(capacity.CPU) || q.meanGangMemory > float64(capacity.Memory)
}

// planPartitions decides which upstreams are left to wide gangs in the current plan, and
// how many slots other work may use there nevertheless.
func (b *Planner) planPartitions() {
	for _, s := range b.steps {
		p := b.pools[s.job.pool]
		if p == nil {
			continue
		}
		s.wide = s.spec.Gang && !s.spec.LongRunning && b.statsOf(s.job.Submission.Queue).hasWideGangs(p.maxCapacity)
		if !s.ready || s.waitingTasks == 0 || s.lateness != latenessNone {
			continue
		}
		demand := float64(s.spec.CPU) * float64(s.waitingTasks)
		p.demand += demand
		if s.wide {
			p.wideDemand += demand
			p.waitingWideTasks += s.waitingTasks
		}
	}
	for name, p := range b.pools {
		b.planPartition(b.partitionOf(name), p)
	}
}

// planPartition does so for one pool. Before the first gang its tasks have no size, and
// no slot counts as free.
func (b *Planner) planPartition(g *gangPartition, p *poolPlan) {
	g.updateShare(b.now.Monotonic, p.wideDemand, p.demand, float64(p.capacity))
	slot := g.slotSize()
	freeSlots := 0
	for _, u := range p.upstreams {
		u.inPartition = u.partitionRank < g.share
		if u.inPartition && !u.isReservedForGang() && g.meanTasks > 0 {
			freeSlots += u.free().Minus(u.reservedRoom).Floor().Holds(slot)
		}
	}
	approvalRate := b.wideApprovalRate(p)
	p.spareGangSlots = freeSlots - int(gangSlotSpareFactor*(float64(p.waitingWideTasks)+g.meanTasks)/approvalRate)
}

// wideApprovalRate returns the fraction of upstreams that the advisor approves for wide
// gangs, the lowest of their queues.
func (b *Planner) wideApprovalRate(p *poolPlan) float64 {
	lowest := 1.0
	for name, stats := range b.queues {
		q, ok := b.terms.Queue(name)
		if ok && q.Approval != nil && stats.hasWideGangs(p.maxCapacity) && b.pools[q.Pool] == p {
			lowest = min(lowest, stats.approvalRate)
		}
	}
	return max(lowest, minWideApprovalRate)
}

// takesGangSlot reports whether a task of the step would take a slot from wide gangs at
// an upstream of the gang partition, rather than room that is too small for their tasks.
// Room that other work uses there belongs to gangs as well: if more such work took its
// place, the room for a gang's task would never come together. Urgent work takes only what
// is free, since little of it runs at a time.
func (b *Planner) takesGangSlot(s *step, u *upstream) bool {
	if !u.inPartition || s.wide {
		return false
	}
	slot := b.partitionOf(u.info.Pool).slotSize()
	gangRoom := u.info.Capacity.Minus(u.usedLong)
	if s.urgent {
		gangRoom = u.free()
	}
	return u.free().Minus(s.spec.Size()).Holds(slot) < gangRoom.Holds(slot)
}

// mayUsePartition reports whether a step may use an upstream of the gang partition: if it
// takes no gang slot or if some are to spare. Urgent steps may always, and so may steps
// that have waited for long and can still meet their objective. A late step may start one task there, so
// that it goes on while gangs wait without end.
func (b *Planner) mayUsePartition(s *step, q caspec.Queue, u *upstream) bool {
	if s.urgent || !u.inPartition || s.wide {
		return true
	}
	if p := b.pools[q.Pool]; p != nil && p.spareGangSlots > 0 {
		return true
	}
	hasWaited := s.lateness == latenessNone && b.now.Monotonic.Sub(s.readyAt) > time.Duration(maxPartitionWaitSlackShare*float64(s.slack))
	isStuck := s.liveRuns == 0 && b.now.Monotonic.Sub(s.waitBegan()) > maxPartitionWait
	return hasWaited || isStuck || !b.takesGangSlot(s, u)
}

// countGangSlotUse subtracts the slots that a task takes from wide gangs.
func (b *Planner) countGangSlotUse(s *step, u *upstream) {
	p := b.pools[u.info.Pool]
	if p == nil || !u.inPartition || s.wide {
		return
	}
	slot := b.partitionOf(u.info.Pool).slotSize()
	p.spareGangSlots -= u.free().Plus(s.spec.Size()).Holds(slot) - u.free().Holds(slot)
}
