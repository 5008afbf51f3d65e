package cafault_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// faultKind is a kind of injected fault.
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
	faultKindCount
)

var faultNames = [...]string{
	"one-way cut", "agent cut", "pause", "kill", "restart", "zone cut", "loss", "slow", "list down", "agent down",
	"drain", "arrival", "leaving", "gone",
}

// injectFaults injects random faults for the duration d, often several at once.
// Temporary faults end by themselves.
func (w *world) injectFaults(d time.Duration) {
	end := time.Now().Add(d)
	start := time.Now()
	for time.Now().Before(end) {
		kind := faultKind(w.rng.IntN(int(faultKindCount)))
		duration := time.Duration(w.rng.Int64N(int64(10 * time.Second)))
		target := w.inject(kind, duration)
		w.faults = append(w.faults, fmt.Sprintf("%v: %s %s for %v", time.Since(start), faultNames[kind], target, duration))
		time.Sleep(time.Duration(w.rng.Int64N(int64(4 * time.Second))))
	}
}

// endFaults waits until temporary faults have ended and starts each entry that is
// down with a probability of 3/4.
func (w *world) endFaults() {
	time.Sleep(10 * time.Second)
	for i := range w.processes {
		if w.processes[i] == nil && w.rng.IntN(4) > 0 {
			w.start(i, w.randomClockRate())
		}
	}
}

func (w *world) randomEntry() string { return w.addresses[w.rng.IntN(len(w.addresses))] }

func (w *world) randomAgent() string {
	names := make([]string, 0, len(w.agents))
	for a := range w.agents {
		names = append(names, a)
	}
	slices.Sort(names)
	return names[w.rng.IntN(len(names))]
}

func (w *world) inject(kind faultKind, duration time.Duration) string {
	i := w.rng.IntN(len(w.addresses))
	entry := w.addresses[i]
	switch kind {
	case faultOneWayCut:
		return w.cutLinks([]link{{entry, w.randomEntry()}}, duration)
	case faultAgentCut:
		agent := w.randomAgent()
		cuts := [][]link{{{entry, agent}}, {{agent, entry}}, {{entry, agent}, {agent, entry}}}
		return w.cutLinks(cuts[w.rng.IntN(len(cuts))], duration)
	case faultPause:
		w.net.pause(entry)
		time.AfterFunc(duration, func() { w.net.resume(entry) })
		return entry
	case faultKill, faultRestart:
		w.kill(i)
		if kind == faultRestart {
			w.start(i, w.randomClockRate())
		}
		return entry
	case faultZoneCut:
		return w.cutLinks(w.linksBetweenZones(), duration)
	case faultAgentDown:
		agent := w.randomAgent()
		w.net.setDown(agent, true)
		time.AfterFunc(duration, func() { w.net.setDown(agent, w.isGone(agent)) })
		return agent
	case faultDrain:
		w.drain(i)
		return entry
	case faultArrival:
		address := fmt.Sprintf("u%s.%d", entry[1:2], len(w.agents))
		w.addUpstream(cawork.ZoneName("z"+entry[1:2]), address)
		return address
	case faultLeaving:
		agent := w.randomAgent()
		w.setVMState(cawork.VMID(agent), caplatform.VMStateLeaving)
		return agent
	case faultGone:
		agent := w.randomAgent()
		w.setVMState(cawork.VMID(agent), caplatform.VMStateGone)
		w.net.setDown(agent, true)
		return agent
	case faultListDown:
		w.setListDown(true)
		time.AfterFunc(duration, func() { w.setListDown(false) })
	case faultLoss:
		w.net.setConditions(conditions{
			drop: w.rng.Float64() / 2, duplicate: w.rng.Float64() / 2, minDelay: lan.minDelay, maxDelay: lan.maxDelay,
		}, duration)
	case faultSlow:
		w.net.setConditions(conditions{
			duplicate: w.rng.Float64() / 2, minDelay: time.Millisecond,
			maxDelay: time.Millisecond + time.Duration(w.rng.Int64N(int64(8*time.Second))),
		}, duration)
	}
	return ""
}

// drain makes entry i leave gracefully.
func (w *world) drain(i int) {
	p := w.processes[i]
	if p == nil {
		return
	}
	w.processes[i] = nil
	w.ended = append(w.ended, p)
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		p.membership.Leave(ctx)
		_ = p.owner.Drain(ctx)
		p.membership.Left(ctx)
		p.cancel()
		if w.net.membershipOf(p.address) == p.membership {
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

func (w *world) cutLinks(links []link, duration time.Duration) string {
	for _, l := range links {
		w.net.setCut(l.from, l.to, true)
	}
	time.AfterFunc(duration, func() {
		for _, l := range links {
			w.net.setCut(l.from, l.to, false)
		}
	})
	return fmt.Sprint(links)
}

// linksBetweenZones returns the links between entries of different zones.
func (w *world) linksBetweenZones() []link {
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

// setConditions sets the network conditions for the duration.
func (n *network) setConditions(c conditions, duration time.Duration) {
	set := func(c conditions) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conditions = c
	}
	set(c)
	time.AfterFunc(duration, func() { set(lan) })
}
