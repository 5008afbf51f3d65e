package caentry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// slotReportTime is the time in which entries report their free slots to each
// other.
const slotReportTime = 20 * time.Second

// ownerOf returns the entry that owns the upstream and the epoch of its lease.
func (w *world) ownerOf(id cawork.UpstreamID) (string, caplatform.Epoch) {
	for _, name := range w.entryIDs() {
		if lease, ok := w.entries[name].entry.ownership.Lease(id); ok {
			return name, lease.Epoch
		}
	}
	w.t.Fatalf("no entry owns %s", id)
	return "", 0
}

// freeSlots returns the number of free slots of zone 0, as counted by its own
// entries and as reported to an entry of another zone.
func (w *world) freeSlots() []int {
	counted, reported := 0, 0
	for _, name := range w.entryIDs() {
		if e := w.entries[name]; e.zone == zoneName(0) {
			counted += e.entry.dispatcher.FreeSlots()
		}
	}
	for _, m := range w.entries["e10"].entry.directory.LivePeers() {
		if m.Zone == zoneName(0) {
			reported += m.App.FreeSlots
		}
	}
	return []int{counted, reported}
}

// TestSlotsOfADeadOwnerAreCounted guards against a zone that offers slots which
// are still in use. An owner is killed while requests use all slots of an
// upstream; until they end, the zone must count and report these slots as used.
func TestSlotsOfADeadOwnerAreCounted(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		const slots, requestTime = 8, time.Minute
		owner, epoch := w.ownerOf("u00")
		var requests sync.WaitGroup
		for i := range slots {
			r := httptest.NewRequest(http.MethodPost, caplatform.RequestPath,
				strings.NewReader(fmt.Sprintf(`{"sleep_ms": %d}`, requestTime.Milliseconds())))
			r.Header.Set(caplatform.HeaderEpoch, strconv.FormatInt(int64(epoch), 10))
			r.Header.Set(caplatform.HeaderAttempt, fmt.Sprint("former-", i))
			requests.Go(func() { w.upstreams["u00"].ServeHTTP(httptest.NewRecorder(), r) })
		}
		w.kill(owner)
		time.Sleep(slotReportTime)
		total := upstreamsPerZone * slots
		if diff := cmp.Diff([]int{total - slots, total - slots}, w.freeSlots()); diff != "" {
			t.Errorf("free slots while requests run, counted and reported (-want +got):\n%s", diff)
		}
		requests.Wait()
		time.Sleep(slotReportTime)
		if diff := cmp.Diff([]int{total, total}, w.freeSlots()); diff != "" {
			t.Errorf("free slots after requests ended, counted and reported (-want +got):\n%s", diff)
		}
	})
}
