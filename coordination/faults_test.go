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
	// faultDuration is the virtual time with faults, recoveryDuration the
	// virtual time without faults after it.
	faultDuration    = 60 * time.Second
	recoveryDuration = 40 * time.Second
	// defaultSeeds is the number of seeds if CELERYARCH_SEEDS is not set.
	defaultSeeds = 8
)

// faults injects faults into calls: it delays them, loses them or their answers,
// and repeats them later.
type faults struct {
	mu         sync.Mutex
	rng        *rand.Rand
	stopped    bool
	background sync.WaitGroup
}

func newFaults(seed uint64) *faults { return &faults{rng: rand.New(rand.NewPCG(seed, 7))} }

func (f *faults) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.stopped && f.rng.Float64() < p
}

func (f *faults) randomDelay(d time.Duration) time.Duration {
	return time.Duration(f.randomInt(int64(d)))
}

func (f *faults) randomInt(n int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Int64N(n)
}

func (f *faults) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
}

// withFaults makes the call after a random delay, unless it loses the call. It
// may also lose the answer and repeat the call later.
func withFaults[T any](ctx context.Context, f *faults, call func(ctx context.Context) (T, error)) (T, error) {
	var none T
	time.Sleep(f.randomDelay(20 * time.Millisecond))
	if f.chance(0.1) {
		f.background.Go(func() {
			time.Sleep(f.randomDelay(6 * time.Second))
			_, _ = call(context.Background())
		})
	}
	if ctx.Err() != nil || f.chance(0.15) {
		<-ctx.Done()
		return none, coordination.NewError(coordination.KindUnknown, "the call was lost")
	}
	answer, err := call(ctx)
	if f.chance(0.15) {
		<-ctx.Done()
		return none, coordination.NewError(coordination.KindUnknown, "the answer was lost")
	}
	return answer, err
}

// callWithFaults is withFaults for calls that return only an error.
func (f *faults) callWithFaults(ctx context.Context, call func(ctx context.Context) error) error {
	_, err := withFaults(ctx, f, func(ctx context.Context) (struct{}, error) { return struct{}{}, call(ctx) })
	return err
}

// driftClock runs rate times as fast as the machine's clock.
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

// forEachSeed runs a subtest in virtual time for each seed.
func forEachSeed(t *testing.T, run func(t *testing.T, f *faults)) {
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
				f.background.Wait()
			})
		})
	}
}

// repeat calls action with random pauses until the context ends.
func (f *faults) repeat(ctx context.Context, wg *sync.WaitGroup, pause time.Duration, action func()) {
	wg.Go(func() {
		for ctx.Err() == nil {
			action()
			time.Sleep(1 + f.randomDelay(pause))
		}
	})
}
