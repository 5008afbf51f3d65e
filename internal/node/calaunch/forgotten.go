package calaunch

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// An upstream that does not know an attempt fences it. This proves that the attempt never
// started, unless the upstream has forgotten its attempts: it may do so when it restarts, which
// also ends its ownership.

const (
	// maxClockDrift is the factor by which two entries may measure the same time differently.
	maxClockDrift = 1.04
	// gainedRetention is how long polls name a gained upstream. It outlasts cuts and pauses of
	// the entry that polls.
	gainedRetention = 10 * time.Minute
)

// resolved returns the state of an attempt that the owner of its upstream answers. An attempt
// that was fenced, but is older than the ownership of its upstream, may have run and ended with
// the former life of the upstream. It counts as lapsed, and the state names no task.
func (l *Launcher) resolved(call ControlCall, s caplatform.TaskStatus) caplatform.TaskStatus {
	if !call.Resolve || s.State != cawork.TaskStateFenced || !l.mayHaveForgotten(call) {
		return s
	}
	return caplatform.TaskStatus{Attempt: call.Attempt, State: cawork.TaskStateLapsed}
}

// mayHaveForgotten reports whether an owned upstream may have restarted since the attempt of
// the call was recorded.
func (l *Launcher) mayHaveForgotten(call ControlCall) bool {
	owned := l.now().Sub(l.ownedSince[call.Upstream])
	return call.Age > 0 && owned < time.Duration(maxClockDrift*float64(call.Age))
}

// gainedUpstreams returns the upstreams that this entry gained recently.
func (l *Launcher) gainedUpstreams() []GainedUpstream {
	var gained []GainedUpstream
	for u, since := range l.ownedSince {
		if ago := l.now().Sub(since); ago < gainedRetention {
			gained = append(gained, GainedUpstream{Upstream: u, Ago: ago})
		}
	}
	return gained
}

// checkRunning queries the state of the attempts that run on an upstream of another entry and
// were last seen before that entry gained the upstream, which may have forgotten them.
func (l *Launcher) checkRunning(u cawork.UpstreamID, gainedAt time.Time) {
	for _, a := range l.attempts {
		if a.upstream == u && a.phase == phaseRunning && a.seenAt.Before(gainedAt) {
			l.resolveAttempt(a)
		}
	}
}
