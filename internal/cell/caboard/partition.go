package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/cell/cagang"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
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
)

func (b *Planner) partitionOf(pool caspec.PoolName) *cagang.Partition {
	g, ok := b.partitions[pool]
	if !ok {
		g = &cagang.Partition{}
		b.partitions[pool] = g
	}
	return g
}

// planPartitions decides which upstreams are left to wide gangs in the current plan, and
// how many slots other work may use there nevertheless.
func (b *Planner) planPartitions() {
	for _, s := range b.steps {
		p := b.pools[s.job.pool]
		if p == nil {
			continue
		}
		s.wide = s.spec.Gang && !s.spec.LongRunning && b.statsOf(s.job.Submission.Queue).gangs.AreWide(p.maxCapacity)
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
func (b *Planner) planPartition(g *cagang.Partition, p *poolPlan) {
	g.UpdateShare(b.now.Monotonic, p.wideDemand, p.demand, float64(p.capacity))
	slot := g.SlotSize()
	freeSlots := 0
	for _, u := range p.upstreams {
		u.inPartition = u.partitionRank < g.Share()
		if u.inPartition && !u.isReservedForGang() && g.MeanTasks() > 0 {
			freeSlots += u.free().Minus(u.reservedRoom).Floor().Holds(slot)
		}
	}
	approvalRate := b.wideApprovalRate(p)
	p.spareGangSlots = freeSlots - int(gangSlotSpareFactor*(float64(p.waitingWideTasks)+g.MeanTasks())/approvalRate)
}

// wideApprovalRate returns the fraction of upstreams that the advisor approves for wide
// gangs, the lowest of their queues.
func (b *Planner) wideApprovalRate(p *poolPlan) float64 {
	lowest := 1.0
	for name, stats := range b.queues {
		q, ok := b.terms.Queue(name)
		if ok && q.Approval != nil && stats.gangs.AreWide(p.maxCapacity) && b.pools[q.Pool] == p {
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
	slot := b.partitionOf(u.info.Pool).SlotSize()
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
	slot := b.partitionOf(u.info.Pool).SlotSize()
	p.spareGangSlots -= u.free().Plus(s.spec.Size()).Holds(slot) - u.free().Holds(slot)
}
