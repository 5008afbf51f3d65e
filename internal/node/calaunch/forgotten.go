package calaunch

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// An upstream that does not know an attempt fences it. This proves that the attempt never
// started, unless the upstream has forgotten its attempts: it may do so when it restarts, which
// also ends its ownership.

// maxClockDrift is the factor by which two entries may measure the same time differently.
const maxClockDrift = 1.04

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
