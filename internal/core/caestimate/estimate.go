// Package caestimate corrects declared sizes and run times by the observed usage
// of tasks of the same team and kind.
//
// Each dimension has a histogram of the ratio of used to declared, in logarithmic
// buckets. The corrected value is the declared one times a quantile of the
// histogram, within bounds. When the total reaches a maximum, all counts are
// halved, so that older observations lose weight.
//
// Example: if 19 of 20 tasks of a team used at most half of what they declared,
// the corrected size of a task that declares 4 cores is 2 cores.
package caestimate

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// sizeQuantile is the fraction of the tasks that fit into the corrected size.
	sizeQuantile = 0.95
	// runTimeQuantile is the fraction of the tasks that end within the corrected
	// run time.
	runTimeQuantile = 0.75
	// minSamples is the weight of observations below which a dimension is not
	// corrected.
	minSamples = 20
	// maxTotal is the weight of observations at which all counts are halved.
	maxTotal = 512

	minSizeFactor    = 0.25
	maxSizeFactor    = 2
	minRunTimeFactor = 1.0 / 16
	maxRunTimeFactor = 16

	bucketsPerOctave = 8
	octaves          = 5
	bucketCount      = 2*octaves*bucketsPerOctave + 1
)

// histogram counts ratios of used to declared. Bucket i counts those above
// 2^((i-41)/8) and up to 2^((i-40)/8). The first and the last bucket also count
// the ratios out of range.
type histogram struct {
	counts [bucketCount]float32
	total  float32
	factor float64
}

func (h *histogram) add(ratio, quantile, minFactor, maxFactor float64) {
	i := 0
	if ratio > 0 {
		i = int(math.Ceil(math.Log2(ratio)*bucketsPerOctave)) + octaves*bucketsPerOctave
	}
	h.counts[min(max(i, 0), bucketCount-1)]++
	h.total++
	if h.total >= maxTotal {
		h.halve()
	}
	h.factor = min(max(h.quantile(quantile), minFactor), maxFactor)
}

func (h *histogram) halve() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

func (h *histogram) quantile(q float64) float64 {
	target := float32(q) * h.total
	var sum float32
	for i, n := range h.counts {
		sum += n
		if sum >= target {
			return math.Exp2(float64(i-octaves*bucketsPerOctave) / bucketsPerOctave)
		}
	}
	return 1
}

func (h *histogram) correction() float64 {
	if h.total < minSamples {
		return 1
	}
	return h.factor
}

type key struct {
	team cawork.TeamName
	kind cawork.WorkKind
}

// Record holds the observations of the tasks of one team and kind.
type Record struct {
	cpu     histogram
	memory  histogram
	runTime histogram
	version uint64
}

// Estimator holds the records of all teams and kinds.
type Estimator struct {
	records map[key]*Record
}

// NewEstimator returns an estimator without observations, which corrects nothing.
func NewEstimator() *Estimator { return &Estimator{records: map[key]*Record{}} }

// Record returns the record of the team and kind, which it creates if needed.
func (e *Estimator) Record(team cawork.TeamName, kind cawork.WorkKind) *Record {
	k := key{team, kind}
	r, ok := e.records[k]
	if !ok {
		r = &Record{}
		e.records[k] = r
	}
	return r
}

// Version returns a number that increases whenever a correction changes.
func (r *Record) Version() uint64 { return r.version }

// addRatio adds a ratio to the histogram and increases the version if the
// correction changes.
func (r *Record) addRatio(h *histogram, ratio, quantile, minFactor, maxFactor float64) {
	before := h.correction()
	h.add(ratio, quantile, minFactor, maxFactor)
	if h.correction() != before {
		r.version++
	}
}

// ObserveSize adds the peak usage of a task. It ignores a dimension without a
// declared or reported amount.
func (r *Record) ObserveSize(declared, peak cawork.Resources) {
	if declared.CPU > 0 && peak.CPU > 0 {
		r.addRatio(&r.cpu, float64(peak.CPU)/float64(declared.CPU), sizeQuantile, minSizeFactor, maxSizeFactor)
	}
	if declared.Memory > 0 && peak.Memory > 0 {
		r.addRatio(&r.memory, float64(peak.Memory)/float64(declared.Memory), sizeQuantile, minSizeFactor, maxSizeFactor)
	}
}

// ObserveRunTime adds the run time of a task that succeeded.
func (r *Record) ObserveRunTime(declared, elapsed time.Duration) {
	if declared > 0 {
		r.addRatio(&r.runTime, float64(elapsed)/float64(declared), runTimeQuantile, minRunTimeFactor, maxRunTimeFactor)
	}
}

// Size returns the corrected size. Accelerators are never corrected.
func (r *Record) Size(declared cawork.Resources) cawork.Resources {
	return cawork.Resources{
		CPU:          cawork.MilliCPU(math.Ceil(float64(declared.CPU) * r.cpu.correction())),
		Memory:       cawork.Bytes(math.Ceil(float64(declared.Memory) * r.memory.correction())),
		Accelerators: declared.Accelerators,
	}
}

// SizeFactor converts declared sizes to lower bounds of corrected sizes.
type SizeFactor struct{ cpu, memory float64 }

// LowerBound returns a factor f such that f.Apply(declared) is a lower bound for every size
// that is at least declared, both as it is and corrected by Size.
func (r *Record) LowerBound() SizeFactor {
	return SizeFactor{cpu: min(1, r.cpu.correction()), memory: min(1, r.memory.correction())}
}

// Min returns the lower of both factors in each dimension.
func (f SizeFactor) Min(o SizeFactor) SizeFactor {
	return SizeFactor{min(f.cpu, o.cpu), min(f.memory, o.memory)}
}

// Apply returns the lower bound for sizes that are at least declared.
func (f SizeFactor) Apply(declared cawork.Resources) cawork.Resources {
	return cawork.Resources{
		CPU:          cawork.MilliCPU(float64(declared.CPU) * f.cpu),
		Memory:       cawork.Bytes(float64(declared.Memory) * f.memory),
		Accelerators: declared.Accelerators,
	}
}

// RunTime returns the corrected run time, or zero if none was declared.
func (r *Record) RunTime(declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * r.runTime.correction())
}
