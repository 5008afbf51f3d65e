// Package caruntime learns from finished runs how long tasks run, and tells the length of their work
// apart from the speed of their upstreams. It does no input or output and reads no clock.
//
// Two models of a queue follow its runs: one takes the estimates of callers as true but for a common factor, the
// other corrects them by regression. The second is used once it has predicted better. A run that was cut short is a
// lower bound: it counts only if it had taken longer than expected.
package caruntime

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// maxResidual bounds by how much, as a logarithm, one run may deviate from what is expected of it:
	// few runs take many times as long as others, whatever their upstream.
	maxResidual = 1.2
	// minRunTime is the shortest run time that counts.
	minRunTime = time.Millisecond
)

// Run is a run that has ended.
type Run struct {
	Queue    caspec.QueueName
	Upstream cawork.UpstreamID
	// Incarnation is that of the upstream. A later one may be of another kind.
	Incarnation int64
	Estimate    time.Duration
	Took        time.Duration
	// Cut is set if the run was stopped, or lost, before its work was done.
	Cut bool
}

// Model is what is known about run times. It is not safe for concurrent use.
type Model struct {
	queues    map[caspec.QueueName]*queueModel
	upstreams map[cawork.UpstreamID]*speed
	// levels are the levels of slowness of the upstreams, as of the last Update.
	levels levels
}

// New returns a model that knows nothing: it takes the estimates for true and all upstreams for equally
// fast.
func New() *Model {
	return &Model{queues: make(map[caspec.QueueName]*queueModel), upstreams: make(map[cawork.UpstreamID]*speed)}
}

// Add adds a run that has ended.
func (m *Model) Add(r Run) {
	if r.Estimate <= 0 {
		return
	}
	q, ok := m.queues[r.Queue]
	if !ok {
		q = newQueueModel()
		m.queues[r.Queue] = q
	}
	s := m.speedOf(r.Upstream, r.Incarnation)
	estimate, took := math.Log(float64(r.Estimate)), math.Log(float64(max(r.Took, minRunTime)))
	residual := took - q.corrected(estimate) - s.mean
	if r.Cut && residual <= 0 {
		return
	}
	if !r.Cut {
		s.addRelative(q.addRatio(float64(r.Took) / float64(r.Estimate)))
	}
	s.add(clamp(took - q.corrected(estimate)))
	q.add(estimate, took-s.mean, residual)
}

func clamp(residual float64) float64 { return min(max(residual, -maxResidual), maxResidual) }

// Expected returns how long a task of the queue is expected to run on average on an upstream of usual speed.
func (m *Model) Expected(queue caspec.QueueName, estimate time.Duration) time.Duration {
	q, ok := m.queues[queue]
	if !ok || estimate <= 0 {
		return estimate
	}
	return q.expected(estimate)
}

// Quantile returns how long a task of the queue runs on an upstream of usual speed, at most, with the
// probability p.
func (m *Model) Quantile(queue caspec.QueueName, estimate time.Duration, p float64) time.Duration {
	q, ok := m.queues[queue]
	if !ok || estimate <= 0 {
		return estimate
	}
	return time.Duration(math.Exp(q.corrected(math.Log(float64(estimate)))) * q.tail.ratio(p))
}

// Learned is what is known about the run times of a queue.
type Learned struct {
	// Runs is how many runs that rests on.
	Runs int `json:"runs"`
	// Factor is the mean ratio of run times to their estimates.
	Factor float64 `json:"factor"`
	// Corrects is set if the estimates are corrected by regression, and Error is by which factor run times
	// typically deviate from what is then expected of them. EstimateError is the same for the estimates.
	Corrects      bool    `json:"corrects"`
	Error         float64 `json:"error"`
	EstimateError float64 `json:"estimate_error"`
}

// Learned returns what is known about the run times of a queue.
func (m *Model) Learned(queue caspec.QueueName) Learned {
	q, ok := m.queues[queue]
	if !ok {
		return Learned{Factor: 1, Error: 1, EstimateError: 1}
	}
	return Learned{
		Runs: q.runs, Factor: q.factor, Corrects: q.corrects(),
		Error: math.Exp(math.Sqrt(q.correctedError)), EstimateError: math.Exp(math.Sqrt(q.scaledError)),
	}
}

// Queues returns the queues of which runs have ended.
func (m *Model) Queues() []caspec.QueueName {
	list := make([]caspec.QueueName, 0, len(m.queues))
	for name := range m.queues {
		list = append(list, name)
	}
	return list
}
