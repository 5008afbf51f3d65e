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

// urgentStart is the time within which urgent tasks have to start, and therefore
// the longest time for which a planned handover may leave an upstream unowned.
const urgentStart = 2400 * time.Millisecond

// handoverStats records for how long each upstream had no owner during a handover,
// and when an owner changed last.
type handoverStats struct {
	unowned     map[cawork.UpstreamID]time.Duration
	owners      map[cawork.UpstreamID]cawork.VMID
	completedAt time.Duration
}

func newHandoverStats() *handoverStats {
	return &handoverStats{unowned: map[cawork.UpstreamID]time.Duration{}}
}

func (s *handoverStats) addSample(ids []cawork.UpstreamID, owners map[cawork.UpstreamID]cawork.VMID, now, step time.Duration) {
	for _, id := range ids {
		if _, ok := owners[id]; !ok {
			s.unowned[id] += step
		}
	}
	if s.owners != nil && !maps.Equal(s.owners, owners) {
		s.completedAt = now
	}
	s.owners = owners
}

// longestUnowned returns the longest time for which an upstream was unowned.
func (s *handoverStats) longestUnowned() time.Duration {
	longest := time.Duration(0)
	for _, d := range s.unowned {
		longest = max(longest, d)
	}
	return longest
}

func (s *handoverStats) String() string {
	total := time.Duration(0)
	for _, d := range s.unowned {
		total += d
	}
	mean := total / time.Duration(max(len(s.unowned), 1))
	return fmt.Sprintf("%d upstreams unowned for %v on average, %v at most, complete after %v",
		len(s.unowned), mean.Round(time.Millisecond), s.longestUnowned(), s.completedAt)
}

// handover is one zone that runs ownership by agents and ownership by the log side
// by side.
type handover struct {
	*world
	log       *claimLog
	ids       []cawork.UpstreamID
	logOwners map[*process]*logOwner
}

func newHandover(entries, upstreams int) *handover {
	h := &handover{
		world: newWorld(7, 1, entries, upstreams), log: &claimLog{latency: 5 * time.Millisecond},
		logOwners: map[*process]*logOwner{},
	}
	for _, vm := range h.vms {
		h.ids = append(h.ids, cawork.UpstreamID(vm.ID))
	}
	return h
}

func (h *handover) start(i int) {
	h.world.start(i, 1)
	p := h.processes[i]
	ctx, cancel := context.WithCancel(context.Background())
	cancelProcess := p.cancel
	p.cancel = func() { cancelProcess(); cancel() }
	h.logOwners[p] = startLogOwner(ctx, h.log, p, h.ids)
}

// observe samples the owners of both ways for the duration d.
func (h *handover) observe(d time.Duration) (agents, log *handoverStats) {
	const step = 10 * time.Millisecond
	agents, log = newHandoverStats(), newHandoverStats()
	for now := step; now <= d; now += step {
		time.Sleep(step)
		byAgent, byLog := map[cawork.UpstreamID]cawork.VMID{}, map[cawork.UpstreamID]cawork.VMID{}
		for _, p := range h.running() {
			for _, id := range p.owner.Owned() {
				byAgent[id] = p.vm
			}
			for _, id := range h.logOwners[p].owned() {
				byLog[id] = p.vm
			}
		}
		agents.addSample(h.ids, byAgent, now, step)
		log.addSample(h.ids, byLog, now, step)
	}
	return agents, log
}

func (h *handover) drain(t *testing.T, i int) {
	p := h.processes[i]
	p.draining = true
	h.logOwners[p].setDraining()
	p.wg.Go(func() {
		p.membership.Leave(context.Background())
		if err := p.owner.Drain(context.Background()); err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}

// TestHandoverByAgentsAndByLog guards against planned handovers that leave
// upstreams unowned for too long. It compares leases granted by agents with claims
// ordered by a log that is slow or down.
func TestHandoverByAgentsAndByLog(t *testing.T) {
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
		change  func(h *handover)
	}{
		{"drain", true, func(h *handover) { h.drain(t, 0) }},
		{"join", true, func(h *handover) { h.start(4) }},
		{"kill", false, func(h *handover) { h.kill(0) }},
	}
	for _, c := range changes {
		for _, l := range logs {
			t.Run(c.name+"/"+strings.ReplaceAll(l.name, " ", "_"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					h := newHandover(5, 40)
					for i := range 4 {
						h.start(i)
					}
					time.Sleep(bootTime)
					h.log.setConditions(l.latency, l.down)
					time.AfterFunc(time.Minute, func() { h.log.setConditions(l.latency, false) })
					c.change(h)
					observed := 15 * time.Second
					if l.down {
						observed = 70 * time.Second
					}
					byAgent, byLog := h.observe(observed)
					t.Logf("%s, %s:\n  agents: %v\n  log:    %v", c.name, l.name, byAgent, byLog)
					if len(byAgent.unowned) == 0 || c.planned && byAgent.longestUnowned() > urgentStart {
						t.Errorf("handover by agents: %v, want some unowned upstreams, and none for more than %v if planned", byAgent, urgentStart)
					}
					if l.down && byLog.completedAt <= byAgent.completedAt {
						t.Errorf("handover during an outage of the log: by agents %v, by log %v, want agents faster", byAgent, byLog)
					}
					if diff := cmp.Diff(referenceOwners(h.world), byAgent.owners); diff != "" {
						t.Errorf("owners mismatch (-reference +agents):\n%s", diff)
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

// Time limits for noticing upstreams that arrive and leave.
const (
	maxArrivalTime = 5 * time.Second
	maxLeavingTime = 3 * time.Second
)

func TestArrivingAndLeavingUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 3, 5)
		w.boot()
		w.addUpstream("z0", "new")
		time.Sleep(maxArrivalTime)
		if _, ok := actualOwners(w)["new"]; !ok {
			t.Errorf("the new upstream is not owned after %v", maxArrivalTime)
		}
		var gotLeaving [3]bool
		for i, p := range w.running() {
			sub := p.owner.Subscribe()
			go func() {
				for e := range sub.C {
					gotLeaving[i] = gotLeaving[i] || e.Kind == caowner.EventKindLeaving && e.Upstream == "new"
				}
			}()
		}
		w.setVMState("new", caplatform.VMStateLeaving)
		time.Sleep(maxLeavingTime)
		synctest.Wait()
		if diff := cmp.Diff([3]bool{true, true, true}, gotLeaving); diff != "" {
			t.Errorf("entries notified of the leaving upstream mismatch (-want +got):\n%s", diff)
		}
		if _, ok := actualOwners(w)["new"]; !ok {
			t.Error("the leaving upstream has no owner, want it owned while it runs tasks")
		}
		w.setVMState("new", caplatform.VMStateGone)
		time.Sleep(maxLeavingTime)
		if owner, ok := actualOwners(w)["new"]; ok {
			t.Errorf("the upstream is still owned by %s after it is gone", owner)
		}
		w.stop()
	})
}

func TestEntriesDiscoverEachOtherThroughTheListAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 4, 5)
		w.seedAddresses = []string{}
		w.listEntries()
		w.boot()
		if diff := cmp.Diff(actualLiveViews(w), liveViews(w)); diff != "" {
			t.Errorf("members mismatch (-want +got):\n%s", diff)
		}
		w.stop()
	})
}

// setVMState changes the state of a listed VM unless it is gone.
func (w *world) setVMState(id cawork.VMID, state caplatform.VMState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.vms {
		if w.vms[i].ID == id && w.vms[i].State != caplatform.VMStateGone {
			w.vms[i].State = state
		}
	}
}
