package caspec

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

func TestZoneDrainsAreImmutable(t *testing.T) {
	var none ZoneDrains
	one := none.WithZone("b")
	two := one.WithZone("a").WithZone("b").WithPosition(7)
	back := two.WithoutZone("b").WithoutZone("none")
	got := [][]cawork.ZoneName{none.Zones, one.Zones, two.Zones, back.Zones}
	want := [][]cawork.ZoneName{nil, {"b"}, {"a", "b"}, {"a"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("zones (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]any{true, false, int64(7)}, []any{two.Contains("b"), back.Contains("b"), back.Position}); diff != "" {
		t.Errorf("drains (-want +got):\n%s", diff)
	}
}
