package cafault_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// urgentStart is the time within which urgent work has to start, and with it
// the longest time for which a planned change may leave an upstream unowned.
const urgentStart = 2400 * time.Millisecond

// course is the course of a hand-over: for how long nobody owned an upstream,
// and when an owner changed last.
type course struct {
	unowned  map[cawork.UpstreamID]time.Duration
	owners   map[cawork.UpstreamID]cawork.VMID
	complete time.Duration
}

func newCourse() *course { return &course{unowned: map[cawork.UpstreamID]time.Duration{}} }

func (c *course) add(ids []cawork.UpstreamID, owners map[cawork.UpstreamID]cawork.VMID, now, step time.Duration) {
	for _, id := range ids {
		if _, ok := owners[id]; !ok {
			c.unowned[id] += step
		}
	}
	if c.owners != nil && !maps.Equal(c.owners, owners) {
		c.complete = now
	}
	c.owners = owners
}

// longest returns the longest time for which an upstream was unowned.
func (c *course) longest() time.Duration {
	longest := time.Duration(0)
	for _, d := range c.unowned {
		longest = max(longest, d)
	}
	return longest
}

func (c *course) String() string {
	total := time.Duration(0)
	for _, d := range c.unowned {
		total += d
	}
	mean := total / time.Duration(max(len(c.unowned), 1))
	return fmt.Sprintf("%d unowned for %v on average, %v at most, complete after %v",
		len(c.unowned), mean.Round(time.Millisecond), c.longest(), c.complete)
}

// handOver is one zone in which both ways of ownership run side by side.
type handOver struct {
	*world
	log    *claimLog
	ids    []cawork.UpstreamID
	owners map[*process]*logOwner
}

func newHandOver(entries, upstreams int) *handOver {
	h := &handOver{
		world: newWorld(7, 1, entries, upstreams), log: &claimLog{latency: 5 * time.Millisecond},
		owners: map[*process]*logOwner{},
	}
	for _, vm := range h.vms {
		h.ids = append(h.ids, cawork.UpstreamID(vm.ID))
	}
	return h
}

func (h *handOver) start(i int) {
	h.world.start(i, 1)
	p := h.processes[i]
	ctx, cancel := context.WithCancel(context.Background())
	stop := p.cancel
	p.cancel = func() { stop(); cancel() }
	h.owners[p] = startLogOwner(ctx, h.log, p, h.ids)
}

// watch follows both ways for the time.
func (h *handOver) watch(d time.Duration) (agents, log *course) {
	const step = 10 * time.Millisecond
	agents, log = newCourse(), newCourse()
	for now := step; now <= d; now += step {
		time.Sleep(step)
		byAgent, byLog := map[cawork.UpstreamID]cawork.VMID{}, map[cawork.UpstreamID]cawork.VMID{}
		for _, p := range h.running() {
			for _, id := range p.owner.Owned() {
				byAgent[id] = p.vm
			}
			for _, id := range h.owners[p].owned() {
				byLog[id] = p.vm
			}
		}
		agents.add(h.ids, byAgent, now, step)
		log.add(h.ids, byLog, now, step)
	}
	return agents, log
}

func (h *handOver) drain(t *testing.T, i int) {
	p := h.processes[i]
	p.draining = true
	h.owners[p].setDrain()
	p.open.Go(func() {
		p.members.Leave(context.Background())
		if err := p.owner.Drain(context.Background()); err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}

func TestHandOverByAgentsAndByLog(t *testing.T) {
	logs := []struct {
		name    string
		latency time.Duration
		down    bool
	}{
		{"log 5 ms", 5 * time.Millisecond, false},
		{"log 500 ms", 500 * time.Millisecond, false},
		{"log down for 60 s", 5 * time.Millisecond, true},
	}
	changes := []struct {
		name    string
		planned bool
		change  func(h *handOver)
	}{
		{"drain", true, func(h *handOver) { h.drain(t, 0) }},
		{"join", true, func(h *handOver) { h.start(4) }},
		{"kill", false, func(h *handOver) { h.kill(0) }},
	}
	for _, c := range changes {
		for _, l := range logs {
			t.Run(c.name+"/"+strings.ReplaceAll(l.name, " ", "_"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					h := newHandOver(5, 40)
					for i := range 4 {
						h.start(i)
					}
					time.Sleep(bootTime)
					h.log.set(l.latency, l.down)
					time.AfterFunc(time.Minute, func() { h.log.set(l.latency, false) })
					c.change(h)
					watched := 15 * time.Second
					if l.down {
						watched = 70 * time.Second
					}
					byAgent, byLog := h.watch(watched)
					t.Logf("%s, %s:\n  agents: %v\n  log:    %v", c.name, l.name, byAgent, byLog)
					if len(byAgent.unowned) == 0 || c.planned && byAgent.longest() > urgentStart {
						t.Errorf("hand-over by agents: %v, want none unowned for more than %v", byAgent, urgentStart)
					}
					if l.down && byLog.complete <= byAgent.complete {
						t.Errorf("hand-over in an outage of the log: by agents %v, by the log %v", byAgent, byLog)
					}
					if diff := cmp.Diff(naiveOwners(h.world), byAgent.owners); diff != "" {
						t.Errorf("owners mismatch (-naive +agents):\n%s", diff)
					}
					h.stop()
					if v := h.violations(); len(v) > 0 {
						t.Errorf("violations:\n%s", strings.Join(v, "\n"))
					}
				})
			})
		}
	}
}

// Bounds of the promises about upstreams that arrive and leave.
const (
	arrivalBound = 5 * time.Second
	leavingBound = 3 * time.Second
)

func TestArrivingAndLeavingUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 3, 5)
		w.boot()
		w.addUpstream("z0", "new")
		time.Sleep(arrivalBound)
		if _, ok := actualOwners(w)["new"]; !ok {
			t.Errorf("the new upstream is not owned after %v", arrivalBound)
		}
		var leaving [3]bool
		for i, p := range w.running() {
			sub := p.owner.Subscribe()
			go func() {
				for e := range sub.C {
					leaving[i] = leaving[i] || e.Kind == caowner.EventKindLeaving && e.Upstream == "new"
				}
			}()
		}
		w.setListed("new", caplatform.VMStateLeaving)
		time.Sleep(leavingBound)
		synctest.Wait()
		if diff := cmp.Diff([3]bool{true, true, true}, leaving); diff != "" {
			t.Errorf("entries told of the leaving upstream mismatch (-want +got):\n%s", diff)
		}
		if _, ok := actualOwners(w)["new"]; !ok {
			t.Error("a leaving upstream must stay owned while it runs tasks")
		}
		w.setListed("new", caplatform.VMStateGone)
		time.Sleep(leavingBound)
		if owner, ok := actualOwners(w)["new"]; ok {
			t.Errorf("the gone upstream is owned by %s", owner)
		}
		w.stop()
	})
}

func TestEntriesFindOneAnotherThroughTheListAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 4, 5)
		w.seeds = []string{}
		w.listEntries()
		w.boot()
		if diff := cmp.Diff(trueViews(w), views(w)); diff != "" {
			t.Errorf("members mismatch (-want +got):\n%s", diff)
		}
		w.stop()
	})
}

// setListed changes the state of a listed VM. Gone is final.
func (w *world) setListed(id cawork.VMID, state caplatform.VMState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.vms {
		if w.vms[i].ID == id && w.vms[i].State != caplatform.VMStateGone {
			w.vms[i].State = state
		}
	}
}
