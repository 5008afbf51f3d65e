package cafault_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Sizes and times of the seeded runs.
const (
	zones, entriesPerZone, upstreamsPerZone = 2, 3, 5

	bootTime  = 12 * time.Second
	faultTime = 40 * time.Second
	quietTime = 40 * time.Second
)

// seedsVariable names the environment variable with the number of seeds, or a
// range "from-to".
const seedsVariable = "CELERYARCH_SEEDS"

// seeds returns the seeds of a run: a fixed few, or those of the environment.
func seeds() (from, to uint64) {
	first, last, ranged := strings.Cut(os.Getenv(seedsVariable), "-")
	n, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return 0, 12
	}
	if !ranged {
		return 0, n
	}
	to, _ = strconv.ParseUint(last, 10, 64)
	return n, to
}

// naiveOwners is what one process that knows all decides: for each upstream
// the live entry of its zone with the highest weight.
func naiveOwners(w *world) map[cawork.UpstreamID]cawork.VMID {
	owners := map[cawork.UpstreamID]cawork.VMID{}
	for _, vm := range w.vms {
		if vm.State == caplatform.VMStateGone || vm.Role != caplatform.VMRoleUpstream {
			continue
		}
		best := uint64(0)
		for _, p := range w.running() {
			if p.zone != vm.Zone || p.draining {
				continue
			}
			if weight := xxhash.Sum64String(string(vm.ID) + "\x00" + string(p.vm)); weight >= best {
				best, owners[cawork.UpstreamID(vm.ID)] = weight, p.vm
			}
		}
	}
	return owners
}

func actualOwners(w *world) map[cawork.UpstreamID]cawork.VMID {
	owners := map[cawork.UpstreamID]cawork.VMID{}
	for _, p := range w.running() {
		for _, id := range p.owner.Owned() {
			if other, ok := owners[id]; ok {
				w.broken = append(w.broken, string(id)+" is owned by "+string(other)+" and "+string(p.vm))
			}
			owners[id] = p.vm
		}
	}
	return owners
}

// views returns whom each live entry takes for live.
func views(w *world) map[cawork.VMID][]cawork.VMID {
	all := map[cawork.VMID][]cawork.VMID{}
	for _, p := range w.running() {
		for _, m := range p.members.Members() {
			if m.Liveness == camember.LivenessAlive {
				all[p.vm] = append(all[p.vm], m.VM)
			}
		}
	}
	return all
}

func trueViews(w *world) map[cawork.VMID][]cawork.VMID {
	var live []cawork.VMID
	for _, p := range w.running() {
		live = append(live, p.vm)
	}
	all := map[cawork.VMID][]cawork.VMID{}
	for _, vm := range live {
		all[vm] = live
	}
	return all
}

// drift returns a clock rate that together with that of an agent stays within
// the permitted drift.
func (w *world) drift() float64 {
	return 1 + (w.rng.Float64()*2-1)*w.owner.MaxDrift
}

func TestOwnershipUnderSeededFaults(t *testing.T) {
	from, to := seeds()
	for seed := from; seed < to; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	w := newWorld(seed, zones, entriesPerZone, upstreamsPerZone)
	w.listEntries()
	for i := range w.processes {
		w.start(i, w.drift())
	}
	time.Sleep(bootTime)
	w.injectFaults(faultTime)
	w.heal()
	time.Sleep(quietTime)
	if diff := cmp.Diff(naiveOwners(w), actualOwners(w)); diff != "" {
		t.Errorf("owners mismatch (-naive +parts):\n%s", diff)
	}
	if diff := cmp.Diff(trueViews(w), views(w)); diff != "" {
		t.Errorf("members mismatch (-want +got):\n%s", diff)
	}
	w.setQuiet()
	time.Sleep(inFlight)
	if missing := w.unadopted(); len(missing) > 0 {
		t.Errorf("attempts that were not adopted:\n%s", strings.Join(missing, "\n"))
	}
	w.stop()
	if v := w.violations(); len(v) > 0 {
		t.Errorf("violations:\n%s\nfaults:\n%s", strings.Join(v, "\n"), strings.Join(w.faults, "\n"))
	}
	if t.Failed() {
		t.Logf("faults:\n%s", strings.Join(w.faults, "\n"))
	}
	refused := 0
	for _, a := range w.agents {
		refused += a.refused
	}
	if w.accepted == 0 {
		t.Error("no start was accepted")
	}
	t.Logf("%d starts accepted, %d refused", w.accepted, refused)
}
