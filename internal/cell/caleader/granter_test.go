package caleader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/casilence"
)

// formerLeader is a leader that was replaced in tests.
func formerLeader() *Granter {
	return &Granter{VM: "entry-1", Address: "a", Process: 5, Token: 7, InheritedRemaining: time.Second}
}

// TestGrantersAreNotMistakenForOneAnother covers what must not shorten the wait for the leases of a leader: an
// earlier sighting of another leader, of one of unknown token, and any of claims whose leader may have granted
// leases itself, as those of builds that do not state it.
func TestGrantersAreNotMistakenForOneAnother(t *testing.T) {
	first := Claim{Token: 9, GrantsNone: true, Granter: formerLeader(), InheritedRemaining: 6 * time.Second}
	later, unknown := first, first
	later.Granter = formerLeader()
	later.Granter.Token = 8
	unknown.Granter = &Granter{}
	granting := Claim{Token: 10, InheritedRemaining: 6 * time.Second}
	const elapsed = 4 * time.Second
	got := make(map[string]time.Duration)
	for name, claims := range map[string][]Claim{
		"same leader":              {first, first},
		"later leader":             {first, later},
		"leader of unknown token":  {unknown, unknown},
		"leader that grants":       {first, granting},
		"leader that granted once": {first, granting, first},
	} {
		var s GranterSighting
		readAt := time.Unix(1000, 0)
		for _, c := range claims[:len(claims)-1] {
			s.Observe(c, readAt)
		}
		last := claims[len(claims)-1]
		readAt = readAt.Add(elapsed)
		s.Observe(last, readAt)
		got[name] = s.Remaining(last, readAt.Add(500*time.Millisecond))
	}
	const fresh = 5500 * time.Millisecond
	want := map[string]time.Duration{
		"same leader": 1500 * time.Millisecond, "later leader": fresh, "leader of unknown token": 6 * time.Second,
		"leader that grants": MaxInheritedLease, "leader that granted once": fresh,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("longest lease half a second after the last claim was read (-want +got):\n%s", diff)
	}
}

// TestLastGranterOfClaims covers whose end shortens the wait: that of the leader with the claim, unless it states that
// it granted nothing after another one.
func TestLastGranterOfClaims(t *testing.T) {
	claim := Claim{VM: "entry-2", Address: "b", Process: 6, Token: 9, InheritedRemaining: 2 * time.Second}
	own := Granter{VM: "entry-2", Address: "b", Process: 6, Token: 9, InheritedRemaining: 2 * time.Second}
	none, without := claim, claim
	none.GrantsNone, none.Granter = true, formerLeader()
	without.GrantsNone = true
	got := []Granter{claim.LastGranter(), none.LastGranter(), without.LastGranter(), Claim{}.LastGranter()}
	if diff := cmp.Diff([]Granter{own, *formerLeader(), own, {}}, got); diff != "" {
		t.Errorf("last leaders that may have granted leases (-want +got):\n%s", diff)
	}
}

// claimWithoutGranter is the claim of builds that do not state whether their leader grants leases.
type claimWithoutGranter struct {
	VM                 cawork.VMID          `cbor:"1,keyasint"`
	Address            string               `cbor:"2,keyasint"`
	Token              int64                `cbor:"3,keyasint,omitempty"`
	Seq                int64                `cbor:"4,keyasint,omitempty"`
	Nonce              int64                `cbor:"5,keyasint"`
	Released           bool                 `cbor:"6,keyasint,omitempty"`
	Silent             []casilence.Upstream `cbor:"7,keyasint,omitempty"`
	Process            int64                `cbor:"8,keyasint,omitempty"`
	InheritedRemaining time.Duration        `cbor:"9,keyasint,omitempty"`
	AppendTook         time.Duration        `cbor:"10,keyasint,omitempty"`
	Taken              bool                 `cbor:"11,keyasint,omitempty"`
}

// TestClaimsAreReadByBuildsWithoutGranter covers leaders of both builds one after the other, forward, back and
// forward: the former build reads the rest of a claim and waits in full, and a leader of its own may have granted
// leases.
func TestClaimsAreReadByBuildsWithoutGranter(t *testing.T) {
	claim := Claim{
		VM: "vm", Address: "a", Token: 7, Seq: 3, Nonce: 9, Process: 4, InheritedRemaining: 2 * time.Second,
		AppendTook: time.Second, Taken: true, GrantsNone: true, Granter: formerLeader(),
		Silent:     []casilence.Upstream{{Upstream: "up", Incarnation: 5, LeaseRemaining: time.Second, Declaration: 6}},
		LongLeases: []caboard.LongLease{{Upstream: "up", Incarnation: 5, Remaining: 20 * time.Second}},
	}
	entry, err := claim.logEntry()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(claim, decodeClaim(entry)); diff != "" {
		t.Errorf("claim as read by this build (-want +got):\n%s", diff)
	}
	var back claimWithoutGranter
	if err := cbor.Unmarshal(entry.Value, &back); err != nil {
		t.Fatal(err)
	}
	value, err := cbor.Marshal(back)
	if err != nil {
		t.Fatal(err)
	}
	forward := decodeClaim(LogEntry{Value: value})
	want := claim
	want.GrantsNone, want.Granter, want.LongLeases = false, nil, nil
	if diff := cmp.Diff(want, forward); diff != "" {
		t.Errorf("claim that the former build stored (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(MaxInheritedLease, forward.longestLease()); diff != "" {
		t.Errorf("longest lease by the claim of the former build (-want +got):\n%s", diff)
	}
}

// refusedLog is a log whose appends are refused until it is opened.
type refusedLog struct {
	testLog
	open atomic.Bool
}

func (l *refusedLog) Append(ctx context.Context, at int64, entries []LogEntry) (int64, error) {
	if !l.open.Load() {
		return 0, context.DeadlineExceeded
	}
	return l.testLog.Append(ctx, at, entries)
}

// TestLeaderGrantsNoLeaseThatItsClaimDenies guards against leases that the successor does not wait for: as long as the
// newest claim states that its leader has granted none, the leader must not grant any, however long ago
// an append without that statement was sent.
func TestLeaderGrantsNoLeaseThatItsClaimDenies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &refusedLog{}
		l := newLeaderOf(log, Claim{VM: "entry-2", GrantsNone: true, Granter: formerLeader(), InheritedRemaining: MaxInheritedLease})
		runCtx, stop := context.WithCancel(t.Context())
		go func() { _ = l.Run(runCtx) }()
		defer func() {
			stop()
			<-l.Done()
		}()
		leaseEnd := func() int64 {
			l.lock(partReport)
			l.planner.ApplyReport(caorder.Report{Upstream: "up-0", Born: 1, SentAt: l.Timer.Now(), ReceivedAt: l.Timer.Now(), ClockMS: 5000})
			l.mu.unlock()
			lease, _ := l.nextLease("up-0")
			return lease.EndMS
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if end := leaseEnd(); end != 0 {
				t.Fatalf("lease until %d ms granted before a claim allows it", end)
			}
		}
		log.open.Store(true)
		time.Sleep(appendRetry + appendTimeInTest + time.Second)
		if leaseEnd() == 0 {
			t.Error("no lease granted although a claim allows it")
		}
		log.mu.Lock()
		defer log.mu.Unlock()
		last := log.claims[len(log.claims)-1]
		if last.GrantsNone || last.Granter != nil {
			t.Errorf("claim of a leader that grants leases: %+v", last)
		}
	})
}

// TestLeaderThatLoadsHandsGranterOn guards against a successor that waits for a leader that was lost while it loaded:
// its renewed claims state that it granted nothing, and how long the leases of the one before can last.
func TestLeaderThatLoadsHandsGranterOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &testLog{}
		l := newLeaderOf(log, Claim{VM: "entry-2", GrantsNone: true, Granter: formerLeader(), InheritedRemaining: 5 * time.Second})
		runCtx, stop := context.WithCancel(t.Context())
		go func() { _ = l.Run(runCtx) }()
		defer func() {
			stop()
			<-l.Done()
		}()
		time.Sleep(ClaimRenewPeriod + appendTimeInTest + time.Millisecond)
		log.mu.Lock()
		defer log.mu.Unlock()
		if len(log.claims) != 1 {
			t.Fatalf("claims while loading: %v, want one", log.claims)
		}
		claim := log.claims[0]
		if diff := cmp.Diff(formerLeader(), claim.Granter); diff != "" || !claim.GrantsNone {
			t.Errorf("granter while loading, grants none %v (-want +got):\n%s", claim.GrantsNone, diff)
		}
		if diff := cmp.Diff(5*time.Second-ClaimRenewPeriod, claim.longestLease()); diff != "" {
			t.Errorf("longest lease of the leader before (-want +got):\n%s", diff)
		}
	})
}
