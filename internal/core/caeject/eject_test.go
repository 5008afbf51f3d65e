package caeject_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caeject"
)

const limit = 5

func healthy(m *caeject.Monitor, now time.Time) {
	for i := range 200 {
		id := cawork.UpstreamID(fmt.Sprintf("u%d", i%20))
		m.Observe(caeject.Event{Upstream: id, Job: cawork.JobID(fmt.Sprintf("ok%d", i))}, limit, now)
	}
}

func TestUpstreamThatFailsEverythingIsEjectedAndRestored(t *testing.T) {
	m, now := caeject.NewMonitor(), time.Unix(0, 0)
	healthy(m, now)
	for i := range 10 {
		job := cawork.JobID(fmt.Sprintf("j%d", i))
		m.Observe(caeject.Event{Upstream: "sick", Job: job, Failed: true}, limit, now)
	}
	want := []caeject.Change{{Upstream: "sick", State: caeject.StateEjected}}
	if diff := cmp.Diff(want, m.Changes(now)); diff != "" {
		t.Fatalf("changes mismatch (-want +got):\n%s", diff)
	}
	now = now.Add(time.Minute)
	m.Changes(now)
	m.Observe(caeject.Event{Upstream: "sick", Job: "probe"}, limit, now)
	want = []caeject.Change{{Upstream: "sick", State: caeject.StateTrusted}}
	if diff := cmp.Diff(want, m.Changes(now)); diff != "" {
		t.Errorf("changes after the trial mismatch (-want +got):\n%s", diff)
	}
}

func TestBadJobEjectsNothing(t *testing.T) {
	m, now := caeject.NewMonitor(), time.Unix(0, 0)
	healthy(m, now)
	for i := range 400 {
		id := cawork.UpstreamID(fmt.Sprintf("u%d", i%20))
		m.Observe(caeject.Event{Upstream: id, Job: "bad", FailedElsewhere: min(i, 19), Failed: true}, limit, now)
	}
	if diff := cmp.Diff([]caeject.Change(nil), m.Changes(now)); diff != "" {
		t.Errorf("changes mismatch (-want +got):\n%s", diff)
	}
}

func TestEjectionsAreBounded(t *testing.T) {
	m, now := caeject.NewMonitor(), time.Unix(0, 0)
	healthy(m, now)
	for i := range 200 {
		id := cawork.UpstreamID(fmt.Sprintf("sick%d", i%10))
		job := cawork.JobID(fmt.Sprintf("j%d", i))
		m.Observe(caeject.Event{Upstream: id, Job: job, Failed: true}, limit, now)
	}
	if got := m.Ejected(); got == 0 || got > limit {
		t.Errorf("%d upstreams are ejected, want 1 to %d", got, limit)
	}
}
