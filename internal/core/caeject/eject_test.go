package caeject_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caeject"
)

const maxUnhealthy = 5

func observeSuccesses(m *caeject.Monitor, now time.Time) {
	for i := range 200 {
		id := cawork.UpstreamID(fmt.Sprintf("u%d", i%20))
		m.Observe(caeject.Event{Upstream: id, Job: cawork.JobID(fmt.Sprintf("ok%d", i))}, maxUnhealthy, now)
	}
}

// TestFailingUpstreamIsEjectedAndRestored guards against an upstream that keeps
// failing tasks without being ejected, or stays ejected after a successful probe.
func TestFailingUpstreamIsEjectedAndRestored(t *testing.T) {
	m, now := caeject.NewMonitor(), time.Unix(0, 0)
	observeSuccesses(m, now)
	for i := range 10 {
		job := cawork.JobID(fmt.Sprintf("j%d", i))
		m.Observe(caeject.Event{Upstream: "faulty", Job: job, Failed: true}, maxUnhealthy, now)
	}
	want := []caeject.Transition{{Upstream: "faulty", State: caeject.StateEjected}}
	if diff := cmp.Diff(want, m.Transitions(now)); diff != "" {
		t.Fatalf("changes mismatch (-want +got):\n%s", diff)
	}
	now = now.Add(time.Minute)
	m.Transitions(now)
	m.Observe(caeject.Event{Upstream: "faulty", Job: "probe"}, maxUnhealthy, now)
	want = []caeject.Transition{{Upstream: "faulty", State: caeject.StateHealthy}}
	if diff := cmp.Diff(want, m.Transitions(now)); diff != "" {
		t.Errorf("changes after the trial mismatch (-want +got):\n%s", diff)
	}
}

// TestJobThatFailsEverywhereEjectsNoUpstream guards against ejections of healthy
// upstreams because of one job that fails on each of them.
func TestJobThatFailsEverywhereEjectsNoUpstream(t *testing.T) {
	m, now := caeject.NewMonitor(), time.Unix(0, 0)
	observeSuccesses(m, now)
	for i := range 400 {
		id := cawork.UpstreamID(fmt.Sprintf("u%d", i%20))
		m.Observe(caeject.Event{Upstream: id, Job: "bad", FailedElsewhere: min(i, 19), Failed: true}, maxUnhealthy, now)
	}
	if diff := cmp.Diff([]caeject.Transition(nil), m.Transitions(now)); diff != "" {
		t.Errorf("changes mismatch (-want +got):\n%s", diff)
	}
}

// TestEjectionsAreBounded guards against the loss of too much capacity when many
// upstreams fail at the same time.
func TestEjectionsAreBounded(t *testing.T) {
	m, now := caeject.NewMonitor(), time.Unix(0, 0)
	observeSuccesses(m, now)
	for i := range 200 {
		id := cawork.UpstreamID(fmt.Sprintf("faulty%d", i%10))
		job := cawork.JobID(fmt.Sprintf("j%d", i))
		m.Observe(caeject.Event{Upstream: id, Job: job, Failed: true}, maxUnhealthy, now)
	}
	if got := m.UnhealthyCount(); got == 0 || got > maxUnhealthy {
		t.Errorf("%d upstreams are ejected or on trial, want 1 to %d", got, maxUnhealthy)
	}
}
