package caowner_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// settled is a time at which the entry may claim.
const settled = 2 * time.Second

// validFor is the time for which a lease of 3 s is trusted after it was asked
// for: 3 s / 1.04 - 200 ms.
const validFor = 3*time.Second*100/104 - 200*time.Millisecond

type fixture struct {
	*caowner.State
	t     *testing.T
	check *cacheck.Checker
	epoch caplatform.Epoch
}

func newFixture(t *testing.T, upstreams ...string) *fixture {
	check := cacheck.New(zerolog.Nop(), tally.NoopScope)
	f := &fixture{State: caowner.NewState(caowner.DefaultConfig(), "e1", "z", start, check), t: t, check: check}
	f.SetEntries([]caowner.Entry{{VM: "e1", Since: start}})
	f.list(0, caplatform.VMStateLive, upstreams...)
	f.wantEvents(slices.Repeat([]caowner.EventKind{caowner.EventKindListed}, len(upstreams))...)
	t.Cleanup(func() {
		if v := check.Violations(); len(v) > 0 {
			t.Errorf("violations: %v", v)
		}
	})
	return f
}

func (f *fixture) list(d time.Duration, state caplatform.VMState, upstreams ...string) {
	vms := []caplatform.VM{
		{ID: "other", Role: caplatform.VMRoleUpstream, Zone: "other"},
		{ID: "e1", Role: caplatform.VMRoleEntry, Zone: "z"},
	}
	for _, u := range upstreams {
		vms = append(vms, caplatform.VM{ID: cawork.VMID(u), Role: caplatform.VMRoleUpstream, Zone: "z", State: state, Address: u})
	}
	f.SetUpstreams(at(d), vms)
}

// one returns the only call that is due, which must be of the kind.
func (f *fixture) one(d time.Duration, kind caowner.CallKind) caowner.Call {
	f.t.Helper()
	calls := f.Tick(at(d))
	if len(calls) != 1 || calls[0].Kind != kind {
		f.t.Fatalf("calls at %v: %v, want one %s", d, calls, kind)
	}
	return calls[0]
}

func (f *fixture) none(d time.Duration) {
	f.t.Helper()
	if calls := f.Tick(at(d)); len(calls) > 0 {
		f.t.Fatalf("calls at %v: %v, want none", d, calls)
	}
}

func (f *fixture) grant(d time.Duration, c caowner.Call) {
	f.epoch++
	f.HandleAnswer(at(d), caowner.Answer{Call: c, Claim: caplatform.ClaimResult{
		Granted: true, Ownership: caplatform.Ownership{Holder: "e1", Epoch: f.epoch},
	}})
}

func (f *fixture) renew(d time.Duration, c caowner.Call, changed ...caplatform.TaskStatus) {
	f.HandleAnswer(at(d), caowner.Answer{Call: c, Heartbeat: caplatform.HeartbeatResult{Sequence: 5, Changed: changed}})
}

func (f *fixture) fail(d time.Duration, c caowner.Call, k cakind.Kind) {
	f.HandleAnswer(at(d), caowner.Answer{Call: c, Err: cakind.New(k, "test")})
}

// own gains u at the settled time.
func (f *fixture) own() {
	f.t.Helper()
	f.grant(settled, f.one(settled, caowner.CallKindClaim))
	f.renew(settled, f.one(settled, caowner.CallKindHeartbeat))
	f.wantEvents(caowner.EventKindGained)
}

func (f *fixture) wantEvents(want ...caowner.EventKind) []caowner.Event {
	f.t.Helper()
	events := f.TakeEvents()
	var got []caowner.EventKind
	for _, e := range events {
		got = append(got, e.Kind)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		f.t.Fatalf("events mismatch (-want +got):\n%s", diff)
	}
	return events
}

func (f *fixture) wantLease(d time.Duration, want bool) {
	f.t.Helper()
	if _, got := f.Lease(at(d), "u"); got != want {
		f.t.Errorf("lease at %v: %t, want %t", d, got, want)
	}
}

// The owner tells how many requests of former owners use slots, from the claim
// on and whenever some have ended.
func TestOwnerTellsRequestsOfFormerOwners(t *testing.T) {
	f := newFixture(t, "u")
	c := f.one(settled, caowner.CallKindClaim)
	f.HandleAnswer(at(settled), caowner.Answer{Call: c, Claim: caplatform.ClaimResult{
		Granted: true, Ownership: caplatform.Ownership{Holder: "e1", Epoch: 1}, FormerRequests: 8,
	}})
	got := []int{f.wantEvents(caowner.EventKindGained)[0].FormerRequests}
	for i, former := range []int{8, 3, 3, 0} {
		d := settled + time.Duration(i)*2*time.Second
		c = f.one(d, caowner.CallKindHeartbeat)
		f.HandleAnswer(at(d), caowner.Answer{Call: c, Heartbeat: caplatform.HeartbeatResult{FormerRequests: former}})
		for _, e := range f.TakeEvents() {
			got = append(got, e.FormerRequests)
		}
		lease, _ := f.Lease(at(d), "u")
		if diff := cmp.Diff(former, lease.FormerRequests); diff != "" {
			t.Errorf("requests in the lease (-want +got):\n%s", diff)
		}
	}
	if diff := cmp.Diff([]int{8, 3, 0}, got); diff != "" {
		t.Errorf("requests in the events (-want +got):\n%s", diff)
	}
}

func TestLeaseCountsFromTheSending(t *testing.T) {
	f := newFixture(t, "u")
	f.none(settled - time.Millisecond)
	c := f.one(settled, caowner.CallKindClaim)
	f.none(settled + time.Second)
	f.grant(settled+time.Second, c)
	f.wantEvents(caowner.EventKindGained)
	f.wantLease(settled+validFor-1, true)
	f.wantLease(settled+validFor, false)

	c = f.one(settled+time.Second, caowner.CallKindHeartbeat)
	if diff := cmp.Diff(caplatform.Heartbeat{
		Holder: "e1", Epoch: 1, TTL: 3 * time.Second, TaskTTL: 10 * time.Second,
	}, c.Heartbeat); diff != "" {
		t.Errorf("heartbeat mismatch (-want +got):\n%s", diff)
	}
	f.renew(settled+2*time.Second, c, caplatform.TaskStatus{Attempt: "a"})
	f.wantEvents(caowner.EventKindTasksChanged)
	f.wantLease(settled+time.Second+validFor-1, true)
	f.wantLease(settled+time.Second+validFor, false)
	if diff := cmp.Diff([]cawork.UpstreamID{"u"}, f.Owned(at(settled+2*time.Second))); diff != "" {
		t.Errorf("owned mismatch (-want +got):\n%s", diff)
	}
}

func TestClaimAnsweredTooLateIsNotUsed(t *testing.T) {
	f := newFixture(t, "u")
	f.grant(settled+4*time.Second, f.one(settled, caowner.CallKindClaim))
	f.wantEvents()
	f.wantLease(settled+4*time.Second, false)
	f.one(settled+4*time.Second, caowner.CallKindClaim)
}

func TestLeaseLapsesWithoutAnswersAndIsClaimedAnew(t *testing.T) {
	f := newFixture(t, "u")
	f.own()
	var now time.Duration
	for now = settled; now < settled+validFor; now += 50 * time.Millisecond {
		for _, c := range f.Tick(at(now)) {
			f.fail(now, c, cakind.KindUnknown)
		}
		f.wantEvents()
	}
	c := f.one(now, caowner.CallKindClaim)
	events := f.wantEvents(caowner.EventKindLost)
	if diff := cmp.Diff(caowner.ReasonLapsed, events[0].Reason); diff != "" {
		t.Errorf("reason mismatch (-want +got):\n%s", diff)
	}
	f.grant(now, c)
	f.wantEvents(caowner.EventKindGained)
}

func TestFencedOwnerStopsAtOnce(t *testing.T) {
	f := newFixture(t, "u")
	f.own()
	c := f.one(settled+time.Second, caowner.CallKindHeartbeat)
	f.fail(settled+time.Second, c, cakind.KindFenced)
	events := f.wantEvents(caowner.EventKindLost)
	if diff := cmp.Diff(caowner.ReasonFenced, events[0].Reason); diff != "" {
		t.Errorf("reason mismatch (-want +got):\n%s", diff)
	}
	f.wantLease(settled+time.Second, false)
	f.one(settled+time.Second, caowner.CallKindClaim)
}

// preferred returns an entry that ranks before e1 for u.
func preferred(f *fixture) cawork.VMID {
	for i := range 100 {
		vm := cawork.VMID(fmt.Sprintf("e%d", i+2))
		g := newFixture(f.t, "u")
		g.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, {VM: vm, Since: start}})
		if len(g.Tick(at(settled))) == 0 {
			return vm
		}
	}
	f.t.Fatal("no entry ranks before e1")
	return ""
}

func TestHandOverWaitsUntilTheNewcomerSettled(t *testing.T) {
	f := newFixture(t, "u")
	f.own()
	joined := settled + 100*time.Millisecond
	newcomer := caowner.Entry{VM: preferred(f), Since: at(joined)}
	f.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, newcomer})
	c := f.one(settled+time.Second, caowner.CallKindHeartbeat)
	f.renew(settled+time.Second, c)
	f.wantEvents()
	c = f.one(joined+settled, caowner.CallKindRelease)
	if diff := cmp.Diff(caplatform.Ownership{Holder: "e1", Epoch: 1}, c.Release); diff != "" {
		t.Errorf("release mismatch (-want +got):\n%s", diff)
	}
	f.wantEvents(caowner.EventKindReleased)
	f.wantLease(joined+settled, false)
	f.fail(joined+settled, c, cakind.KindUnknown)
	c = f.one(joined+settled+100*time.Millisecond, caowner.CallKindRelease)
	f.fail(joined+settled+100*time.Millisecond, c, cakind.KindFenced)
	f.none(joined + settled + time.Minute)

	newcomer.Unreachable = []cawork.UpstreamID{"u"}
	f.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, newcomer})
	f.one(10*time.Second, caowner.CallKindClaim)
}

func TestDrainReleasesAllEvenAClaimUnderWay(t *testing.T) {
	f := newFixture(t, "u")
	c := f.one(settled, caowner.CallKindClaim)
	f.Drain()
	if f.Drained() {
		t.Error("drained while a claim is open")
	}
	f.grant(settled, c)
	f.wantEvents()
	f.HandleAnswer(at(settled), caowner.Answer{Call: f.one(settled, caowner.CallKindRelease)})
	if !f.Drained() {
		t.Error("not drained after the release")
	}
	f.none(time.Minute)
}

func TestListedStatesReachSubscribers(t *testing.T) {
	f := newFixture(t, "u")
	f.own()
	f.list(settled, caplatform.VMStateLeaving, "u")
	f.wantEvents(caowner.EventKindLeaving)
	f.wantLease(settled, true)
	f.list(settled, caplatform.VMStateLive, "u")
	f.wantEvents(caowner.EventKindListed)
	f.list(settled, caplatform.VMStateLive)
	f.wantEvents(caowner.EventKindLeaving)
	f.wantLease(settled, true)
	f.list(settled, caplatform.VMStateGone, "u")
	f.wantEvents(caowner.EventKindLost, caowner.EventKindUnlisted)
	f.list(settled, caplatform.VMStateGone, "u")
	f.wantEvents()
}

func TestAnswerToAnEarlierListingIsIgnored(t *testing.T) {
	f := newFixture(t, "u")
	c := f.one(settled, caowner.CallKindClaim)
	f.list(settled, caplatform.VMStateGone, "u")
	f.list(settled, caplatform.VMStateLive, "u")
	f.wantEvents(caowner.EventKindUnlisted, caowner.EventKindListed)
	again := f.one(settled, caowner.CallKindClaim)
	f.grant(settled, c)
	f.wantEvents()
	f.grant(settled, again)
	f.wantEvents(caowner.EventKindGained)
}

func TestUnreachableUpstreamIsLeftToOthers(t *testing.T) {
	f := newFixture(t, "u")
	var now time.Duration
	for now = settled; len(f.Unreachable()) == 0 && now < time.Minute; now += 50 * time.Millisecond {
		for _, c := range f.Tick(at(now)) {
			f.fail(now, c, cakind.KindUnknown)
		}
	}
	if now < settled+4*time.Second || now > settled+15*time.Second {
		t.Errorf("unreachable after %v, want between 4 and 15 s of failures", now-settled)
	}
	f.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, {VM: "e2", Since: start}})
	c := f.one(now+3*time.Second, caowner.CallKindProbe)
	f.fail(now+3*time.Second, c, cakind.KindUnknown)
	c = f.one(now+6*time.Second, caowner.CallKindProbe)
	f.HandleAnswer(at(now+6*time.Second), caowner.Answer{Call: c})
	if got := f.Unreachable(); len(got) > 0 {
		t.Errorf("unreachable after an answer: %v", got)
	}
}

func TestEntryThatReachesNothingLeavesAllToOthers(t *testing.T) {
	var names []string
	for i := range 17 {
		names = append(names, fmt.Sprintf("u%d", i))
	}
	f := newFixture(t, names...)
	for now := settled; now < 20*time.Second; now += 50 * time.Millisecond {
		for _, c := range f.Tick(at(now)) {
			f.fail(now, c, cakind.KindUnknown)
		}
	}
	told := f.Unreachable()
	if diff := cmp.Diff([]cawork.UpstreamID{caowner.AllUpstreams}, told); diff != "" {
		t.Fatalf("unreachable mismatch (-want +got):\n%s", diff)
	}
	g := newFixture(t, "u")
	first := caowner.Entry{VM: preferred(g), Since: start}
	g.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, first})
	g.none(settled)
	first.Unreachable = told
	g.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, first})
	g.one(settled, caowner.CallKindClaim)
}

func TestHeartbeatsAreSpreadAndBounded(t *testing.T) {
	var names []string
	for i := range 910 {
		names = append(names, fmt.Sprintf("u%d", i))
	}
	f := newFixture(t, names...)
	var open []caowner.Call
	heartbeats, most := 0, 0
	for now := settled; now < 42*time.Second; now += 50 * time.Millisecond {
		for _, c := range open {
			if c.Kind == caowner.CallKindClaim {
				f.grant(now, c)
			} else {
				f.HandleAnswer(at(now), caowner.Answer{Call: c})
			}
		}
		f.epoch += 1000
		open = f.Tick(at(now))
		if now >= 22*time.Second {
			heartbeats, most = heartbeats+len(open), max(most, len(open))
		}
	}
	if most > 64 || heartbeats < 910*19 || heartbeats > 910*20 {
		t.Errorf("%d heartbeats in 20 s, at most %d at once, want 910 a second and at most 64", heartbeats, most)
	}
	if got := len(f.Owned(at(42 * time.Second))); got != 910 {
		t.Errorf("owns %d upstreams, want 910", got)
	}
}

// Of 13 upstreams, none of three entries is to own more than 5, and neither of
// two more than 7 after the third has given up all.
func TestUpstreamsAreSpreadEvenly(t *testing.T) {
	var upstreams []string
	for i := range 13 {
		upstreams = append(upstreams, fmt.Sprint("upstream-", i))
	}
	f := newFixture(t, upstreams...)
	largest := func(entries ...caowner.Entry) int {
		f.SetEntries(entries)
		f.Tick(start)
		owned := map[cawork.VMID]int{}
		for _, u := range upstreams {
			owned[f.Desired(cawork.UpstreamID(u))]++
		}
		return slices.Max(slices.Collect(maps.Values(owned)))
	}
	e1, e2, e3 := caowner.Entry{VM: "e1"}, caowner.Entry{VM: "e2"}, caowner.Entry{VM: "e3"}
	even := largest(e1, e2, e3)
	e3.Unreachable = []cawork.UpstreamID{caowner.AllUpstreams}
	if diff := cmp.Diff([]int{5, 7}, []int{even, largest(e1, e2, e3)}); diff != "" {
		t.Errorf("largest numbers of upstreams (-want +got):\n%s", diff)
	}
}

func TestSilenceCountsFromTheLastAnswer(t *testing.T) {
	f := newFixture(t, "u1")
	lost := errors.New("no answer")
	silences := []time.Duration{f.Silence(at(time.Second), "u1"), f.Silence(at(time.Second), "never listed")}
	c := f.one(settled, caowner.CallKindClaim)
	f.grant(settled+time.Millisecond, c)
	c = f.one(settled+time.Millisecond, caowner.CallKindHeartbeat)
	f.HandleAnswer(at(4*time.Second), caowner.Answer{Call: c, Err: cakind.Wrap(cakind.KindUnknown, lost, "heartbeat")})
	silences = append(silences, f.Silence(at(10*time.Second), "u1"))
	c = f.one(10*time.Second, caowner.CallKindClaim)
	f.HandleAnswer(at(11*time.Second), caowner.Answer{Call: c, Err: cakind.New(cakind.KindFenced, "another owner")})
	silences = append(silences, f.Silence(at(12*time.Second), "u1"))
	want := []time.Duration{time.Second, 0, 8*time.Second - time.Millisecond, time.Second}
	if diff := cmp.Diff(want, silences); diff != "" {
		t.Errorf("silences mismatch (-want +got):\n%s", diff)
	}
}

// TestTasksLapseAfter keeps the bound of the silence above each way in which a
// lease may be renewed late.
func TestTasksLapseAfter(t *testing.T) {
	c := caowner.DefaultConfig()
	lateStart := validFor + c.LateDelivery + c.TaskTTL
	lateHeartbeat := validFor + c.LateDelivery + c.TTL + c.TaskTTL
	for _, needed := range []time.Duration{lateStart, lateHeartbeat} {
		slowAgent := time.Duration(float64(needed) / (1 - c.MaxDrift))
		if got := c.TasksLapseAfter(); got < slowAgent {
			t.Errorf("TasksLapseAfter() = %v, less than %v", got, slowAgent)
		}
	}
}
