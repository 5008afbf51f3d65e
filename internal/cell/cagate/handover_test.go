package cagate

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/platform/standin"
)

// checkOrders checks that each run was ordered once, and that at no upstream an
// order of an earlier leader arrived behind one of a later leader.
func (w *world) checkOrders() {
	w.t.Helper()
	seen := make(map[caboard.RunID]standin.Order)
	newest := make(map[cawork.UpstreamID]int64)
	for _, o := range w.fleet.Orders() {
		if first, twice := seen[o.Run]; twice {
			w.t.Errorf("run %+v was ordered by %s under token %d and by %s under token %d", o.Run, first.Caller, first.Token, o.Caller, o.Token)
		}
		seen[o.Run] = o
		if o.Token < newest[o.Upstream] {
			w.t.Errorf("run %+v was ordered under token %d after one under token %d", o.Run, o.Token, newest[o.Upstream])
		}
		newest[o.Upstream] = max(newest[o.Upstream], o.Token)
	}
	if len(newest) == 0 {
		w.t.Error("nothing was ordered")
	}
}

// TestOrdersAtAHandOver looks at each order while the lead goes from one entry to
// another, under load, in each way that it can.
func TestOrdersAtAHandOver(t *testing.T) {
	ways := map[string]func(w *world, old string){
		"drained": func(w *world, old string) { w.gates()[old].Drain() },
		"killed":  func(w *world, old string) { w.kill(old) },
		"cut from its peers": func(w *world, old string) {
			for name := range w.gates() {
				if name != old {
					w.network.Cut(old, name, true)
				}
			}
		},
		"turned away by the store": func(w *world, old string) {
			w.failStoreFor(old, standin.FaultSilent)
		},
		"answers of the store come late": func(w *world, old string) {
			w.failStoreFor(old, standin.FaultLate)
		},
		"all connections end": func(w *world, _ string) {
			for name := range w.gates() {
				w.network.Reset(name)
			}
		},
	}
	for name, change := range ways {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 4, func(_ *testing.T, w *world) {
				for range 3 {
					w.load(1500 * time.Millisecond)
					old := w.leader()
					if old == "" {
						continue
					}
					change(w, old)
					w.load(2 * time.Second)
					for other := range w.gates() {
						w.network.Cut(old, other, false)
					}
					w.mendStore()
					if _, runs := w.gates()[old]; !runs {
						w.start(old)
					}
				}
				w.load(time.Second)
				w.checkOrders()
			})
		})
	}
}

// panickingAdvisor panics at the first questions.
type panickingAdvisor struct {
	standin.Advisor
	left *atomic.Int32
}

// Advise implements caleader.Advisor.
func (a panickingAdvisor) Advise(ctx context.Context, ask caboard.Ask) ([]caboard.Approval, error) {
	if a.left.Add(-1) >= 0 {
		panic("an answer that nobody expected")
	}
	return a.Advisor.Advise(ctx, ask)
}

// TestPanicsEndNoProcess lets the code that reads answers of the platform panic, in
// the leader and in the entries that it asks. All jobs are done in the end.
func TestPanicsEndNoProcess(t *testing.T) {
	inWorld(t, 3, func(_ *testing.T, w *world) {
		w.load(time.Second)
		var left atomic.Int32
		for range 3 {
			left.Store(2)
			for name := range w.gates() {
				w.kill(name)
			}
			w.advisor = panickingAdvisor{standin.Advisor{Takes: 5 * time.Millisecond}, &left}
			for i := range 3 {
				w.start(entryName(i))
			}
			w.load(3 * time.Second)
		}
		if n := left.Load(); n >= 0 {
			w.t.Errorf("%d panics are left", n)
		}
	})
}

// TestAllFollowSoonWhenTheLeaderGoesSilent takes the power of the leader away: it
// refuses no connection, and nobody is told. All others follow the next one soon.
func TestAllFollowSoonWhenTheLeaderGoesSilent(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		w.load(2 * time.Second)
		old := w.leader()
		w.failStoreFor(old, standin.FaultSilent)
		for name := range w.gates() {
			if name != old {
				w.network.Cut(old, name, true)
			}
		}
		lost := time.Now()
		follow := func() bool {
			for name, gate := range w.gates() {
				if name == old {
					continue
				}
				leader, at, _ := gate.links[0].target()
				if leader == nil && (at.VM == cawork.VMID(old) || at.VM == "") {
					return false
				}
			}
			return true
		}
		for !follow() && time.Since(lost) < 10*time.Second {
			w.submit()
			time.Sleep(20 * time.Millisecond)
		}
		if took := time.Since(lost); took > 1500*time.Millisecond {
			t.Errorf("all others followed the next leader after %v, want within 1.5 s", took)
		}
		for name := range w.gates() {
			w.network.Cut(old, name, false)
		}
		w.mendStore()
		w.load(time.Second)
	})
}

// TestLeaderStepsBackWhenTheStoreTurnsItAway lets the store refuse the leader and serve
// the others, who do not have to wait until the leader has been silent for long.
func TestLeaderStepsBackWhenTheStoreTurnsItAway(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		w.load(2 * time.Second)
		old := w.leader()
		w.failStoreFor(old, standin.FaultDown)
		began := time.Now()
		others := func() string {
			for name, gate := range w.gates() {
				if l, _, _ := gate.links[0].target(); l != nil && name != old {
					return name
				}
			}
			return ""
		}
		for others() == "" && time.Since(began) < 5*time.Second {
			w.submit()
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > 800*time.Millisecond {
			t.Errorf("another entry led after %v, want within 0.8 s", took)
		}
		w.load(time.Second)
		w.mendStore()
		w.load(time.Second)
		w.checkOrders()
	})
}
