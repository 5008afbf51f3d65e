package caprocessor

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

// period is the time between two looks at the processor time spent.
const period = 250 * time.Millisecond

// Part sets the number of processors of the process. There must be one at most
// in a process.
type Part struct {
	timer *catimer.Service
	scope tally.Scope
	most  int
	done  chan struct{}
}

// NewPart returns a part that lets the process use at most so many processors,
// and no more than the machine or its quota gives. With 0 it uses all of these.
func NewPart(most int, timer *catimer.Service, scope tally.Scope) *Part {
	given := runtime.GOMAXPROCS(0)
	if most <= 0 || most > given {
		most = given
	}
	return &Part{timer: timer, scope: scope, most: most, done: make(chan struct{})}
}

// Run follows the load until the context ends. It may be called once.
func (p *Part) Run(ctx context.Context) error {
	defer close(p.done)
	governor := NewGovernor(p.most, p.timer.Now(), spent())
	p.use(1)
	defer p.use(p.most)
	p.timer.Repeat(ctx, period, func(context.Context) { p.use(governor.Choose(p.timer.Now(), spent())) })
	return nil
}

// Done is closed at the end of Run.
func (p *Part) Done() <-chan struct{} { return p.done }

// use sets the number of processors. A change stops the process for some tens
// of microseconds.
func (p *Part) use(processors int) {
	if runtime.GOMAXPROCS(0) == processors {
		return
	}
	runtime.GOMAXPROCS(processors)
	p.scope.Gauge("processors").Update(float64(processors))
}

// spent returns the processor time of the process, user and system.
func spent() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
