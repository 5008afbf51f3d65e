// Package cagang decides how much of a pool is left to wide gangs.
//
// A gang that does not fit on one upstream needs many large slots at the same time. Small tasks that are placed wherever
// there is room leave no such slots. Therefore a part of each pool, the gang partition, is left to these wide gangs. Its
// size follows their share of the demand. The slots that one gang frees there fit the next.
package cagang

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// maxShare is the largest fraction of a pool that is left to wide gangs.
	maxShare = 0.9
	// shareTimeConstant is the time constant of the moving average of the wide gangs' share.
	shareTimeConstant = 4 * time.Second
	// minDemandShare is the fraction of a pool that must be in demand for the share of wide gangs to be updated.
	minDemandShare = 0.05
	// sizeWeight is the weight of one gang in the moving averages of gang sizes.
	sizeWeight = 0.1
)

// Partition is the part of a pool that is left to wide gangs.
type Partition struct {
	// share is its fraction of the pool.
	share float64
	// updatedAt is when share was last updated.
	updatedAt time.Time
	// meanTasks is the mean width of a gang, and the others are the mean size of its tasks, in thousandths of a core,
	// bytes and accelerators. They are zero until the first gang.
	meanTasks, meanCPU, meanMemory, meanAccelerators float64
}

// Share returns the fraction of the pool that is left to wide gangs.
func (p *Partition) Share() float64 { return p.share }

// MeanTasks returns the mean width of a gang, zero before the first one.
func (p *Partition) MeanTasks() float64 { return p.meanTasks }

// SlotSize returns the size of a task of a typical wide gang.
func (p *Partition) SlotSize() cawork.Resources {
	return cawork.Resources{CPU: cawork.MilliCPU(p.meanCPU), Memory: cawork.Bytes(p.meanMemory), Accelerators: int64(p.meanAccelerators)}
}

// AddGang adds the size of a wide gang to the moving averages.
func (p *Partition) AddGang(s caspec.Step) {
	weight := sizeWeight
	if p.meanTasks == 0 {
		weight = 1
	}
	p.meanTasks += weight * (float64(s.Tasks) - p.meanTasks)
	p.meanCPU += weight * (float64(s.CPU) - p.meanCPU)
	p.meanMemory += weight * (float64(s.Memory) - p.meanMemory)
	p.meanAccelerators += weight * (float64(s.Accelerators) - p.meanAccelerators)
}

// UpdateShare moves the share towards the part of the demand that is of wide gangs. Where the demand exceeds the
// capacity, it is the part of the capacity, so that other work waits first.
func (p *Partition) UpdateShare(now time.Time, wideDemand, demand, capacity float64) {
	if demand < minDemandShare*capacity {
		return
	}
	target := min(wideDemand/min(demand, capacity), maxShare)
	weight := 1.0
	if !p.updatedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(p.updatedAt).Seconds()/shareTimeConstant.Seconds())
	}
	p.updatedAt = now
	p.share += weight * (target - p.share)
}

// RankOf returns a number from 0 to 1 that determines the order in which upstreams join the gang partition.
func RankOf(id cawork.UpstreamID) float64 {
	const precision = 1 << 53
	return float64(xxhash.Sum64String(string(id))>>11) / precision
}

// Sizes are the mean sizes of the whole gangs of a queue.
type Sizes struct {
	// meanCPU and meanMemory are in thousandths of a core and bytes, zero before the first gang.
	meanCPU, meanMemory float64
}

// Add adds a step, unless it is no gang or long-running.
func (z *Sizes) Add(s caspec.Step) {
	if !s.Gang || s.LongRunning {
		return
	}
	weight := sizeWeight
	if z.meanCPU == 0 && z.meanMemory == 0 {
		weight = 1
	}
	z.meanCPU += weight * (float64(s.CPU)*float64(s.Tasks) - z.meanCPU)
	z.meanMemory += weight * (float64(s.Memory)*float64(s.Tasks) - z.meanMemory)
}

// AreWide reports whether a mean gang does not fit on one upstream of the given capacity.
func (z *Sizes) AreWide(capacity cawork.Resources) bool {
	return z.meanCPU > float64(capacity.CPU) || z.meanMemory > float64(capacity.Memory)
}
