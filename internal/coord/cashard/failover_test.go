package cashard_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// logArbiter orders changes of view by the platform's log instead of registers
// at upstreams. A read takes one call of the log; a swap takes two, an append
// and a read.
type logArbiter struct {
	mu        sync.Mutex
	latency   time.Duration
	down      bool
	registers map[string]caplatform.Register
}

func (a *logArbiter) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

func (a *logArbiter) call() error {
	time.Sleep(a.latency)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return cakind.New(cakind.KindUnavailable, "log is down")
	}
	return nil
}

func (a *logArbiter) read(name string) (caplatform.Register, error) {
	if err := a.call(); err != nil {
		return caplatform.Register{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.registers[name], nil
}

func (a *logArbiter) swap(s caplatform.RegisterSwap) (caplatform.Register, error) {
	if err := a.call(); err != nil {
		return caplatform.Register{}, err
	}
	a.mu.Lock()
	current := a.registers[s.Name]
	if current.Version == s.Expected {
		current = caplatform.Register{Version: current.Version + 1, Value: s.Value}
		a.registers[s.Name] = current
	}
	a.mu.Unlock()
	return current, a.call()
}

// measurementTime is how long each run looks for a primary after the kill. A gap
// of this length means that the shard was not led again.
const measurementTime = 20 * time.Second

// measureGaps returns how long a shard had no primary that may act, separately
// for runs that kill its primary and for runs that kill its backup.
func measureGaps(t *testing.T, newArbiter func() *logArbiter, down bool) (primary, backup []time.Duration) {
	for run := range 20 {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, uint64(run))
			w.arbiter = newArbiter()
			w.noDrivers = true
			ctx, cancel := context.WithCancel(context.Background())
			defer func() {
				cancel()
				for _, n := range w.nodes {
					<-n.part.Done()
				}
				time.Sleep(10 * time.Second)
			}()
			w.startNodes(ctx, 4, 3)
			time.Sleep(5*time.Second + time.Duration(run/2*37)*time.Millisecond)
			if w.arbiter != nil {
				w.arbiter.setDown(down)
			}
			killed := w.nodes[run%2]
			killed.kill()
			gap := w.longestGap("s-e0-0")
			if run%2 == 0 {
				primary = append(primary, gap)
			} else {
				backup = append(backup, gap)
			}
		})
	}
	return primary, backup
}

// longestGap returns the longest time without a primary within measurementTime
// from now.
func (w *world) longestGap(s string) time.Duration {
	longest, since := time.Duration(0), time.Now()
	for end := time.Now().Add(measurementTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if w.isLed(s) {
			longest = max(longest, time.Since(since))
			since = time.Now()
		}
	}
	return max(longest, time.Since(since))
}

func (w *world) isLed(s string) bool {
	for _, n := range w.nodes {
		if n.isDead() {
			continue
		}
		if _, ok := n.part.MayAct(shardID(s)); ok {
			return true
		}
	}
	return false
}

// TestTimeWithoutPrimary measures in virtual time how long a shard has no
// primary after a kill. With registers at upstreams a shard is led again whether
// the log is up or down; with the log as the arbiter it needs the log.
func TestTimeWithoutPrimary(t *testing.T) {
	withoutLog := func() *logArbiter { return nil }
	withLog := func() *logArbiter {
		return &logArbiter{latency: 50 * time.Millisecond, registers: map[string]caplatform.Register{}}
	}
	for _, c := range []struct {
		name       string
		newArbiter func() *logArbiter
		down       bool
		recovers   bool
	}{
		{"registers, log up or down", withoutLog, false, true},
		{"log with latency of 50 ms", withLog, false, true},
		{"log down", withLog, true, false},
	} {
		primary, backup := measureGaps(t, c.newArbiter, c.down)
		t.Logf("%-28s primary lost: %s; backup lost: %s", c.name, summarize(primary), summarize(backup))
		if recovered := slices.Max(primary) < measurementTime; recovered != c.recovers {
			t.Errorf("%s: shard is led again within %v: %v, want %v", c.name, measurementTime, recovered, c.recovers)
		}
	}
}

func summarize(d []time.Duration) string {
	slices.Sort(d)
	return fmt.Sprintf("median %v, longest %v", d[len(d)/2].Round(time.Millisecond), d[len(d)-1].Round(time.Millisecond))
}
