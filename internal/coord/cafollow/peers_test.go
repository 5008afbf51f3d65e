package cafollow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// TestPeersAreFetchedFromInTurn guards against fetching from the same failing
// peer in every period.
func TestPeersAreFetchedFromInTurn(t *testing.T) {
	now := time.Unix(0, 0)
	b := newPeerTable()
	b.observe(Offer{VM: "old", Version: 9}, now.Add(-time.Hour))
	for _, o := range []Offer{{VM: "a", Version: 3}, {VM: "b", Version: 4}, {VM: "c", Version: 3}, {VM: "low", Version: 2}} {
		b.observe(o, now)
	}
	var picked []cawork.VMID
	for range 2 {
		b.startPeriod(now)
		for {
			o, ok := b.pick(3)
			if !ok {
				break
			}
			picked = append(picked, o.VM)
			b.observe(o, now)
		}
	}
	if diff := cmp.Diff([]cawork.VMID{"b", "a", "c", "b", "a", "c"}, picked); diff != "" {
		t.Error(diff)
	}
}
