package castandup_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/standin/castandup"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newFixture() (*clock, *castandup.Upstream) {
	c := &clock{now: time.Unix(1000, 0)}
	vm := caplatform.VM{ID: "u1", Slots: 8, Capacity: cawork.Resources{CPU: cawork.Cores(2), Memory: cawork.GiB}}
	return c, castandup.NewUpstream(c.Now, vm)
}

func claim(t *testing.T, u *castandup.Upstream, holder cawork.VMID) caplatform.ClaimResult {
	t.Helper()
	result, err := u.Claim(context.Background(), caplatform.Claim{Holder: holder, TTL: 3 * time.Second})
	if err != nil {
		t.Fatalf("Claim: %v", err)
	}
	return result
}

func start(attempt cawork.AttemptID, epoch caplatform.Epoch) caplatform.Start {
	size := cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.MiB}
	task := cawork.TaskRef{Job: "j", Index: 0}
	return caplatform.Start{Epoch: epoch, Shard: "s", View: 1, Attempt: attempt, Task: task, Kind: cawork.WorkKindService, Size: size, TTL: 15 * time.Second}
}

func TestLateStartOfFormerOwnerIsFenced(t *testing.T) {
	c, u := newFixture()
	first := claim(t, u, "a")
	if second := claim(t, u, "b"); second.Granted {
		t.Fatal("a second holder was granted a held lease")
	}
	c.now = c.now.Add(4 * time.Second)
	second := claim(t, u, "b")
	if diff := cmp.Diff(first.Ownership.Epoch+1, second.Ownership.Epoch); diff != "" {
		t.Errorf("epoch mismatch (-want +got):\n%s", diff)
	}
	_, err := u.Start(context.Background(), start("x", first.Ownership.Epoch))
	if diff := cmp.Diff(cakind.KindFenced, cakind.Of(err)); diff != "" {
		t.Errorf("late start mismatch (-want +got):\n%s", diff)
	}
}

func TestTaskLapsesWithoutHeartbeat(t *testing.T) {
	c, u := newFixture()
	owner := claim(t, u, "a")
	if _, err := u.Start(context.Background(), start("x", owner.Ownership.Epoch)); err != nil {
		t.Fatalf("Start: %v", err)
	}
	c.now = c.now.Add(20 * time.Second)
	tasks := claim(t, u, "a").Tasks
	if diff := cmp.Diff(cawork.TaskStateLapsed, tasks[0].State); diff != "" {
		t.Errorf("state mismatch (-want +got):\n%s", diff)
	}
}

func TestFencedShardCannotStart(t *testing.T) {
	_, u := newFixture()
	owner := claim(t, u, "a")
	if _, err := u.Fence(context.Background(), caplatform.ShardFence{Shard: "s", View: 2}); err != nil {
		t.Fatalf("Fence: %v", err)
	}
	_, err := u.Start(context.Background(), start("x", owner.Ownership.Epoch))
	if diff := cmp.Diff(cakind.KindFenced, cakind.Of(err)); diff != "" {
		t.Errorf("start of fenced view mismatch (-want +got):\n%s", diff)
	}
}

func TestStopFencesAnAttemptThatNeverStarted(t *testing.T) {
	_, u := newFixture()
	epoch := claim(t, u, "a").Ownership.Epoch
	if _, err := u.Stop(context.Background(), caplatform.Stop{Epoch: epoch, Attempt: "x"}); err != nil {
		t.Fatalf("Stop: %v", err)
	}
	status, err := u.Start(context.Background(), start("x", epoch))
	if err != nil {
		t.Fatalf("Start: %v", err)
	}
	if diff := cmp.Diff(cawork.TaskStateFenced, status.State); diff != "" {
		t.Errorf("state mismatch (-want +got):\n%s", diff)
	}
}

func TestStartBeyondCapacityIsRefused(t *testing.T) {
	_, u := newFixture()
	epoch := claim(t, u, "a").Ownership.Epoch
	for _, attempt := range []cawork.AttemptID{"x", "y"} {
		if _, err := u.Start(context.Background(), start(attempt, epoch)); err != nil {
			t.Fatalf("Start %s: %v", attempt, err)
		}
	}
	_, err := u.Start(context.Background(), start("z", epoch))
	if diff := cmp.Diff(cakind.KindNotStarted, cakind.Of(err)); diff != "" {
		t.Errorf("third start mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, u.Violations().Overcommitted); diff != "" {
		t.Errorf("violations mismatch (-want +got):\n%s", diff)
	}
}

func TestUsageOfRunningTaskIsReportedOnce(t *testing.T) {
	c, u := newFixture()
	owner := claim(t, u, "a").Ownership
	s := start("x", owner.Epoch)
	if _, err := u.Start(context.Background(), s); err != nil {
		t.Fatalf("Start: %v", err)
	}
	var since int64
	var used []cawork.Resources
	for range 12 {
		h := caplatform.Heartbeat{Holder: "a", Epoch: owner.Epoch, TTL: 3 * time.Second, TaskTTL: 10 * time.Second, Since: since}
		result, err := u.Heartbeat(context.Background(), h)
		if err != nil {
			t.Fatalf("Heartbeat: %v", err)
		}
		for _, status := range result.Changed {
			used = append(used, status.Used)
		}
		since = result.Sequence
		c.now = c.now.Add(time.Second)
	}
	want := []cawork.Resources{{}, s.Size}
	if diff := cmp.Diff(want, used); diff != "" {
		t.Errorf("usage reported to the owner mismatch (-want +got):\n%s", diff)
	}
}
