// Package caestimate corrects declared sizes and run times by what tasks of the
// same team and kind really used.
//
// Each dimension keeps a histogram of used/declared in logarithmic buckets. The
// corrected declaration is the declared one times a quantile of it, within
// bounds. Older observations fade by halving.
//
// Example: when 19 of 20 tasks of a team used at most half of what they
// declared, a task that declares 4 cores is taken to need 2.
package caestimate

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// sizeQuantile is the part of the tasks that the corrected size covers.
	sizeQuantile = 0.95
	// timeQuantile is the part of the tasks that end by the corrected time.
	timeQuantile = 0.75
	// minSamples is the number of observations below which nothing is corrected.
	minSamples = 20
	// fadeAt is the weight of observations at which all are halved.
	fadeAt = 512

	minSizeFactor = 0.25
	maxSizeFactor = 2
	minTimeFactor = 1.0 / 16
	maxTimeFactor = 16

	bucketsPerOctave = 8
	octaves          = 5
	bucketCount      = 2*octaves*bucketsPerOctave + 1
)

// histogram counts ratios. Bucket i covers those up to 2^((i-40)/8).
type histogram struct {
	counts [bucketCount]float32
	total  float32
	factor float64
}

func (h *histogram) add(ratio, quantile, least, most float64) {
	i := 0
	if ratio > 0 {
		i = int(math.Ceil(math.Log2(ratio)*bucketsPerOctave)) + octaves*bucketsPerOctave
	}
	h.counts[min(max(i, 0), bucketCount-1)]++
	h.total++
	if h.total >= fadeAt {
		h.fade()
	}
	h.factor = min(max(h.quantile(quantile), least), most)
}

func (h *histogram) fade() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

func (h *histogram) quantile(q float64) float64 {
	want := float32(q) * h.total
	var sum float32
	for i, n := range h.counts {
		sum += n
		if sum >= want {
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

// Record holds what was observed of a team and kind.
type Record struct {
	cpu     histogram
	memory  histogram
	runTime histogram
	version uint64
}

// Estimator holds the records.
type Estimator struct {
	records map[key]*Record
}

// NewEstimator returns an estimator that corrects nothing yet.
func NewEstimator() *Estimator { return &Estimator{records: map[key]*Record{}} }

// Record returns the record of the team and kind.
func (e *Estimator) Record(team cawork.TeamName, kind cawork.WorkKind) *Record {
	k := key{team, kind}
	r, ok := e.records[k]
	if !ok {
		r = &Record{}
		e.records[k] = r
	}
	return r
}

// Version returns a number that grows whenever a correction changes.
func (r *Record) Version() uint64 { return r.version }

// note adds a ratio to the histogram.
func (r *Record) note(h *histogram, ratio, quantile, least, most float64) {
	before := h.correction()
	h.add(ratio, quantile, least, most)
	if h.correction() != before {
		r.version++
	}
}

// ObserveSize adds the highest usage of a task. A dimension without a usage
// report is left out.
func (r *Record) ObserveSize(declared, peak cawork.Resources) {
	if declared.CPU > 0 && peak.CPU > 0 {
		r.note(&r.cpu, float64(peak.CPU)/float64(declared.CPU), sizeQuantile, minSizeFactor, maxSizeFactor)
	}
	if declared.Memory > 0 && peak.Memory > 0 {
		r.note(&r.memory, float64(peak.Memory)/float64(declared.Memory), sizeQuantile, minSizeFactor, maxSizeFactor)
	}
}

// ObserveRunTime adds the run time of a task that ended well.
func (r *Record) ObserveRunTime(declared, ran time.Duration) {
	if declared > 0 {
		r.note(&r.runTime, float64(ran)/float64(declared), timeQuantile, minTimeFactor, maxTimeFactor)
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

// Factor leads from declared sizes to lower bounds of corrected ones.
type Factor struct{ cpu, memory float64 }

// Least returns a factor with which Of gives a lower bound of Size for all sizes
// that are at least declared, corrected or not.
func (r *Record) Least() Factor {
	return Factor{cpu: min(1, r.cpu.correction()), memory: min(1, r.memory.correction())}
}

// Min returns the lower of both factors in each dimension.
func (f Factor) Min(o Factor) Factor { return Factor{min(f.cpu, o.cpu), min(f.memory, o.memory)} }

// Of returns the lower bound for sizes that are at least declared.
func (f Factor) Of(declared cawork.Resources) cawork.Resources {
	return cawork.Resources{
		CPU:          cawork.MilliCPU(float64(declared.CPU) * f.cpu),
		Memory:       cawork.Bytes(float64(declared.Memory) * f.memory),
		Accelerators: declared.Accelerators,
	}
}

// RunTime returns the corrected run time, zero when none was declared.
func (r *Record) RunTime(declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * r.runTime.correction())
}
