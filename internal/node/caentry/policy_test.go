package caentry

import (
	"testing"
	"testing/fstest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

func TestRequestPolicyHasAllFieldsOfLookups(t *testing.T) {
	const cell = `{
  "zones": {"a": {"allowance_percent": 100}},
  "teams": {"knit": {"share": 2.5, "limit": {"processors": "unlimited", "memory": "unlimited", "accelerators": 0}}},
  "policy": {"lookup": {"queue_bound": 7, "max_attempts": 3, "placement": "pack", "aging": "250ms"}}
}`
	c, err := cacell.Load(fstest.MapFS{"1.json": {Data: []byte(cell)}})
	if err != nil {
		t.Fatal(err)
	}
	admission := caadmit.DefaultPolicy().WithAging(250 * time.Millisecond).
		WithTeam(caadmit.TeamPolicy{Team: "knit", Weight: 2.5, MaxQueued: 7})
	want := cadispatch.Policy{Admission: admission, MaxAttempts: 3, Placement: cawork.PlacementPack}
	if diff := cmp.Diff(want, requestPolicy(c)); diff != "" {
		t.Errorf("policy (-want +got):\n%s", diff)
	}
}

func TestSchedulerPolicyHasWaitBounds(t *testing.T) {
	const cell = `{
  "zones": {"a": {"allowance_percent": 100}},
  "teams": {"knit": {"share": 1, "limit": {"processors": "unlimited", "memory": "unlimited", "accelerators": 0}}},
  "policy": {"batch": {"wait_bound": "5m", "refuse_late": true}}
}`
	c, err := cacell.Load(fstest.MapFS{"1.json": {Data: []byte(cell)}})
	if err != nil {
		t.Fatal(err)
	}
	batch := schedulerPolicy(c).Kind(cawork.WorkKindBatch)
	if diff := cmp.Diff([]any{5 * time.Minute, true}, []any{batch.WaitBound, batch.RefuseLate}); diff != "" {
		t.Errorf("bounds (-want +got):\n%s", diff)
	}
}
