package cafault_test

import (
	"cmp"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	gocmp "github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Sizes and durations of the seeded runs.
const (
	zones, entriesPerZone, upstreamsPerZone = 2, 3, 5

	bootTime     = 12 * time.Second
	faultTime    = 40 * time.Second
	recoveryTime = 40 * time.Second
)

// seedsVariable is the environment variable that holds the number of seeds or a
// range "from-to".
const seedsVariable = "CELERYARCH_SEEDS"

// seedRange returns the range of seeds to run, 0 to 12 by default. The upper bound
// is exclusive.
func seedRange() (from, to uint64) {
	first, last, isRange := strings.Cut(os.Getenv(seedsVariable), "-")
	n, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return 0, 12
	}
	if !isRange {
		return 0, n
	}
	to, _ = strconv.ParseUint(last, 10, 64)
	return n, to
}

// referenceOwners computes the expected owners from the global state. It goes
// through all pairs of an upstream and a live entry of its zone by descending
// weight, and assigns the upstream if it has no owner yet and the entry has less
// than an even share.
func referenceOwners(w *world) map[cawork.UpstreamID]cawork.VMID {
	type pair struct {
		upstream, entry cawork.VMID
		zone            cawork.ZoneName
	}
	var pairs []pair
	upstreams, entries := map[cawork.ZoneName]int{}, map[cawork.ZoneName]int{}
	for _, p := range w.running() {
		if !p.draining {
			entries[p.zone]++
		}
	}
	for _, vm := range w.vms {
		if vm.State == caplatform.VMStateGone || vm.Role != caplatform.VMRoleUpstream {
			continue
		}
		upstreams[vm.Zone]++
		for _, p := range w.running() {
			if p.zone == vm.Zone && !p.draining {
				pairs = append(pairs, pair{vm.ID, p.vm, p.zone})
			}
		}
	}
	weight := func(p pair) uint64 { return xxhash.Sum64String(string(p.upstream) + "\x00" + string(p.entry)) }
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(weight(b), weight(a)) })
	owners, load := map[cawork.UpstreamID]cawork.VMID{}, map[cawork.VMID]int{}
	for _, p := range pairs {
		_, owned := owners[cawork.UpstreamID(p.upstream)]
		if !owned && load[p.entry]*entries[p.zone] < upstreams[p.zone] {
			owners[cawork.UpstreamID(p.upstream)] = p.entry
			load[p.entry]++
		}
	}
	return owners
}

func actualOwners(w *world) map[cawork.UpstreamID]cawork.VMID {
	owners := map[cawork.UpstreamID]cawork.VMID{}
	for _, p := range w.running() {
		for _, id := range p.owner.Owned() {
			if other, ok := owners[id]; ok {
				w.failures = append(w.failures, string(id)+" is owned by "+string(other)+" and "+string(p.vm))
			}
			owners[id] = p.vm
		}
	}
	return owners
}

// liveViews returns, by running entry, the members that it considers alive.
func liveViews(w *world) map[cawork.VMID][]cawork.VMID {
	all := map[cawork.VMID][]cawork.VMID{}
	for _, p := range w.running() {
		for _, m := range p.membership.Members() {
			if m.Liveness == camember.LivenessAlive {
				all[p.vm] = append(all[p.vm], m.VM)
			}
		}
	}
	return all
}

func actualLiveViews(w *world) map[cawork.VMID][]cawork.VMID {
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

// randomClockRate returns a clock rate whose deviation from an agent's clock is
// within the permitted drift.
func (w *world) randomClockRate() float64 {
	return 1 + (w.rng.Float64()*2-1)*w.ownerConfig.MaxDrift
}

// TestOwnershipUnderSeededFaults guards against two owners of an upstream, and
// against owners and member lists that do not converge after random faults.
func TestOwnershipUnderSeededFaults(t *testing.T) {
	from, to := seedRange()
	for seed := from; seed < to; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSeededFaults(t, seed) })
		})
	}
}

func runSeededFaults(t *testing.T, seed uint64) {
	w := newWorld(seed, zones, entriesPerZone, upstreamsPerZone)
	w.listEntries()
	for i := range w.processes {
		w.start(i, w.randomClockRate())
	}
	time.Sleep(bootTime)
	w.injectFaults(faultTime)
	w.endFaults()
	time.Sleep(recoveryTime)
	if diff := gocmp.Diff(referenceOwners(w), actualOwners(w)); diff != "" {
		t.Errorf("owners mismatch (-reference +actual):\n%s", diff)
	}
	if diff := gocmp.Diff(actualLiveViews(w), liveViews(w)); diff != "" {
		t.Errorf("members mismatch (-want +got):\n%s", diff)
	}
	w.stopSending()
	time.Sleep(maxMessageDelay)
	if missing := w.unreportedAttempts(); len(missing) > 0 {
		t.Errorf("attempts not reported by events:\n%s", strings.Join(missing, "\n"))
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
	if w.acceptedStarts == 0 {
		t.Error("no start was accepted")
	}
	t.Logf("%d starts accepted, %d refused", w.acceptedStarts, refused)
}
