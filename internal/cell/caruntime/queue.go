package caruntime

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// memoryRuns is after how many runs the weight of an earlier one has fallen to 1/e.
	memoryRuns = 300
	// priorRuns is how many runs the trust in the estimates weighs at first, and priorVariance the
	// variance of the logarithms of their estimates.
	priorRuns     = 12
	priorVariance = 0.25
	// ratioScale is the resolution of ratios in a histogram, and maxRatio the largest one.
	ratioScale = 100
	maxRatio   = 100
	// histogramRuns is how many runs a histogram holds before the next one is begun.
	histogramRuns = 500
	// factorWeight is the weight of one run in the mean ratio of run times to estimates, and minFactor and
	// maxFactor bound the ratio of a single run.
	factorWeight = 0.03
	minFactor    = 0.3
	maxFactor    = 4.0
	// minCorrectedRuns is how many runs the correction of a queue rests on at least, and maxErrorShare
	// the largest fraction of the error without it that it may have to be used.
	minCorrectedRuns = 50
	maxErrorShare    = 0.8
	// minScaledError is the mean square of the logarithms from which on estimates count as wrong: they are off
	// by three tenths.
	minScaledError = 0.09
	// minTailRuns is how many runs the quantiles of a queue rest on at least.
	minTailRuns = 30
	// rangeDeviations is how many standard deviations from their mean estimates count as seen.
	rangeDeviations = 2
)

// queueModel predicts the run times of one queue from their estimates: by a common factor, and by linear
// regression of the logarithms. Estimates that say nothing lead to a slope of zero, such that are true to one
// of one.
type queueModel struct {
	runs int
	// factor is the mean ratio of run times to estimates.
	factor float64
	// scaledError and correctedError are the mean squares of the logarithms by which run times deviated from
	// the predictions by the factor and by regression.
	scaledError, correctedError float64
	// The others are sums over the runs, weighted by their age.
	weight, x, y, xx, xy float64
	// ratio is the mean ratio of run times to the typical ones.
	ratio float64
	tail  tail
}

func newQueueModel() *queueModel { return &queueModel{factor: 1, ratio: 1, tail: newTail()} }

// addRatio adds the ratio of a run time to its estimate, and returns its ratio to what the factor predicted.
func (q *queueModel) addRatio(ratio float64) (relative float64) {
	ratio = min(max(ratio, minFactor), maxFactor)
	relative = ratio / q.factor
	q.factor += factorWeight * (ratio - q.factor)
	return relative
}

func (q *queueModel) add(estimate, runTime, residual float64) {
	const keep = 1 - 1.0/memoryRuns
	// One run that takes many times as long as others tells little about them.
	runTime -= residual - clamp(residual)
	q.runs++
	weight := max(1/float64(q.runs), 1.0/memoryRuns)
	scaled := clamp(runTime - estimate - math.Log(q.factor))
	q.scaledError += weight * (scaled*scaled - q.scaledError)
	q.correctedError += weight * (clamp(residual)*clamp(residual) - q.correctedError)
	q.weight = keep*q.weight + 1
	q.x = keep*q.x + estimate
	q.y = keep*q.y + runTime
	q.xx = keep*q.xx + estimate*estimate
	q.xy = keep*q.xy + estimate*runTime
	q.ratio += (math.Exp(clamp(residual)) - q.ratio) / memoryRuns
	q.tail.add(math.Exp(residual))
}

func (q *queueModel) meanEstimate() float64 { return q.x / max(q.weight, 1) }

func (q *queueModel) meanRunTime() float64 { return q.y / max(q.weight, 1) }

// corrects reports whether the regression has predicted better than the factor.
func (q *queueModel) corrects() bool {
	return q.runs >= minCorrectedRuns && q.scaledError > minScaledError && q.correctedError < maxErrorShare*q.scaledError
}

// expected returns the expected run time.
func (q *queueModel) expected(estimate time.Duration) time.Duration {
	if !q.corrects() {
		return time.Duration(q.factor * float64(estimate))
	}
	return time.Duration(math.Exp(q.corrected(math.Log(float64(estimate)))) * q.ratio)
}

// corrected returns the logarithm of the run time by regression.
func (q *queueModel) corrected(estimate float64) float64 {
	if q.weight == 0 {
		return estimate
	}
	meanX, meanY := q.meanEstimate(), q.meanRunTime()
	varianceSum, covarianceSum := q.xx-q.weight*meanX*meanX, q.xy-q.weight*meanX*meanY
	slope := (covarianceSum + priorRuns*priorVariance) / (varianceSum + priorRuns*priorVariance)
	slope = min(max(slope, 0), 1)
	// The mean is drawn towards that of the estimates while there are few runs.
	meanY = (meanY*q.weight + meanX*priorRuns) / (q.weight + priorRuns)
	// Beyond the estimates that were seen, run times are taken to grow as these do.
	seen := rangeDeviations * math.Sqrt(max(varianceSum, 0)/q.weight)
	within := min(max(estimate-meanX, -seen), seen)
	return meanY + slope*within + (estimate - meanX - within)
}

// tail holds the ratios of run times to what was expected of them.
type tail struct {
	current, former *hdrhistogram.Histogram
}

func newTail() tail { return tail{current: newHistogram(), former: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio*ratioScale, 2) }

func (t *tail) add(ratio float64) {
	if t.current.TotalCount() >= histogramRuns {
		t.current, t.former = t.former, t.current
		t.current.Reset()
	}
	// The value is within the range of the histogram.
	_ = t.current.RecordValue(int64(min(max(ratio*ratioScale, 1), maxRatio*ratioScale)))
}

// ratio returns the ratio that a run exceeds with the probability 1-p, one while there are few runs.
func (t *tail) ratio(p float64) float64 {
	if t.current.TotalCount()+t.former.TotalCount() < minTailRuns {
		return 1
	}
	both := t.current
	if t.current.TotalCount() < histogramRuns && t.former.TotalCount() > 0 {
		both = newHistogram()
		both.Merge(t.current)
		both.Merge(t.former)
	}
	return float64(both.ValueAtQuantile(100*p)) / ratioScale
}
