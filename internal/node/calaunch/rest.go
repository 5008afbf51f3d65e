package calaunch

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// firstRest is how long an upstream gets no starts after it refused one.
	// Each further refusal doubles the time, up to maxRest.
	firstRest = time.Second
	maxRest   = 30 * time.Second
)

// rests keeps starts away from owned upstreams that refused one. An upstream
// that refuses has less room than is counted here; without a rest the same task
// would be sent there again at once, for ever.
type rests map[cawork.UpstreamID]rest

type rest struct {
	until  time.Time
	length time.Duration
	// over is set once the scheduler knows that the rest has ended.
	over bool
}

// refused lets an upstream rest. Refusals of starts that were sent before the
// rest began count once.
func (r rests) refused(u cawork.UpstreamID, now time.Time) {
	old, known := r[u]
	switch {
	case !known:
		r[u] = rest{until: now.Add(firstRest), length: firstRest}
	case !now.Before(old.until):
		length := min(2*old.length, maxRest)
		r[u] = rest{until: now.Add(length), length: length}
	}
}

// accepted ends the rest of an upstream that started something. It reports
// whether there was one.
func (r rests) accepted(u cawork.UpstreamID) bool {
	_, known := r[u]
	delete(r, u)
	return known
}

// resting reports whether an upstream gets no starts now.
func (r rests) resting(u cawork.UpstreamID, now time.Time) bool {
	return now.Before(r[u].until)
}

// putUpstream tells the scheduler of an owned upstream.
func (l *Launcher) putUpstream(vm caplatform.VM) {
	leaving := vm.State != caplatform.VMStateLive || l.rests.resting(cawork.UpstreamID(vm.ID), l.now())
	l.Scheduler.PutUpstream(describe(vm, leaving), l.now())
}

// answered takes over how an upstream answered a start.
func (l *Launcher) answered(u cawork.UpstreamID, err error) {
	vm, listed := l.Directory.Upstream(u)
	if !listed || !l.table.Owns(u) {
		return
	}
	switch {
	case err == nil && l.rests.accepted(u):
		l.putUpstream(vm)
	case cakind.Of(err) == cakind.KindNotStarted:
		l.rests.refused(u, l.now())
		l.putUpstream(vm)
	}
}

// endRests gives starts again to the upstreams that have rested.
func (l *Launcher) endRests() {
	for u, r := range l.rests {
		vm, listed := l.Directory.Upstream(u)
		switch {
		case !listed || !l.table.Owns(u):
			delete(l.rests, u)
		case !r.over && !l.rests.resting(u, l.now()):
			r.over = true
			l.rests[u] = r
			l.putUpstream(vm)
		}
	}
}
