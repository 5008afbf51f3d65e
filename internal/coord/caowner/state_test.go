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

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

// settleTime is the time after start from which the entry may claim.
const settleTime = 2 * time.Second

// validFor is the time for which a lease of 3 s is trusted after its call was
// sent: 3 s / 1.04 - 200 ms.
const validFor = 3*time.Second*100/104 - 200*time.Millisecond

// fixture is the State of the entry e1 in zone z.
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
	f.setListed(0, caplatform.VMStateLive, upstreams...)
	f.wantEvents(slices.Repeat([]caowner.EventKind{caowner.EventKindListed}, len(upstreams))...)
	t.Cleanup(func() {
		if v := check.Violations(); len(v) > 0 {
			t.Errorf("violations: %v", v)
		}
	})
	return f
}

// setListed lists the upstreams in the state, beside an upstream of another zone
// and an entry, which must be ignored.
func (f *fixture) setListed(d time.Duration, state caplatform.VMState, upstreams ...string) {
	vms := []caplatform.VM{
		{ID: "other", Role: caplatform.VMRoleUpstream, Zone: "other"},
		{ID: "e1", Role: caplatform.VMRoleEntry, Zone: "z"},
	}
	for _, u := range upstreams {
		vms = append(vms, caplatform.VM{ID: cawork.VMID(u), Role: caplatform.VMRoleUpstream, Zone: "z", State: state, Address: u})
	}
	f.SetUpstreams(at(d), vms)
}

// wantCall returns the only call that is due and fails unless it is of the kind.
func (f *fixture) wantCall(d time.Duration, kind caowner.CallKind) caowner.Call {
	f.t.Helper()
	calls := f.Tick(at(d))
	if len(calls) != 1 || calls[0].Kind != kind {
		f.t.Fatalf("calls at %v: %v, want one %s", d, calls, kind)
	}
	return calls[0]
}

func (f *fixture) wantNoCalls(d time.Duration) {
	f.t.Helper()
	if calls := f.Tick(at(d)); len(calls) > 0 {
		f.t.Fatalf("calls at %v: %v, want none", d, calls)
	}
}

func (f *fixture) grant(d time.Duration, c caowner.Call) {
	f.epoch++
	f.HandleCallResult(at(d), caowner.CallResult{Call: c, Claim: caplatform.ClaimResult{
		Granted: true, Ownership: caplatform.Ownership{Holder: "e1", Epoch: f.epoch},
	}})
}

func (f *fixture) renew(d time.Duration, c caowner.Call, changed ...caplatform.TaskStatus) {
	f.HandleCallResult(at(d), caowner.CallResult{Call: c, Heartbeat: caplatform.HeartbeatResult{Sequence: 5, Changed: changed}})
}

func (f *fixture) fail(d time.Duration, c caowner.Call, k cakind.Kind) {
	f.HandleCallResult(at(d), caowner.CallResult{Call: c, Err: cakind.New(k, "test")})
}

// gainOwnership makes e1 the owner of u at settleTime.
func (f *fixture) gainOwnership() {
	f.t.Helper()
	f.grant(settleTime, f.wantCall(settleTime, caowner.CallKindClaim))
	f.renew(settleTime, f.wantCall(settleTime, caowner.CallKindHeartbeat))
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

// The number of requests of former owners must be reported with the claim and
// again whenever it decreases, and each lease must hold the current one.
func TestFormerRequestsAreReported(t *testing.T) {
	f := newFixture(t, "u")
	c := f.wantCall(settleTime, caowner.CallKindClaim)
	f.HandleCallResult(at(settleTime), caowner.CallResult{Call: c, Claim: caplatform.ClaimResult{
		Granted: true, Ownership: caplatform.Ownership{Holder: "e1", Epoch: 1}, FormerRequests: 8,
	}})
	got := []int{f.wantEvents(caowner.EventKindGained)[0].FormerRequests}
	for i, former := range []int{8, 3, 3, 0} {
		d := settleTime + time.Duration(i)*2*time.Second
		c = f.wantCall(d, caowner.CallKindHeartbeat)
		f.HandleCallResult(at(d), caowner.CallResult{Call: c, Heartbeat: caplatform.HeartbeatResult{FormerRequests: former}})
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

// Guards against counting a lease from the arrival of the answer, which would
// let an owner trust it longer than the agent grants it.
func TestLeaseStartsWhenTheCallIsSent(t *testing.T) {
	f := newFixture(t, "u")
	f.wantNoCalls(settleTime - time.Millisecond)
	c := f.wantCall(settleTime, caowner.CallKindClaim)
	f.wantNoCalls(settleTime + time.Second)
	f.grant(settleTime+time.Second, c)
	f.wantEvents(caowner.EventKindGained)
	f.wantLease(settleTime+validFor-1, true)
	f.wantLease(settleTime+validFor, false)

	c = f.wantCall(settleTime+time.Second, caowner.CallKindHeartbeat)
	if diff := cmp.Diff(caplatform.Heartbeat{
		Holder: "e1", Epoch: 1, TTL: 3 * time.Second, TaskTTL: 10 * time.Second,
	}, c.Heartbeat); diff != "" {
		t.Errorf("heartbeat mismatch (-want +got):\n%s", diff)
	}
	f.renew(settleTime+2*time.Second, c, caplatform.TaskStatus{Attempt: "a"})
	f.wantEvents(caowner.EventKindTasksChanged)
	f.wantLease(settleTime+time.Second+validFor-1, true)
	f.wantLease(settleTime+time.Second+validFor, false)
	if diff := cmp.Diff([]cawork.UpstreamID{"u"}, f.Owned(at(settleTime+2*time.Second))); diff != "" {
		t.Errorf("owned mismatch (-want +got):\n%s", diff)
	}
}

// Guards against using a lease that has already expired when the answer to its
// claim arrives.
func TestLateClaimAnswerIsNotUsed(t *testing.T) {
	f := newFixture(t, "u")
	f.grant(settleTime+4*time.Second, f.wantCall(settleTime, caowner.CallKindClaim))
	f.wantEvents()
	f.wantLease(settleTime+4*time.Second, false)
	f.wantCall(settleTime+4*time.Second, caowner.CallKindClaim)
}

// An owner whose heartbeats all fail must keep its lease until it expires, then
// report the loss and claim the upstream again.
func TestLapsedLeaseIsClaimedAgain(t *testing.T) {
	f := newFixture(t, "u")
	f.gainOwnership()
	var now time.Duration
	for now = settleTime; now < settleTime+validFor; now += 50 * time.Millisecond {
		for _, c := range f.Tick(at(now)) {
			f.fail(now, c, cakind.KindUnknown)
		}
		f.wantEvents()
	}
	c := f.wantCall(now, caowner.CallKindClaim)
	events := f.wantEvents(caowner.EventKindLost)
	if diff := cmp.Diff(caowner.ReasonLapsed, events[0].Reason); diff != "" {
		t.Errorf("reason mismatch (-want +got):\n%s", diff)
	}
	f.grant(now, c)
	f.wantEvents(caowner.EventKindGained)
}

// Guards against starts under an old epoch: an owner that the agent refuses as
// fenced must stop using its lease before that expires.
func TestFencedOwnerLosesItsLease(t *testing.T) {
	f := newFixture(t, "u")
	f.gainOwnership()
	c := f.wantCall(settleTime+time.Second, caowner.CallKindHeartbeat)
	f.fail(settleTime+time.Second, c, cakind.KindFenced)
	events := f.wantEvents(caowner.EventKindLost)
	if diff := cmp.Diff(caowner.ReasonFenced, events[0].Reason); diff != "" {
		t.Errorf("reason mismatch (-want +got):\n%s", diff)
	}
	f.wantLease(settleTime+time.Second, false)
	f.wantCall(settleTime+time.Second, caowner.CallKindClaim)
}

// higherRanked returns an entry that is preferred to e1 as the owner of u.
func higherRanked(f *fixture) cawork.VMID {
	for i := range 100 {
		vm := cawork.VMID(fmt.Sprintf("e%d", i+2))
		g := newFixture(f.t, "u")
		g.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, {VM: vm, Since: start}})
		if len(g.Tick(at(settleTime))) == 0 {
			return vm
		}
	}
	f.t.Fatal("none of 100 entries is preferred to e1")
	return ""
}

// Guards against releasing an upstream to an entry that has just joined and may
// not claim yet. The release is retried until the agent answers it.
func TestReleaseWaitsUntilTheNewEntryHasSettled(t *testing.T) {
	f := newFixture(t, "u")
	f.gainOwnership()
	joined := settleTime + 100*time.Millisecond
	newEntry := caowner.Entry{VM: higherRanked(f), Since: at(joined)}
	f.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, newEntry})
	c := f.wantCall(settleTime+time.Second, caowner.CallKindHeartbeat)
	f.renew(settleTime+time.Second, c)
	f.wantEvents()
	c = f.wantCall(joined+settleTime, caowner.CallKindRelease)
	if diff := cmp.Diff(caplatform.Ownership{Holder: "e1", Epoch: 1}, c.Release); diff != "" {
		t.Errorf("release mismatch (-want +got):\n%s", diff)
	}
	f.wantEvents(caowner.EventKindReleased)
	f.wantLease(joined+settleTime, false)
	f.fail(joined+settleTime, c, cakind.KindUnknown)
	c = f.wantCall(joined+settleTime+100*time.Millisecond, caowner.CallKindRelease)
	f.fail(joined+settleTime+100*time.Millisecond, c, cakind.KindFenced)
	f.wantNoCalls(joined + settleTime + time.Minute)

	newEntry.Unreachable = []cawork.UpstreamID{"u"}
	f.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, newEntry})
	f.wantCall(10*time.Second, caowner.CallKindClaim)
}

// Guards against a drain that ends while a claim is in flight: its lease must be
// released once it is granted.
func TestDrainReleasesAClaimInFlight(t *testing.T) {
	f := newFixture(t, "u")
	c := f.wantCall(settleTime, caowner.CallKindClaim)
	f.Drain()
	if f.Drained() {
		t.Error("drained while a claim is in flight")
	}
	f.grant(settleTime, c)
	f.wantEvents()
	f.HandleCallResult(at(settleTime), caowner.CallResult{Call: f.wantCall(settleTime, caowner.CallKindRelease)})
	if !f.Drained() {
		t.Error("not drained after the release")
	}
	f.wantNoCalls(time.Minute)
}

// An upstream that is leaving or missing from the list must stay owned. It is
// removed when it is listed as gone.
func TestListChangesEmitEvents(t *testing.T) {
	f := newFixture(t, "u")
	f.gainOwnership()
	f.setListed(settleTime, caplatform.VMStateLeaving, "u")
	f.wantEvents(caowner.EventKindLeaving)
	f.wantLease(settleTime, true)
	f.setListed(settleTime, caplatform.VMStateLive, "u")
	f.wantEvents(caowner.EventKindListed)
	f.setListed(settleTime, caplatform.VMStateLive)
	f.wantEvents(caowner.EventKindLeaving)
	f.wantLease(settleTime, true)
	f.setListed(settleTime, caplatform.VMStateGone, "u")
	f.wantEvents(caowner.EventKindLost, caowner.EventKindUnlisted)
	f.setListed(settleTime, caplatform.VMStateGone, "u")
	f.wantEvents()
}

// Guards against applying the answer to a claim after its upstream was removed
// and listed again.
func TestAnswerFromBeforeRelistingIsIgnored(t *testing.T) {
	f := newFixture(t, "u")
	c := f.wantCall(settleTime, caowner.CallKindClaim)
	f.setListed(settleTime, caplatform.VMStateGone, "u")
	f.setListed(settleTime, caplatform.VMStateLive, "u")
	f.wantEvents(caowner.EventKindUnlisted, caowner.EventKindListed)
	secondCall := f.wantCall(settleTime, caowner.CallKindClaim)
	f.grant(settleTime, c)
	f.wantEvents()
	f.grant(settleTime, secondCall)
	f.wantEvents(caowner.EventKindGained)
}

// An upstream is unreachable after a few seconds of failed claims. It must then
// be probed every 3 s until it answers.
func TestFailingUpstreamBecomesUnreachable(t *testing.T) {
	f := newFixture(t, "u")
	var now time.Duration
	for now = settleTime; len(f.Unreachable()) == 0 && now < time.Minute; now += 50 * time.Millisecond {
		for _, c := range f.Tick(at(now)) {
			f.fail(now, c, cakind.KindUnknown)
		}
	}
	if now < settleTime+4*time.Second || now > settleTime+15*time.Second {
		t.Errorf("unreachable after %v, want between 4 and 15 s of failures", now-settleTime)
	}
	f.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, {VM: "e2", Since: start}})
	c := f.wantCall(now+3*time.Second, caowner.CallKindProbe)
	f.fail(now+3*time.Second, c, cakind.KindUnknown)
	c = f.wantCall(now+6*time.Second, caowner.CallKindProbe)
	f.HandleCallResult(at(now+6*time.Second), caowner.CallResult{Call: c})
	if got := f.Unreachable(); len(got) > 0 {
		t.Errorf("unreachable after an answer: %v", got)
	}
}

// With more than MaxUnreachable upstreams unreachable, an entry announces
// AllUpstreams, and another entry must claim what it was the desired owner of.
func TestEntryThatReachesNoUpstreamIsNotDesired(t *testing.T) {
	var names []string
	for i := range 17 {
		names = append(names, fmt.Sprintf("u%d", i))
	}
	f := newFixture(t, names...)
	for now := settleTime; now < 20*time.Second; now += 50 * time.Millisecond {
		for _, c := range f.Tick(at(now)) {
			f.fail(now, c, cakind.KindUnknown)
		}
	}
	unreachable := f.Unreachable()
	if diff := cmp.Diff([]cawork.UpstreamID{caowner.AllUpstreams}, unreachable); diff != "" {
		t.Fatalf("unreachable mismatch (-want +got):\n%s", diff)
	}
	g := newFixture(t, "u")
	higherRankedEntry := caowner.Entry{VM: higherRanked(g), Since: start}
	g.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, higherRankedEntry})
	g.wantNoCalls(settleTime)
	higherRankedEntry.Unreachable = unreachable
	g.SetEntries([]caowner.Entry{{VM: "e1", Since: start}, higherRankedEntry})
	g.wantCall(settleTime, caowner.CallKindClaim)
}

// 910 upstreams that are claimed together must each get one heartbeat a second,
// staggered so that no more than Concurrency calls are open at once.
func TestHeartbeatsAreSpreadAndBounded(t *testing.T) {
	var names []string
	for i := range 910 {
		names = append(names, fmt.Sprintf("u%d", i))
	}
	f := newFixture(t, names...)
	var open []caowner.Call
	heartbeats, maxOpen := 0, 0
	for now := settleTime; now < 42*time.Second; now += 50 * time.Millisecond {
		for _, c := range open {
			if c.Kind == caowner.CallKindClaim {
				f.grant(now, c)
			} else {
				f.HandleCallResult(at(now), caowner.CallResult{Call: c})
			}
		}
		f.epoch += 1000
		open = f.Tick(at(now))
		if now >= 22*time.Second {
			heartbeats, maxOpen = heartbeats+len(open), max(maxOpen, len(open))
		}
	}
	if maxOpen > 64 || heartbeats < 910*19 || heartbeats > 910*20 {
		t.Errorf("%d heartbeats in 20 s, at most %d at once, want 910 a second and at most 64", heartbeats, maxOpen)
	}
	if got := len(f.Owned(at(42 * time.Second))); got != 910 {
		t.Errorf("owns %d upstreams, want 910", got)
	}
}

// 13 upstreams must be divided evenly: at most 5 for each of three entries, and
// at most 7 for each of two when the third reaches no upstream.
func TestUpstreamsAreSpreadEvenly(t *testing.T) {
	var upstreams []string
	for i := range 13 {
		upstreams = append(upstreams, fmt.Sprint("upstream-", i))
	}
	f := newFixture(t, upstreams...)
	largestCount := func(entries ...caowner.Entry) int {
		f.SetEntries(entries)
		f.Tick(start)
		owned := map[cawork.VMID]int{}
		for _, u := range upstreams {
			owned[f.DesiredOwner(cawork.UpstreamID(u))]++
		}
		return slices.Max(slices.Collect(maps.Values(owned)))
	}
	e1, e2, e3 := caowner.Entry{VM: "e1"}, caowner.Entry{VM: "e2"}, caowner.Entry{VM: "e3"}
	withThree := largestCount(e1, e2, e3)
	e3.Unreachable = []cawork.UpstreamID{caowner.AllUpstreams}
	if diff := cmp.Diff([]int{5, 7}, []int{withThree, largestCount(e1, e2, e3)}); diff != "" {
		t.Errorf("largest numbers of upstreams (-want +got):\n%s", diff)
	}
}

func TestSilenceCountsFromTheLastAnswer(t *testing.T) {
	f := newFixture(t, "u1")
	errNoAnswer := errors.New("no answer")
	silences := []time.Duration{f.TimeSinceAnswer(at(time.Second), "u1"), f.TimeSinceAnswer(at(time.Second), "never listed")}
	c := f.wantCall(settleTime, caowner.CallKindClaim)
	f.grant(settleTime+time.Millisecond, c)
	c = f.wantCall(settleTime+time.Millisecond, caowner.CallKindHeartbeat)
	f.HandleCallResult(at(4*time.Second), caowner.CallResult{Call: c, Err: cakind.Wrap(cakind.KindUnknown, errNoAnswer, "heartbeat")})
	silences = append(silences, f.TimeSinceAnswer(at(10*time.Second), "u1"))
	c = f.wantCall(10*time.Second, caowner.CallKindClaim)
	f.HandleCallResult(at(11*time.Second), caowner.CallResult{Call: c, Err: cakind.New(cakind.KindFenced, "another owner")})
	silences = append(silences, f.TimeSinceAnswer(at(12*time.Second), "u1"))
	want := []time.Duration{time.Second, 0, 8*time.Second - time.Millisecond, time.Second}
	if diff := cmp.Diff(want, silences); diff != "" {
		t.Errorf("silences mismatch (-want +got):\n%s", diff)
	}
}

// TestTasksLapseAfter checks that the bound covers a late start and a late
// heartbeat on an agent with a slow clock.
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
