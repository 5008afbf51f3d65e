package caroute_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

var start = time.Unix(1000, 0)

func upstream(i int) caroute.Upstream {
	return caroute.Upstream{
		ID:          cawork.UpstreamID(fmt.Sprint("u", i)),
		Zone:        "z1",
		Slots:       8,
		Connections: 64,
		Epoch:       1,
	}
}

func newRouter(n int) *caroute.Router {
	r := caroute.NewRouter(caroute.Config{Zone: "z1", CrossZoneRTT: 3 * time.Millisecond})
	for i := range n {
		r.Put(start, upstream(i))
	}
	return r
}

func slotRequest() caroute.SlotRequest {
	return caroute.SlotRequest{Idempotent: true, Deadline: start.Add(time.Hour)}
}

// serve runs rounds of concurrent requests that use three quarters of the slots
// and returns the health changes. The result of a request depends on its
// upstream.
func serve(r *caroute.Router, now *time.Time, rounds int, result func(cawork.UpstreamID) caroute.Verdict) []string {
	var changes []string
	for range rounds {
		var routes []*caroute.Route
		for range r.Slots(*now) * 3 / 4 {
			if route := r.Choose(*now, slotRequest()); route != nil {
				routes = append(routes, route)
			}
		}
		*now = now.Add(10 * time.Millisecond)
		for _, route := range routes {
			for _, c := range r.Release(*now, route, result(route.Upstream)) {
				changes = append(changes, c.Kind.String()+" "+string(c.Upstream))
			}
		}
	}
	return changes
}

// Packing fills one upstream before the next one gets a request. Spreading gives
// all upstreams the same number.
func TestPlacement(t *testing.T) {
	for placement, want := range map[cawork.Placement][]int{
		cawork.PlacementPack:   {8, 4, 0},
		cawork.PlacementSpread: {4, 4, 4},
	} {
		r := newRouter(3)
		r.SetPlacement(placement)
		counts := map[cawork.UpstreamID]int{}
		for range 12 {
			counts[r.Choose(start, slotRequest()).Upstream]++
		}
		got := []int{counts["u0"], counts["u1"], counts["u2"]}
		slices.SortFunc(got, func(a, b int) int { return b - a })
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", placement, diff)
		}
	}
}

func served(cawork.UpstreamID) caroute.Verdict { return caroute.VerdictServed }

func TestFailingUpstreamIsEjectedProbedAndRestored(t *testing.T) {
	r := newRouter(4)
	now := start
	failing := func(id cawork.UpstreamID) caroute.Verdict {
		if id == "u2" {
			return caroute.VerdictFailed
		}
		return served(id)
	}
	got := serve(r, &now, 200, failing)
	if diff := cmp.Diff([]string{"ejected u2"}, got); diff != "" {
		t.Errorf("changes while it fails (-want +got):\n%s", diff)
	}
	now = now.Add(time.Minute)
	if diff := cmp.Diff([]string{"restored u2"}, serve(r, &now, 200, served)); diff != "" {
		t.Errorf("changes after its recovery (-want +got):\n%s", diff)
	}
}

// releaseAll releases the routes as served and returns the health changes.
func releaseAll(r *caroute.Router, now time.Time, routes []*caroute.Route) []string {
	var changes []string
	for _, route := range routes {
		for _, c := range r.Release(now, route, caroute.VerdictServed) {
			changes = append(changes, c.Kind.String()+" "+string(c.Upstream))
		}
	}
	return changes
}

func TestSlowUpstreamIsEjected(t *testing.T) {
	r := newRouter(4)
	now := start
	var got []string
	for range 100 {
		var slow, fast []*caroute.Route
		for range 30 {
			route := r.Choose(now, slotRequest())
			if route == nil {
				break
			}
			if route.Upstream == "u1" {
				slow = append(slow, route)
				continue
			}
			fast = append(fast, route)
		}
		now = now.Add(10 * time.Millisecond)
		got = append(got, releaseAll(r, now, fast)...)
		now = now.Add(500 * time.Millisecond)
		got = append(got, releaseAll(r, now, slow)...)
	}
	if diff := cmp.Diff([]string{"ejected u1"}, got); diff != "" {
		t.Errorf("changes while it is slow (-want +got):\n%s", diff)
	}
	now = now.Add(time.Minute)
	if diff := cmp.Diff([]string{"restored u1"}, serve(r, &now, 200, served)); diff != "" {
		t.Errorf("changes after it is fast again (-want +got):\n%s", diff)
	}
}

// A job whose requests fail at every upstream must not eject any of them: the
// failure rates of the peers are just as high.
func TestFailuresAtAllUpstreamsEjectNone(t *testing.T) {
	r := newRouter(4)
	now := start
	got := serve(r, &now, 400, func(cawork.UpstreamID) caroute.Verdict {
		return caroute.VerdictFailed
	})
	if diff := cmp.Diff([]string(nil), got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func TestEjectionsAreCapped(t *testing.T) {
	r := newRouter(9)
	now := start
	got := serve(r, &now, 2000, func(id cawork.UpstreamID) caroute.Verdict {
		if id >= "u4" {
			return caroute.VerdictFailed
		}
		return served(id)
	})
	ejected := map[string]bool{}
	for _, c := range got {
		ejected[c] = true
	}
	if len(ejected) != 3 {
		t.Errorf("ejected %v, want a third of 9", ejected)
	}
}

// A probe may fail, so that a request that must not run twice is never sent to
// an ejected upstream.
func TestOnlyIdempotentRequestsProbe(t *testing.T) {
	r := newRouter(2)
	now := start
	serve(r, &now, 200, func(id cawork.UpstreamID) caroute.Verdict {
		if id == "u1" {
			return caroute.VerdictFailed
		}
		return served(id)
	})
	now = now.Add(time.Minute)
	nonIdempotent := slotRequest()
	nonIdempotent.Idempotent = false
	for range 8 {
		if got := r.Choose(now, nonIdempotent); got == nil || got.Upstream != "u0" {
			t.Fatalf("non-idempotent request routed to %+v", got)
		}
	}
	if got := r.Choose(now, slotRequest()); got == nil || !got.Probe {
		t.Errorf("idempotent request routed to %+v, want a probe", got)
	}
}

// Retries must not exceed a tenth of the requests, whichever upstreams they are
// sent to, and must not fall far below it.
func TestBudgetsBoundRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := caroute.NewBudgets()
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			up := cawork.UpstreamID(rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream"))
			b.RecordRequest("a", up)
			requests++
			for b.AllowRetry("a", []cawork.UpstreamID{"u1", "u2"}) {
				b.RecordRetry(up)
				retries++
			}
		}
		if retries > requests/10 {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
		if retries < requests/10-20 {
			t.Fatalf("only %d retries for %d requests", retries, requests)
		}
	})
}

// lendingModel is an owner and two borrowers of one upstream, with the actual
// state of the upstream: its epoch and the requests that run there.
type lendingModel struct {
	now       time.Time
	owner     *caroute.Router
	borrowers []*caroute.Router
	epoch     caplatform.Epoch
	running   []runningRequest
}

type runningRequest struct {
	router   *caroute.Router
	route    *caroute.Route
	deadline time.Time
}

func (m *lendingModel) choose(t *rapid.T, router *caroute.Router) {
	deadline := m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "deadline")) * time.Millisecond)
	route := router.Choose(m.now, caroute.SlotRequest{Deadline: deadline})
	if route != nil && route.Epoch != m.epoch {
		router.Release(m.now, route, caroute.VerdictRefused)
		return
	}
	if route != nil {
		m.running = append(m.running, runningRequest{router, route, deadline})
	}
}

// putUpstream reports the state of the upstream to the owner.
func (m *lendingModel) putUpstream() {
	u := upstream(0)
	u.Epoch = m.epoch
	for _, req := range m.running {
		if req.route.Epoch != m.epoch {
			u.FormerRequests++
		}
	}
	m.owner.Put(m.now, u)
}

func (m *lendingModel) endRequest(i int) {
	req := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	if i%2 == 0 {
		req.router.ReleaseInterrupted(m.now, req.route, caroute.VerdictAbandoned)
		return
	}
	req.router.Release(m.now, req.route, caroute.VerdictServed)
}

func (m *lendingModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for i := len(m.running) - 1; i >= 0; i-- {
		if !m.now.Before(m.running[i].deadline) {
			m.endRequest(i)
		}
	}
}

// TestSlotLimitIsNeverExceeded runs random sequences of steps of an owner and
// two borrowers, in which messages are lost and the ownership moves. The
// requests at the upstream must never exceed its slots.
func TestSlotLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &lendingModel{now: start, owner: newRouter(1), epoch: 1, borrowers: []*caroute.Router{newRouter(0), newRouter(0)}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step(t)
			if len(m.running) > 8 {
				t.Fatalf("%d requests at an upstream of 8 slots", len(m.running))
			}
		}
		// After all deadlines and grants have expired, no slot is in use.
		m.advance(time.Hour)
		m.advance(time.Second)
		m.putUpstream()
		m.owner.Expire(m.now)
		if diff := cmp.Diff(0, m.owner.SlotsInUse()); diff != "" {
			t.Fatalf("slots in use at the end (-want +got):\n%s", diff)
		}
	})
}

func (m *lendingModel) step(t *rapid.T) {
	b := m.borrowers[rapid.IntRange(0, 1).Draw(t, "borrower")]
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			m.choose(t, m.owner)
		}
	case 1, 2:
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			m.choose(t, b)
		}
	case 3, 4:
		m.borrow(t, b)
	case 5:
		if len(m.running) > 0 {
			m.endRequest(rapid.IntRange(0, len(m.running)-1).Draw(t, "request"))
		}
	case 6:
		m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "elapsed")) * time.Millisecond)
		m.owner.Expire(m.now)
		for _, id := range b.Expire(m.now) {
			if rapid.Bool().Draw(t, "returned") {
				m.owner.ReclaimGrant(id)
			}
		}
	case 7:
		// The ownership is lost and gained again while requests run.
		m.owner.Remove("u0")
		m.putUpstream()
	case 8:
		// The owner fails. Another entry takes over and numbers its grants from
		// one again.
		m.epoch++
		m.owner = newRouter(0)
		m.putUpstream()
	case 9:
		m.putUpstream()
	}
}

func (m *lendingModel) borrow(t *rapid.T, b *caroute.Router) {
	sentAt := m.now
	want := caroute.LendRequest{
		Count:    rapid.IntRange(1, 8).Draw(t, "count"),
		Duration: time.Duration(rapid.IntRange(1, 10_000).Draw(t, "duration")) * time.Millisecond,
	}
	m.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "request delay")) * time.Millisecond)
	grant, ok := m.owner.Lend(m.now, want)
	m.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "reply delay")) * time.Millisecond)
	if ok && rapid.Bool().Draw(t, "answered") {
		b.AddGrant(m.now, sentAt, grant)
	}
}

// The slot of an interrupted attempt is freed only after a delay in which the
// upstream notices the closed connection.
func TestInterruptedSlotIsFreedLater(t *testing.T) {
	r := newRouter(1)
	var last *caroute.Route
	for range 8 {
		last = r.Choose(start, slotRequest())
	}
	r.ReleaseInterrupted(start, last, caroute.VerdictAbandoned)
	if got := r.Choose(start, slotRequest()); got != nil {
		t.Errorf("the slot was reused before the delay: %+v", got)
	}
	later := start.Add(time.Second)
	r.Expire(later)
	if r.Choose(later, slotRequest()) == nil {
		t.Error("the slot was not freed after the delay")
	}
}

// serveTimed runs rounds in which each request holds its slot for the service
// time of its upstream. It returns the lowest number of slots after any round.
func serveTimed(r *caroute.Router, now *time.Time, rounds int, serviceTime func(cawork.UpstreamID) time.Duration) int {
	fewest := r.Slots(*now)
	type timedRoute struct {
		route *caroute.Route
		end   time.Time
	}
	var inProgress []timedRoute
	for range rounds {
		for route := r.Choose(*now, slotRequest()); route != nil; route = r.Choose(*now, slotRequest()) {
			inProgress = append(inProgress, timedRoute{route, now.Add(serviceTime(route.Upstream))})
		}
		*now = now.Add(5 * time.Millisecond)
		var remaining []timedRoute
		for _, p := range inProgress {
			if now.Before(p.end) {
				remaining = append(remaining, p)
				continue
			}
			r.Release(*now, p.route, caroute.VerdictServed)
		}
		inProgress = remaining
		fewest = min(fewest, r.Slots(*now))
	}
	for _, p := range inProgress {
		r.Release(p.end, p.route, caroute.VerdictServed)
	}
	return fewest
}

// The concurrency limit falls when one upstream slows down. When all slow down
// alike, a lower limit would only waste slots.
func TestLimitFallsForOneSlowUpstreamOnly(t *testing.T) {
	tests := []struct {
		name string
		slow func(cawork.UpstreamID) bool
		want bool
	}{
		{"one is slow", func(id cawork.UpstreamID) bool { return id == "u0" }, true},
		{"all are slow", func(cawork.UpstreamID) bool { return true }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(4)
			now := start
			serveTimed(r, &now, 200, func(cawork.UpstreamID) time.Duration { return 5 * time.Millisecond })
			if diff := cmp.Diff(32, r.Slots(now)); diff != "" {
				t.Fatalf("slots before the slowdown (-want +got):\n%s", diff)
			}
			fewest := serveTimed(r, &now, 100, func(id cawork.UpstreamID) time.Duration {
				if tt.slow(id) {
					return 18 * time.Millisecond
				}
				return 5 * time.Millisecond
			})
			if diff := cmp.Diff(tt.want, fewest < 32); diff != "" {
				t.Errorf("limit fell (-want +got):\n%s", diff)
			}
		})
	}
}

// After the end of the lease another entry may own the upstream, so that no
// request may start and no slot may be lent.
func TestExpiredLeaseStopsRequestsAndLoans(t *testing.T) {
	r := newRouter(0)
	u := upstream(0)
	u.LeaseEnd = start.Add(time.Second)
	r.Put(start, u)
	if r.Choose(start, slotRequest()) == nil {
		t.Error("no slot before the end of the lease")
	}
	if got := r.Choose(u.LeaseEnd, slotRequest()); got != nil {
		t.Errorf("a slot after the end of the lease: %+v", got)
	}
	if grant, ok := r.Lend(u.LeaseEnd, caroute.LendRequest{Count: 1, Duration: time.Second}); ok {
		t.Errorf("a grant after the end of the lease: %+v", grant)
	}
}

// An entry that owns two upstreams routes a request, records its result and
// lends two slots to another entry.
func ExampleRouter() {
	now := time.Unix(0, 0)
	r := caroute.NewRouter(caroute.Config{Zone: "z1"})
	for _, id := range []cawork.UpstreamID{"u1", "u2"} {
		r.Put(now, caroute.Upstream{ID: id, Zone: "z1", Slots: 8, Connections: 64, Epoch: 1})
	}
	route := r.Choose(now, caroute.SlotRequest{Deadline: now.Add(time.Second)})
	fmt.Println("free while it runs:", r.FreeSlots(now))
	r.Release(now.Add(5*time.Millisecond), route, caroute.VerdictServed)
	grant, ok := r.Lend(now, caroute.LendRequest{Count: 2, Duration: time.Second})
	fmt.Println("lent:", ok, grant.Count, "free:", r.FreeSlots(now))
	// Output:
	// free while it runs: 15
	// lent: true 2 free: 14
}
