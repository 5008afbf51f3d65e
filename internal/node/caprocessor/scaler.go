package caprocessor

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

// samplePeriod is the time between two samples of the processor time.
const samplePeriod = 250 * time.Millisecond

// Scaler sets the number of processors of the process. A process must have at most
// one Scaler.
type Scaler struct {
	timer    *catimer.Service
	scope    tally.Scope
	maxProcs int
	done     chan struct{}
}

// NewScaler returns a Scaler that lets the process use at most maxProcs processors,
// and no more than GOMAXPROCS at the time of the call. If maxProcs is not
// positive, GOMAXPROCS alone is the limit.
func NewScaler(maxProcs int, timer *catimer.Service, scope tally.Scope) *Scaler {
	available := runtime.GOMAXPROCS(0)
	if maxProcs <= 0 || maxProcs > available {
		maxProcs = available
	}
	return &Scaler{timer: timer, scope: scope, maxProcs: maxProcs, done: make(chan struct{})}
}

// Run adapts the number of processors to the load until the context ends, and
// then sets it to the maximum. It may be called once.
func (p *Scaler) Run(ctx context.Context) error {
	defer close(p.done)
	governor := NewGovernor(p.maxProcs, p.timer.Now(), CPUTime())
	p.setProcs(1)
	defer p.setProcs(p.maxProcs)
	p.timer.Repeat(ctx, samplePeriod, func(context.Context) { p.setProcs(governor.Choose(p.timer.Now(), CPUTime())) })
	return nil
}

// Done returns a channel that is closed when Run has returned.
func (p *Scaler) Done() <-chan struct{} { return p.done }

// setProcs sets the number of processors. A change stops all goroutines for some
// tens of microseconds.
func (p *Scaler) setProcs(procs int) {
	if runtime.GOMAXPROCS(0) == procs {
		return
	}
	runtime.GOMAXPROCS(procs)
	p.scope.Gauge("processors").Update(float64(procs))
}

// CPUTime returns the user and system time of the process.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
