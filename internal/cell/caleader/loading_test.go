package caleader

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/casilence"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// loadTimeInTest is how long a read of the jobs takes, appendTimeInTest an append, and callerTimeoutInTest
	// how long callers wait.
	loadTimeInTest      = ClaimRenewPeriod + 100*time.Millisecond
	appendTimeInTest    = 300 * time.Millisecond
	callerTimeoutInTest = 3 * time.Second
)

// testLog is a log without jobs. Others append to it if it is claimed.
type testLog struct {
	claimed bool

	mu sync.Mutex
	// claims are those that were appended.
	claims []Claim
}

func (l *testLog) Append(_ context.Context, at int64, entries []LogEntry) (int64, error) {
	time.Sleep(appendTimeInTest)
	if l.claimed {
		return 0, cakind.New(cakind.KindConflict, "the log has grown")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims = append(l.claims, decodeClaim(entries[0]))
	return at + int64(len(entries)), nil
}

func (l *testLog) Read(context.Context, int64, time.Duration) ([]LogEntry, int64, error) {
	return nil, 0, nil
}

func (l *testLog) Newest(_ context.Context, after string) (Page, error) {
	if after == "" {
		time.Sleep(loadTimeInTest)
	}
	return Page{Entries: []LogEntry{{Key: claimKey}}}, nil
}

// silentUpstream is an upstream in the list that does not answer.
type silentUpstream struct{ Upstreams }

func (silentUpstream) List(context.Context) ([]caspec.Upstream, error) {
	return []caspec.Upstream{{
		ID: "up-0", Address: "up-0", Pool: "pool", Incarnation: 1, Capacity: cawork.Resources{CPU: 16000, Memory: 32 * cawork.GiB},
	}}, nil
}

func (silentUpstream) Renew(ctx context.Context, _ int64, _ caorder.Lease, _ time.Duration) (caorder.Report, error) {
	<-ctx.Done()
	return caorder.Report{}, ctx.Err()
}

// noProxies are no entries that ask the advisor.
type noProxies struct{ AdvisorProxies }

func (noProxies) Names() []cawork.VMID { return nil }

func newLeaderOf(log Log, claim Claim) *Leader {
	policy := caspec.Policy{
		Version: 1, Pools: []caspec.Pool{{Name: "pool"}}, Teams: []caspec.Team{{Name: "north", Weight: 1000}},
		Queues: []caspec.Queue{{Name: "queue", Pool: "pool", MaxAttempts: 3, Stretch: 4, TargetLatency: 20 * time.Second}},
	}.WithIndex()
	layout := calayout.Compute(1, 1, 1, policy.Teams)
	return New(Deps{
		MaxShards: 1, View: func() (caspec.Policy, calayout.Layout) { return policy, layout }, OnLayoutStored: func(calayout.Layout) {},
		Log: zerolog.Nop(), Scope: tally.NoopScope, Timer: catimer.NewService(), WallClockMS: func() int64 { return time.Now().UnixMilli() },
		Store: log, Registry: silentUpstream{}, Upstreams: silentUpstream{}, AdvisorProxies: noProxies{},
	}, claim, 1, 1)
}

// TestCallersOfLeaderDeposedWhileLoadingGetAnswer guards against submissions without an answer: the leader has
// loaded the jobs and accepts some while its last renewal from loading is under way, which finds that another leader
// has taken over.
func TestCallersOfLeaderDeposedWhileLoadingGetAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &testLog{claimed: true}
		l := newLeaderOf(log, Claim{VM: "entry-1"})
		runCtx, stop := context.WithCancel(t.Context())
		go func() { _ = l.Run(runCtx) }()
		defer func() {
			stop()
			<-l.Done()
		}()
		time.Sleep(loadTimeInTest + time.Millisecond)
		if !l.loaded.Load() {
			t.Fatal("the leader has not loaded the jobs")
		}
		ctx, cancel := context.WithTimeout(t.Context(), callerTimeoutInTest)
		defer cancel()
		began := time.Now()
		err := l.Submit(ctx, caspec.Submission{ID: "0123456789abcdef", Queue: "queue", Team: "north", Steps: []caspec.Step{{Tasks: 1, CPU: 1000, Estimate: time.Second}}})
		if took := time.Since(began); cakind.Of(err) != cakind.KindNotStarted || took > time.Second {
			t.Errorf("answer after %v: %v, want one of KindNotStarted, since no append has included the job, when the leader has ended", took, err)
		}
		if l.loaded.Load() {
			t.Error("the leader that ended still counts as loaded")
		}
	})
}

// TestSuccessorWaitsAnewForLeaderLostWhileLoading guards against a leader that renews its claim while it loads and
// repeats for how long the leases of silent upstreams last, as if no time had passed: if it is lost, its
// successor begins their wait anew.
func TestSuccessorWaitsAnewForLeaderLostWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const remaining = 5 * time.Second
		log := &testLog{}
		l := newLeaderOf(log, Claim{
			VM: "entry-1", Silent: []casilence.Upstream{{Upstream: "up-0", Incarnation: 1, LeaseRemaining: remaining}},
			InheritedRemaining: MaxInheritedLease,
		})
		runCtx, stop := context.WithCancel(t.Context())
		go func() { _ = l.Run(runCtx) }()
		defer func() {
			stop()
			<-l.Done()
		}()
		time.Sleep(ClaimRenewPeriod + appendTimeInTest + time.Millisecond)
		log.mu.Lock()
		defer log.mu.Unlock()
		if len(log.claims) != 1 || len(log.claims[0].Silent) != 1 {
			t.Fatalf("claims while loading: %v, want one with the silent upstream", log.claims)
		}
		claim := log.claims[0]
		if diff := cmp.Diff(remaining-ClaimRenewPeriod, claim.Silent[0].LeaseRemaining); diff != "" {
			t.Errorf("longest lease of the silent upstream (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(MaxInheritedLease-ClaimRenewPeriod, claim.InheritedRemaining); diff != "" {
			t.Errorf("longest inherited lease (-want +got):\n%s", diff)
		}
	})
}
