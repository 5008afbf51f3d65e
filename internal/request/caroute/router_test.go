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
	r := caroute.NewRouter(caroute.Config{Zone: "z1", CrossingDelay: 3 * time.Millisecond})
	for i := range n {
		r.Put(start, upstream(i))
	}
	return r
}

func slotRequest() caroute.Ask {
	return caroute.Ask{Idempotent: true, Deadline: start.Add(time.Hour)}
}

// serve runs rounds of concurrent requests that use most of the slots, and
// returns the changes. The result of a request depends on its upstream.
func serve(r *caroute.Router, now *time.Time, rounds int, result func(cawork.UpstreamID) caroute.Verdict) []string {
	var changes []string
	for range rounds {
		var routes []*caroute.Route
		for range r.Slots(*now) * 3 / 4 {
			if t := r.Choose(*now, slotRequest()); t != nil {
				routes = append(routes, t)
			}
		}
		*now = now.Add(10 * time.Millisecond)
		for _, t := range routes {
			for _, c := range r.Release(*now, t, result(t.Upstream)) {
				changes = append(changes, c.Kind.String()+" "+string(c.Upstream))
			}
		}
	}
	return changes
}

// Under packing an upstream is filled before the next one gets a request, and
// under spreading all get their part.
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
		t.Errorf("changes after it is well again (-want +got):\n%s", diff)
	}
}

// releaseAll ends the routes, all served, and returns the changes.
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

func TestBudgetsBoundRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := caroute.NewBudgets()
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			up := cawork.UpstreamID(rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream"))
			b.Request("a", up)
			requests++
			for b.Retry("a", []cawork.UpstreamID{"u1", "u2"}) {
				b.Retried(up)
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

// lendingModel is an owner and two borrowers of one upstream, with the truth about it:
// its epoch and the requests that run there.
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

func (c *lendingModel) choose(t *rapid.T, router *caroute.Router) {
	deadline := c.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "deadline")) * time.Millisecond)
	route := router.Choose(c.now, caroute.Ask{Deadline: deadline})
	if route != nil && route.Epoch != c.epoch {
		router.Release(c.now, route, caroute.VerdictRefused)
		return
	}
	if route != nil {
		c.running = append(c.running, runningRequest{router, route, deadline})
	}
}

// putUpstream tells the owner the state of the upstream.
func (c *lendingModel) putUpstream() {
	u := upstream(0)
	u.Epoch = c.epoch
	for _, req := range c.running {
		if req.route.Epoch != c.epoch {
			u.FormerRequests++
		}
	}
	c.owner.Put(c.now, u)
}

func (c *lendingModel) endRequest(i int) {
	req := c.running[i]
	c.running = append(c.running[:i], c.running[i+1:]...)
	if i%2 == 0 {
		req.router.Interrupt(c.now, req.route, caroute.VerdictAbandoned)
		return
	}
	req.router.Release(c.now, req.route, caroute.VerdictServed)
}

func (c *lendingModel) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for i := len(c.running) - 1; i >= 0; i-- {
		if !c.now.Before(c.running[i].deadline) {
			c.endRequest(i)
		}
	}
}

// TestSlotLimitIsNeverExceeded runs random histories of an owner and two borrowers.
// Messages are lost at will; the requests at the upstream never pass its slots.
func TestSlotLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &lendingModel{now: start, owner: newRouter(1), epoch: 1, borrowers: []*caroute.Router{newRouter(0), newRouter(0)}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c.step(t)
			if len(c.running) > 8 {
				t.Fatalf("%d requests at an upstream of 8 slots", len(c.running))
			}
		}
		// Once all is over, no slot is in use.
		c.advance(time.Hour)
		c.advance(time.Second)
		c.putUpstream()
		c.owner.Expire(c.now)
		if diff := cmp.Diff(0, c.owner.InUse()); diff != "" {
			t.Fatalf("slots in use at the end (-want +got):\n%s", diff)
		}
	})
}

func (c *lendingModel) step(t *rapid.T) {
	b := c.borrowers[rapid.IntRange(0, 1).Draw(t, "borrower")]
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			c.choose(t, c.owner)
		}
	case 1, 2:
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			c.choose(t, b)
		}
	case 3, 4:
		c.borrow(t, b)
	case 5:
		if len(c.running) > 0 {
			c.endRequest(rapid.IntRange(0, len(c.running)-1).Draw(t, "request"))
		}
	case 6:
		c.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "elapsed")) * time.Millisecond)
		c.owner.Expire(c.now)
		for _, id := range b.Expire(c.now) {
			if rapid.Bool().Draw(t, "returned") {
				c.owner.TakeBack(id)
			}
		}
	case 7:
		// The ownership is lost and gained again while requests run.
		c.owner.Remove("u0")
		c.putUpstream()
	case 8:
		// The owner dies. Another entry, with a counter of its own, takes over.
		c.epoch++
		c.owner = newRouter(0)
		c.putUpstream()
	case 9:
		c.putUpstream()
	}
}

func (c *lendingModel) borrow(t *rapid.T, b *caroute.Router) {
	sentAt := c.now
	want := caroute.LendRequest{
		Count:    rapid.IntRange(1, 8).Draw(t, "count"),
		Duration: time.Duration(rapid.IntRange(1, 10_000).Draw(t, "duration")) * time.Millisecond,
	}
	c.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "way there")) * time.Millisecond)
	grant, ok := c.owner.Lend(c.now, want)
	c.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "way back")) * time.Millisecond)
	if ok && rapid.Bool().Draw(t, "answered") {
		b.AddGrant(c.now, sentAt, grant)
	}
}

// The slot of an interrupted attempt is free only after the upstream has had
// time to notice.
func TestInterruptedSlotIsFreedLater(t *testing.T) {
	r := newRouter(1)
	var last *caroute.Route
	for range 8 {
		last = r.Choose(start, slotRequest())
	}
	r.Interrupt(start, last, caroute.VerdictAbandoned)
	if got := r.Choose(start, slotRequest()); got != nil {
		t.Errorf("the slot was given away at once: %+v", got)
	}
	later := start.Add(time.Second)
	r.Expire(later)
	if r.Choose(later, slotRequest()) == nil {
		t.Error("the slot was not freed")
	}
}

// serveTimed runs rounds in which each request holds its slot for the time that
// its upstream takes. It returns the fewest slots seen.
func serveTimed(r *caroute.Router, now *time.Time, rounds int, serviceTime func(cawork.UpstreamID) time.Duration) int {
	fewest := r.Slots(*now)
	type timedRoute struct {
		route *caroute.Route
		end   time.Time
	}
	var inProgress []timedRoute
	for range rounds {
		for t := r.Choose(*now, slotRequest()); t != nil; t = r.Choose(*now, slotRequest()) {
			inProgress = append(inProgress, timedRoute{t, now.Add(serviceTime(t.Upstream))})
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
				t.Fatalf("slots at first (-want +got):\n%s", diff)
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

func TestExpiredLeaseStopsRequestsAndLoans(t *testing.T) {
	r := newRouter(0)
	u := upstream(0)
	u.LeaseEnd = start.Add(time.Second)
	r.Put(start, u)
	if r.Choose(start, slotRequest()) == nil {
		t.Error("no slot while the lease holds")
	}
	if got := r.Choose(u.LeaseEnd, slotRequest()); got != nil {
		t.Errorf("a slot after the end of the lease: %+v", got)
	}
	if grant, ok := r.Lend(u.LeaseEnd, caroute.LendRequest{Count: 1, Duration: time.Second}); ok {
		t.Errorf("a grant after the end of the lease: %+v", grant)
	}
}

// An entry that owns two upstreams routes a request, learns how it ended, and
// lends a slot to another entry.
func ExampleRouter() {
	now := time.Unix(0, 0)
	r := caroute.NewRouter(caroute.Config{Zone: "z1"})
	for _, id := range []cawork.UpstreamID{"u1", "u2"} {
		r.Put(now, caroute.Upstream{ID: id, Zone: "z1", Slots: 8, Connections: 64, Epoch: 1})
	}
	route := r.Choose(now, caroute.Ask{Deadline: now.Add(time.Second)})
	fmt.Println("free while it runs:", r.Free(now))
	r.Release(now.Add(5*time.Millisecond), route, caroute.VerdictServed)
	grant, ok := r.Lend(now, caroute.LendRequest{Count: 2, Duration: time.Second})
	fmt.Println("lent:", ok, grant.Count, "free:", r.Free(now))
	// Output:
	// free while it runs: 15
	// lent: true 2 free: 14
}
