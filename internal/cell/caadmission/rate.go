package caadmission

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// rateTimeConstant is the time constant of the moving average of started work.
const rateTimeConstant = 5 * time.Second

// CoreTime is an amount of work in thousandths of a core times nanoseconds.
type CoreTime float64

// CoreTimeOf returns the work of a number of tasks.
func CoreTimeOf(cpu cawork.MilliCPU, duration time.Duration, tasks int) CoreTime {
	return CoreTime(cpu) * CoreTime(duration) * CoreTime(tasks)
}

// StartRate measures how much work of a queue is started, as an exponentially decaying
// average.
type StartRate struct {
	sum       CoreTime
	decayedAt time.Time
	// startedAt is when the first work was started.
	startedAt time.Time
}

// Add counts work that is started now.
func (r *StartRate) Add(now time.Time, w CoreTime) {
	r.decay(now)
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	r.sum += w
}

func (r *StartRate) decay(now time.Time) {
	if !r.decayedAt.IsZero() {
		r.sum *= CoreTime(math.Exp(-now.Sub(r.decayedAt).Seconds() / rateTimeConstant.Seconds()))
	}
	r.decayedAt = now
}

// Value returns the rate in thousandths of a core, or zero before the measurement has run
// for rateTimeConstant.
func (r *StartRate) Value(now time.Time) float64 {
	if r.startedAt.IsZero() || now.Sub(r.startedAt) < rateTimeConstant {
		return 0
	}
	r.decay(now)
	return float64(r.sum) / float64(rateTimeConstant)
}
