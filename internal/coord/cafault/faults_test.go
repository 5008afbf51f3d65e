package cafault_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// faultKind is one thing that goes wrong.
type faultKind int

const (
	faultOneWayCut faultKind = iota
	faultAgentCut
	faultPause
	faultKill
	faultRestart
	faultZoneCut
	faultLoss
	faultSlow
	faultListDown
	faultAgentDown
	faultDrain
	faultArrival
	faultLeaving
	faultGone
	faultKinds
)

var faultNames = [...]string{
	"one-way cut", "agent cut", "pause", "kill", "restart", "zone cut", "loss", "slow", "list down", "agent down",
	"drain", "arrival", "leaving", "gone",
}

// injectFaults brings about faults for the time, often two at once, each of
// which ends by itself.
func (w *world) injectFaults(d time.Duration) {
	end := time.Now().Add(d)
	began := time.Now()
	for time.Now().Before(end) {
		kind := faultKind(w.rng.IntN(int(faultKinds)))
		lasts := time.Duration(w.rng.Int64N(int64(10 * time.Second)))
		what := w.inject(kind, lasts)
		w.faults = append(w.faults, fmt.Sprintf("%v: %s %s for %v", time.Since(began), faultNames[kind], what, lasts))
		time.Sleep(time.Duration(w.rng.Int64N(int64(4 * time.Second))))
	}
}

// heal ends all faults and starts all entries that are down but one in four.
func (w *world) heal() {
	time.Sleep(10 * time.Second)
	for i := range w.processes {
		if w.processes[i] == nil && w.rng.IntN(4) > 0 {
			w.start(i, w.drift())
		}
	}
}

func (w *world) anyEntry() string { return w.addresses[w.rng.IntN(len(w.addresses))] }

func (w *world) anyAgent() string {
	names := make([]string, 0, len(w.agents))
	for a := range w.agents {
		names = append(names, a)
	}
	slices.Sort(names)
	return names[w.rng.IntN(len(names))]
}

func (w *world) inject(kind faultKind, lasts time.Duration) string {
	i := w.rng.IntN(len(w.addresses))
	entry := w.addresses[i]
	switch kind {
	case faultOneWayCut:
		return w.cutFor([]link{{entry, w.anyEntry()}}, lasts)
	case faultAgentCut:
		agent := w.anyAgent()
		cuts := [][]link{{{entry, agent}}, {{agent, entry}}, {{entry, agent}, {agent, entry}}}
		return w.cutFor(cuts[w.rng.IntN(len(cuts))], lasts)
	case faultPause:
		w.net.pause(entry)
		time.AfterFunc(lasts, func() { w.net.resume(entry) })
		return entry
	case faultKill, faultRestart:
		w.kill(i)
		if kind == faultRestart {
			w.start(i, w.drift())
		}
		return entry
	case faultZoneCut:
		return w.cutFor(w.betweenZones(), lasts)
	case faultAgentDown:
		agent := w.anyAgent()
		w.net.setDown(agent, true)
		time.AfterFunc(lasts, func() { w.net.setDown(agent, w.isGone(agent)) })
		return agent
	case faultDrain:
		w.drain(i)
		return entry
	case faultArrival:
		address := fmt.Sprintf("u%s.%d", entry[1:2], len(w.agents))
		w.addUpstream(cawork.ZoneName("z"+entry[1:2]), address)
		return address
	case faultLeaving:
		agent := w.anyAgent()
		w.setListed(cawork.VMID(agent), caplatform.VMStateLeaving)
		return agent
	case faultGone:
		agent := w.anyAgent()
		w.setListed(cawork.VMID(agent), caplatform.VMStateGone)
		w.net.setDown(agent, true)
		return agent
	case faultListDown:
		w.setListDown(true)
		time.AfterFunc(lasts, func() { w.setListDown(false) })
	case faultLoss:
		w.net.setConditions(conditions{
			drop: w.rng.Float64() / 2, duplicate: w.rng.Float64() / 2, minDelay: lan.minDelay, maxDelay: lan.maxDelay,
		}, lasts)
	case faultSlow:
		w.net.setConditions(conditions{
			duplicate: w.rng.Float64() / 2, minDelay: time.Millisecond,
			maxDelay: time.Millisecond + time.Duration(w.rng.Int64N(int64(8*time.Second))),
		}, lasts)
	}
	return ""
}

// drain makes entry i leave in good order.
func (w *world) drain(i int) {
	p := w.processes[i]
	if p == nil {
		return
	}
	w.processes[i] = nil
	w.ended = append(w.ended, p)
	p.open.Go(func() {
		limited, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		p.members.Leave(limited)
		_ = p.owner.Drain(limited)
		p.members.Left(limited)
		p.cancel()
		if w.net.part(p.address) == p.members {
			w.net.setDown(p.address, true)
		}
	})
}

func (w *world) isGone(agent string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.vms, func(vm caplatform.VM) bool {
		return string(vm.ID) == agent && vm.State == caplatform.VMStateGone
	})
}

func (w *world) cutFor(links []link, lasts time.Duration) string {
	for _, l := range links {
		w.net.setCut(l.from, l.to, true)
	}
	time.AfterFunc(lasts, func() {
		for _, l := range links {
			w.net.setCut(l.from, l.to, false)
		}
	})
	return fmt.Sprint(links)
}

// betweenZones returns the links between entries of different zones.
func (w *world) betweenZones() []link {
	var links []link
	for _, a := range w.addresses {
		for _, b := range w.addresses {
			if a[1] != b[1] {
				links = append(links, link{a, b})
			}
		}
	}
	return links
}

// setConditions changes the conditions for a while.
func (n *network) setConditions(c conditions, lasts time.Duration) {
	set := func(c conditions) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cond = c
	}
	set(c)
	time.AfterFunc(lasts, func() { set(lan) })
}
