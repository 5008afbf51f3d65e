package cafollow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

func TestOffersTakeTurns(t *testing.T) {
	now := time.Unix(0, 0)
	b := newOfferBook()
	b.note(Offer{VM: "old", Version: 9}, now.Add(-time.Hour))
	for _, o := range []Offer{{VM: "a", Version: 3}, {VM: "b", Version: 4}, {VM: "c", Version: 3}, {VM: "low", Version: 2}} {
		b.note(o, now)
	}
	var asked []cawork.VMID
	for range 2 {
		b.startPeriod(now)
		for {
			o, ok := b.next(3)
			if !ok {
				break
			}
			asked = append(asked, o.VM)
			b.note(o, now)
		}
	}
	if diff := cmp.Diff([]cawork.VMID{"b", "a", "c", "b", "a", "c"}, asked); diff != "" {
		t.Error(diff)
	}
}
