package coordination_test

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celeryarch.example/celeryarch/coordination"
)

const (
	// faultTime and quietTime are the virtual times with and without faults.
	faultTime = 60 * time.Second
	quietTime = 40 * time.Second
	// defaultSeeds is the number of seeds without the environment variable.
	defaultSeeds = 8
)

// faults makes calls late, loses them or their answers, and repeats them later.
type faults struct {
	mu    sync.Mutex
	rng   *rand.Rand
	quiet bool
	late  sync.WaitGroup
}

func newFaults(seed uint64) *faults { return &faults{rng: rand.New(rand.NewPCG(seed, 7))} }

func (f *faults) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.quiet && f.rng.Float64() < p
}

func (f *faults) upTo(d time.Duration) time.Duration { return time.Duration(f.below(int64(d))) }

func (f *faults) below(n int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Int64N(n)
}

func (f *faults) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quiet = true
}

// through passes a call on, or does worse.
func through[T any](ctx context.Context, f *faults, do func(ctx context.Context) (T, error)) (T, error) {
	var none T
	time.Sleep(f.upTo(20 * time.Millisecond))
	if f.chance(0.1) {
		f.late.Go(func() {
			time.Sleep(f.upTo(6 * time.Second))
			_, _ = do(context.Background())
		})
	}
	if ctx.Err() != nil || f.chance(0.15) {
		<-ctx.Done()
		return none, coordination.NewError(coordination.KindUnknown, "the call was lost")
	}
	answer, err := do(ctx)
	if f.chance(0.15) {
		<-ctx.Done()
		return none, coordination.NewError(coordination.KindUnknown, "the answer was lost")
	}
	return answer, err
}

// call is through for calls without an answer.
func (f *faults) call(ctx context.Context, do func(ctx context.Context) error) error {
	_, err := through(ctx, f, func(ctx context.Context) (struct{}, error) { return struct{}{}, do(ctx) })
	return err
}

// driftClock runs rate times as fast as the machine.
type driftClock struct {
	origin time.Time
	rate   float64
}

func newDriftClock(rate float64) driftClock { return driftClock{time.Now(), rate} }

func (c driftClock) Now() time.Time {
	return c.origin.Add(time.Duration(float64(time.Since(c.origin)) * c.rate))
}

func (c driftClock) Every(period time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(time.Duration(float64(period) / c.rate))
	return t.C, t.Stop
}

func (c driftClock) After(delay time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(time.Duration(float64(delay) / c.rate))
	return t.C, func() { t.Stop() }
}

// underFaults runs the test in virtual time for each seed.
func underFaults(t *testing.T, run func(t *testing.T, f *faults)) {
	seeds, err := strconv.ParseUint(os.Getenv("CELERYARCH_SEEDS"), 10, 64)
	if err != nil {
		seeds = defaultSeeds
	}
	for seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFaults(seed)
				run(t, f)
				f.late.Wait()
			})
		})
	}
}

// repeat calls act with random pauses until the context ends.
func (f *faults) repeat(ctx context.Context, wg *sync.WaitGroup, pause time.Duration, act func()) {
	wg.Go(func() {
		for ctx.Err() == nil {
			act()
			time.Sleep(1 + f.upTo(pause))
		}
	})
}
