package calaunch

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// initialStartBackoff is how long an upstream gets no starts after it
	// refused one. Each further refusal doubles the delay, up to
	// maxStartBackoff.
	initialStartBackoff = time.Second
	maxStartBackoff     = 30 * time.Second
)

// startBackoffs holds the backoff of owned upstreams that refused a start. An
// upstream that refuses has less capacity than is accounted for here; without a
// backoff the scheduler would send it the same task again immediately, without
// end.
type startBackoffs map[cawork.UpstreamID]startBackoff

type startBackoff struct {
	until time.Time
	delay time.Duration
	// cleared is set once the scheduler was informed that the backoff has
	// ended.
	cleared bool
}

// recordRefusal begins a backoff, with twice the previous delay if there was
// one. Refusals during a backoff, of starts sent before it began, are ignored.
func (b startBackoffs) recordRefusal(u cawork.UpstreamID, now time.Time) {
	previous, known := b[u]
	switch {
	case !known:
		b[u] = startBackoff{until: now.Add(initialStartBackoff), delay: initialStartBackoff}
	case !now.Before(previous.until):
		delay := min(2*previous.delay, maxStartBackoff)
		b[u] = startBackoff{until: now.Add(delay), delay: delay}
	}
}

// recordStart ends the backoff of an upstream that started a task. It reports
// whether there was one.
func (b startBackoffs) recordStart(u cawork.UpstreamID) bool {
	_, known := b[u]
	delete(b, u)
	return known
}

// isActive reports whether the backoff of an upstream is in effect.
func (b startBackoffs) isActive(u cawork.UpstreamID, now time.Time) bool {
	return now.Before(b[u].until)
}

// putUpstream passes an owned upstream to the scheduler. An upstream in backoff
// is marked as leaving.
func (l *Launcher) putUpstream(vm caplatform.VM) {
	leaving := vm.State != caplatform.VMStateLive || l.startBackoffs.isActive(cawork.UpstreamID(vm.ID), l.now())
	l.Scheduler.PutUpstream(schedulerUpstream(vm, leaving), l.now())
}

// updateStartBackoff updates the backoff of an upstream after the answer to a
// start.
func (l *Launcher) updateStartBackoff(u cawork.UpstreamID, err error) {
	vm, listed := l.Directory.Upstream(u)
	if !listed || !l.table.Owns(u) {
		return
	}
	switch {
	case err == nil && l.startBackoffs.recordStart(u):
		l.putUpstream(vm)
	case cakind.Of(err) == cakind.KindNotStarted:
		l.startBackoffs.recordRefusal(u, l.now())
		l.putUpstream(vm)
	}
}

// expireStartBackoffs makes upstreams whose backoff has ended available to the
// scheduler again.
func (l *Launcher) expireStartBackoffs() {
	for u, b := range l.startBackoffs {
		vm, listed := l.Directory.Upstream(u)
		switch {
		case !listed || !l.table.Owns(u):
			delete(l.startBackoffs, u)
		case !b.cleared && !l.startBackoffs.isActive(u, l.now()):
			b.cleared = true
			l.startBackoffs[u] = b
			l.putUpstream(vm)
		}
	}
}
