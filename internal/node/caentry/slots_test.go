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

// slotsTold is the time within which the entries have told one another their
// free slots.
const slotsTold = 20 * time.Second

// ownerOf returns the entry that owns the upstream, and its lease.
func (w *world) ownerOf(id cawork.UpstreamID) (string, caplatform.Epoch) {
	for _, name := range w.entryIDs() {
		if lease, ok := w.entries[name].entry.owner.Lease(id); ok {
			return name, lease.Epoch
		}
	}
	w.t.Fatalf("no entry owns %s", id)
	return "", 0
}

// freeSlots returns the free slots of the entries of zone 0, as they count
// them and as an entry of another zone was told.
func (w *world) freeSlots() []int {
	counted, told := 0, 0
	for _, name := range w.entryIDs() {
		if e := w.entries[name]; e.zone == zoneName(0) {
			counted += e.entry.dispatcher.FreeSlots()
		}
	}
	for _, m := range w.entries["e10"].entry.directory.Others() {
		if m.Zone == zoneName(0) {
			told += m.App.FreeSlots
		}
	}
	return []int{counted, told}
}

// An owner dies with all slots of an upstream in use. Until these requests end,
// its zone counts, and tells, so many free slots less.
func TestSlotsOfADeadOwnerAreCounted(t *testing.T) {
	inWorld(t, 1, func(w *world) {
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
		time.Sleep(slotsTold)
		all := upstreamsPerZone * slots
		if diff := cmp.Diff([]int{all - slots, all - slots}, w.freeSlots()); diff != "" {
			t.Errorf("free slots while they run, counted and told (-want +got):\n%s", diff)
		}
		requests.Wait()
		time.Sleep(slotsTold)
		if diff := cmp.Diff([]int{all, all}, w.freeSlots()); diff != "" {
			t.Errorf("free slots after they ended, counted and told (-want +got):\n%s", diff)
		}
	})
}
