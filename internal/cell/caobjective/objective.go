// Package caobjective determines by when a job should end, from its steps and the terms of its queue.
package caobjective

import (
	"time"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// requestUpstreams is the number of upstreams in the approval request that the objective of a job allows for
	// in each step.
	requestUpstreams = 30
	// outageRetryShare is the fraction of its objective after which a job that was refused in an outage is
	// retried, bounded by MinOutageRetry and maxOutageRetry.
	outageRetryShare = 1.0 / 6
	maxOutageRetry   = 2 * time.Second
	// MinOutageRetry is the shortest delay after which callers retry in an outage.
	MinOutageRetry = time.Second
	// urgentSlackFactor is the slack, as a multiple of the estimate of a step, below which a job needs a fast
	// upstream.
	urgentSlackFactor = 1.5
)

// Of returns the time within which a job should end: the length of its critical path times the stretch of the
// queue, plus the allowance of the queue.
func Of(q caspec.Queue, steps []caspec.Step) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPathOf(q, steps))) + q.TargetLatency
}

// SlackOf returns how long a job may wait and still meet its objective.
func SlackOf(q caspec.Queue, steps []caspec.Step) time.Duration {
	return time.Duration((q.Stretch-1)*float64(criticalPathOf(q, steps))) + q.TargetLatency
}

// IsUrgent reports whether a job with the slack has little time beyond the run time of the step. Long-running work
// is never urgent.
func IsUrgent(slack time.Duration, s caspec.Step) bool {
	return !s.LongRunning && slack < time.Duration(urgentSlackFactor*float64(s.Estimate))
}

// OutageRetryAfter returns the delay after which a caller should retry a job that can not be accepted during an
// outage. Callers give up after a few attempts, so jobs with long objectives are retried less often: they outlast a
// longer outage, and most of their time is still left.
func OutageRetryAfter(q caspec.Queue, steps []caspec.Step) time.Duration {
	return min(max(time.Duration(outageRetryShare*float64(Of(q, steps))), MinOutageRetry), maxOutageRetry)
}

// AdvisorTime returns how long the advisor takes for the request of a step that the objective allows for, zero for a
// queue without an advisor.
func AdvisorTime(q caspec.Queue) time.Duration {
	if q.Approval == nil {
		return 0
	}
	return q.Approval.Cost(requestUpstreams)
}

// criticalPathOf returns the length of the longest chain of steps, with an approval request for each.
func criticalPathOf(q caspec.Queue, steps []caspec.Step) time.Duration {
	longest := time.Duration(0)
	for _, path := range CriticalPaths(steps, AdvisorTime(q)) {
		longest = max(longest, path)
	}
	return longest
}

// CriticalPaths returns for each step the length of the longest chain of steps from it on, where each step takes
// perStep in addition to its estimate. Steps depend on earlier ones only.
func CriticalPaths(steps []caspec.Step, perStep time.Duration) []time.Duration {
	paths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		paths[i] += steps[i].Estimate + perStep
		for _, earlier := range steps[i].After {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return paths
}
