package caworkload

import (
	"math"
	"math/rand"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// maxSpread is the largest limit of tasks of a step at one upstream.
	maxSpread = 3
	// afterShare is the share of the later steps that follow the step before them.
	afterShare = 0.5
	// minRunTime, minCPU and minMemoryMiB are the smallest run time and size of a task.
	minRunTime   = 50 * time.Millisecond
	minCPU       = 100
	minMemoryMiB = 64
)

// LogNormal is a log-normal distribution with an upper bound.
type LogNormal struct {
	Mean float64 `json:"mean"`
	// Spread is the standard deviation of the logarithm.
	Spread float64 `json:"spread"`
	Max    float64 `json:"max"`
}

func (l LogNormal) draw(r *rand.Rand) float64 {
	return min(l.Mean*math.Exp(l.Spread*r.NormFloat64()-l.Spread*l.Spread/2), l.Max)
}

// count draws a whole number of at least one.
func (l LogNormal) count(r *rand.Rand) int { return max(1, int(math.Round(l.draw(r)))) }

// Kind is a kind of jobs.
type Kind struct {
	Steps     LogNormal `json:"steps"`
	Tasks     LogNormal `json:"tasks"`
	CPU       LogNormal `json:"cpu_milli"`
	MemoryMiB LogNormal `json:"memory_mib"`
	// RunMS is the estimated run time of a task.
	RunMS LogNormal `json:"run_ms"`
	// EstimateError bounds the difference of the run time from the estimate, as a part of it.
	EstimateError float64 `json:"estimate_error"`
	// GangShare is the share of steps that are gangs, SpreadShare that of other steps with a
	// limit of tasks at one upstream.
	GangShare   float64 `json:"gang_share"`
	SpreadShare float64 `json:"spread_share"`
	// CancelShare is the share of accepted jobs that are canceled, FailShare that of runs, or
	// of whole gangs, that fail.
	CancelShare float64 `json:"cancel_share"`
	FailShare   float64 `json:"fail_share"`
}

func (k Kind) problem() string {
	for _, l := range []LogNormal{k.Steps, k.Tasks, k.CPU, k.MemoryMiB, k.RunMS} {
		if l.Mean <= 0 || l.Max <= 0 || l.Spread < 0 {
			return "the distributions of jobs must have a positive mean and max"
		}
	}
	if k.EstimateError < 0 || k.EstimateError >= 1 {
		return "estimate_error must be below 1"
	}
	return ""
}

// Job is a drawn job.
type Job struct {
	Team  Team
	Queue Queue
	Spec  caspec.Submission
	// RunTimes are the run times of the tasks of each step.
	RunTimes []time.Duration
	// Canceled means that the job is canceled once it is accepted.
	Canceled bool
	// seed is the source of the failures.
	seed int64
}

// Draw draws a job. The share of each team is multiplied by its factor.
func (w Workload) Draw(r *rand.Rand, id cawork.JobID, factor func(team int) float64) Job {
	shares := make([]float64, len(w.Teams))
	for i, t := range w.Teams {
		shares[i] = t.Share * factor(i)
	}
	j := Job{Team: w.Teams[pick(r, shares)], Queue: pickBy(r, w.Queues, Queue.share), seed: r.Int63()}
	j.Spec = caspec.Submission{ID: id, Queue: j.Queue.Name, Team: j.Team.Name}
	k := j.Queue.Jobs
	j.Canceled = r.Float64() < k.CancelShare
	for i := range k.Steps.count(r) {
		step := k.step(r)
		if i > 0 && r.Float64() < afterShare {
			step.After = []int{i - 1}
		}
		j.Spec.Steps = append(j.Spec.Steps, step)
		runTime := float64(step.Estimate) * (1 + k.EstimateError*(2*r.Float64()-1))
		j.RunTimes = append(j.RunTimes, max(minRunTime, time.Duration(runTime)))
	}
	return j
}

// RateFactor returns how many times the usual rate all teams together submit.
func (w Workload) RateFactor(factor func(team int) float64) float64 {
	total := 0.0
	for i, t := range w.Teams {
		total += t.Share * factor(i)
	}
	return total / totalShare(w.Teams, Team.share)
}

func (k Kind) step(r *rand.Rand) caspec.Step {
	s := caspec.Step{
		Tasks: k.Tasks.count(r), CPU: cawork.MilliCPU(max(k.CPU.draw(r), minCPU)),
		Memory: cawork.Bytes(max(k.MemoryMiB.draw(r), minMemoryMiB)) * cawork.MiB, Estimate: minRunTime + milliseconds(k.RunMS.draw(r)),
		Gang: r.Float64() < k.GangShare,
	}
	if !s.Gang && r.Float64() < k.SpreadShare {
		s.MaxPerUpstream = 1 + r.Intn(maxSpread)
	}
	return s
}

// Fails reports whether a run of a task fails.
func (j Job) Fails(step, task, run int) bool {
	share := j.Queue.Jobs.FailShare
	if s := j.Spec.Steps[step]; s.Gang {
		share /= float64(s.Tasks)
	}
	seed := j.seed + int64(step)<<40 + int64(task)<<20 + int64(run)
	return rand.New(rand.NewSource(seed)).Float64() < share
}

func totalShare[T any](list []T, share func(T) float64) float64 {
	total := 0.0
	for _, t := range list {
		total += share(t)
	}
	return total
}

func pickBy[T any](r *rand.Rand, list []T, share func(T) float64) T {
	shares := make([]float64, len(list))
	for i, t := range list {
		shares[i] = share(t)
	}
	return list[pick(r, shares)]
}

// pick draws an index in proportion to the shares.
func pick(r *rand.Rand, shares []float64) int {
	at := r.Float64() * totalShare(shares, func(s float64) float64 { return s })
	for i, s := range shares {
		if at -= s; at < 0 {
			return i
		}
	}
	return len(shares) - 1
}
