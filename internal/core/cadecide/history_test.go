package cadecide_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/canaive"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// init sets the default seed and length of the histories; command-line flags
// override them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20260", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var teamNames = []cawork.TeamName{"north", "east", "south"}

// history applies random events to a scheduler and keeps its own record of the
// decisions to check them.
type history struct {
	t         *rapid.T
	s         casched.Scheduler
	now       time.Time
	policy    casched.Policy
	upstreams map[cawork.UpstreamID]casched.Upstream
	// lastUpstreams has the last description of each upstream, also of removed
	// ones.
	lastUpstreams map[cawork.UpstreamID]casched.Upstream
	allowance     map[cawork.TeamName]cawork.Resources
	jobs          map[cawork.JobID]cawork.Job
	done          map[cawork.TaskRef]bool
	open          map[cawork.TaskRef]casched.Placement
	foreign       map[cawork.TaskRef]bool
	reserved      map[casched.ReservationID]casched.Reservation
	requests      map[casched.ReservationID]casched.ReserveRequest
	nextID        int
}

func newHistory(t *rapid.T, build func(casched.Policy, func(*casched.Violation)) casched.Scheduler) *history {
	p := casched.DefaultPolicy()
	for i, n := range teamNames {
		p = p.WithTeam(n, casched.TeamPolicy{Weight: i + 1, Limit: casched.Unlimited()})
	}
	gang := p.Kind(cawork.WorkKindGang)
	gang.QueueBound = 30
	p = p.WithKind(cawork.WorkKindGang, gang)
	h := &history{
		t: t, now: time.Unix(1e9, 0), policy: p,
		upstreams:     map[cawork.UpstreamID]casched.Upstream{},
		lastUpstreams: map[cawork.UpstreamID]casched.Upstream{},
		allowance:     map[cawork.TeamName]cawork.Resources{},
		jobs:          map[cawork.JobID]cawork.Job{},
		done:          map[cawork.TaskRef]bool{},
		open:          map[cawork.TaskRef]casched.Placement{},
		foreign:       map[cawork.TaskRef]bool{},
		reserved:      map[casched.ReservationID]casched.Reservation{},
		requests:      map[casched.ReservationID]casched.ReserveRequest{},
	}
	h.s = build(p, func(v *casched.Violation) { t.Fatal(v) })
	for range 3 {
		h.putUpstream()
	}
	for _, n := range teamNames {
		h.allowance[n] = cawork.Resources{CPU: cawork.Cores(30), Memory: 120 * cawork.GiB, Accelerators: 4}
		h.s.SetAllowance(n, h.allowance[n], h.now)
	}
	return h
}

func (h *history) name(prefix string) string {
	h.nextID++
	return fmt.Sprintf("%s%d", prefix, h.nextID)
}

func (h *history) size() cawork.Resources {
	return cawork.Resources{
		CPU:          cawork.MilliCPU(rapid.Int64Range(1, 8).Draw(h.t, "cpu") * 500),
		Memory:       cawork.Bytes(rapid.Int64Range(1, 16).Draw(h.t, "memory")) * cawork.GiB,
		Accelerators: max(0, rapid.Int64Range(-6, 1).Draw(h.t, "accelerators")),
	}
}

func (h *history) submit() {
	spec := cawork.JobSpec{
		Kind:       rapid.SampledFrom(cawork.WorkKindValues()).Draw(h.t, "kind"),
		Tasks:      rapid.IntRange(1, 6).Draw(h.t, "tasks"),
		Size:       h.size(),
		RunTime:    time.Duration(rapid.IntRange(0, 300).Draw(h.t, "run_time")) * time.Second,
		Urgent:     rapid.IntRange(0, 4).Draw(h.t, "urgent") == 0,
		Idempotent: rapid.Bool().Draw(h.t, "idempotent"),
	}
	if rapid.IntRange(0, 3).Draw(h.t, "has_deadline") == 0 {
		spec.Deadline = time.Duration(rapid.IntRange(1, 200).Draw(h.t, "deadline")) * time.Second
	}
	if rapid.IntRange(0, 5).Draw(h.t, "has_rack") == 0 {
		spec.Constraints.Rack = "r1"
	}
	j := cawork.Job{ID: cawork.JobID(h.name("j")), Team: h.team(), Spec: spec, Accepted: h.now}
	before := h.s.QueueLength(j.Team, spec.Kind)
	err := h.s.Submit(j, h.now)
	if err == nil {
		h.jobs[j.ID] = j
		return
	}
	if !cakind.ResponseTo(cakind.Of(err)).Retryable && cakind.Of(err) != cakind.KindNeverFits {
		h.t.Fatalf("unexpected refusal: %v", err)
	}
	if after := h.s.QueueLength(j.Team, spec.Kind); after != before {
		h.t.Fatalf("a refused job changed the queue from %d to %d", before, after)
	}
}

func (h *history) team() cawork.TeamName { return rapid.SampledFrom(teamNames).Draw(h.t, "team") }

func (h *history) putUpstream() {
	id := cawork.UpstreamID(fmt.Sprintf("u%d", rapid.IntRange(0, 5).Draw(h.t, "upstream")))
	u, ok := h.lastUpstreams[id]
	if !ok {
		u = casched.Upstream{
			ID: id, Zone: "z", Rack: cawork.RackName(rapid.SampledFrom([]string{"r1", "r2"}).Draw(h.t, "rack")),
			Capacity: cawork.Resources{
				CPU: cawork.Cores(8), Memory: 32 * cawork.GiB,
				Accelerators: rapid.Int64Range(0, 2).Draw(h.t, "accelerators"),
			},
			Slots: 4, Connections: 8,
		}
	}
	u.Leaving = rapid.IntRange(0, 5).Draw(h.t, "leaving") == 0
	h.upstreams[id], h.lastUpstreams[id] = u, u
	h.s.PutUpstream(u, h.now)
	for _, p := range h.sortedOpen() {
		if p.Upstream == id {
			h.s.Adopt(h.status(p), id, h.now)
		}
	}
}

func (h *history) isOpen(ref cawork.TaskRef) bool {
	_, ok := h.open[ref]
	return ok
}

func (h *history) status(p casched.Placement) caplatform.TaskStatus {
	st := caplatform.TaskStatus{Task: p.Task, Size: p.Size, State: cawork.TaskStateRunning, Team: teamNames[0]}
	if j, ok := h.jobs[p.Task.Job]; ok {
		st.Team, st.Kind = j.Team, j.Spec.Kind
	}
	return st
}

func (h *history) removeUpstream() {
	id, ok := pickKey(h.t, h.upstreams)
	if !ok {
		return
	}
	delete(h.upstreams, id)
	h.s.RemoveUpstream(id, h.now)
}

func (h *history) setAllowance() {
	n := h.team()
	h.allowance[n] = cawork.Resources{
		CPU:          cawork.Cores(rapid.Int64Range(0, 40).Draw(h.t, "cpu")),
		Memory:       cawork.Bytes(rapid.Int64Range(0, 160).Draw(h.t, "memory")) * cawork.GiB,
		Accelerators: rapid.Int64Range(0, 4).Draw(h.t, "accelerators"),
	}
	h.s.SetAllowance(n, h.allowance[n], h.now)
}

func (h *history) setPolicy() {
	h.policy = h.policy.
		WithBackfill(rapid.Bool().Draw(h.t, "backfill")).
		WithCorrection(rapid.Bool().Draw(h.t, "correction")).
		WithTeam(h.team(), casched.TeamPolicy{
			Weight: rapid.IntRange(1, 5).Draw(h.t, "weight"), Limit: casched.Unlimited(),
		})
	h.s.SetPolicy(h.policy, h.now)
}

func (h *history) cancel() {
	id, ok := pickKey(h.t, h.jobs)
	if !ok {
		return
	}
	c, err := h.s.Cancel(id, h.now)
	if err != nil {
		if cakind.Of(err) != cakind.KindNotFound {
			h.t.Fatal(err)
		}
		return
	}
	for _, p := range c.Running {
		if !h.isOpen(p.Task) {
			h.t.Fatalf("cancelled task %v is not open", p.Task)
		}
	}
}

func (h *history) endTask() {
	ref, ok := h.pickOpen()
	if !ok {
		return
	}
	states := []cawork.TaskState{
		cawork.TaskStateDone, cawork.TaskStateDone, cawork.TaskStateDone, cawork.TaskStateFailed,
		cawork.TaskStateStopped, cawork.TaskStateCheckpointed, cawork.TaskStateLapsed, cawork.TaskStateFenced,
	}
	state := rapid.SampledFrom(states).Draw(h.t, "state")
	used := h.size()
	out := h.s.Ended(casched.AttemptEnd{Task: ref, State: state, Used: used, Elapsed: time.Minute}, h.now)
	h.applySettlement(ref, state, out)
}

func (h *history) failStart() {
	ref, ok := h.pickOpen()
	if !ok {
		return
	}
	notRun := rapid.Bool().Draw(h.t, "not_run")
	out := h.s.StartFailed(ref, notRun, h.now)
	if notRun {
		h.applySettlement(ref, cawork.TaskStateFenced, out)
	}
}

func (h *history) withdraw() {
	if ref, ok := h.pickOpen(); ok {
		h.applySettlement(ref, cawork.TaskStateFenced, h.s.Withdrawn(ref, h.now))
	}
}

func (h *history) applySettlement(ref cawork.TaskRef, state cawork.TaskState, out casched.AttemptResult) {
	delete(h.open, ref)
	if !out.WasOpen {
		h.t.Fatalf("open task %v is unknown to the scheduler", ref)
	}
	if h.foreign[ref] == out.Own {
		h.t.Fatalf("task %v: settlement has Own %v", ref, out.Own)
	}
	if !out.Own {
		return
	}
	ran := state != cawork.TaskStateFenced && state != cawork.TaskStateCheckpointed
	if j := h.jobs[ref.Job]; out.Requeued && ran && !j.Spec.Idempotent {
		h.t.Fatalf("task %v ran and is not idempotent but was queued again", ref)
	}
	h.done[ref] = !out.Requeued
}

func (h *history) reportUsage() {
	if ref, ok := h.pickOpen(); ok {
		h.s.ReportUsage(ref, h.size(), h.now)
	}
}

func (h *history) markUpstream() {
	if id, ok := pickKey(h.t, h.upstreams); ok {
		h.s.ReportUpstreamResult(id, rapid.Bool().Draw(h.t, "failed"), h.now)
	}
}

func (h *history) reserve() {
	r := casched.ReserveRequest{
		ID: casched.ReservationID(h.name("v")), Job: cawork.JobID(h.name("f")), Team: h.team(),
		Kind: cawork.WorkKindBatch, Size: h.size(), Min: 1, Count: rapid.IntRange(1, 4).Draw(h.t, "count"),
		Expires: h.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(h.t, "expires")) * time.Second),
	}
	out, err := h.s.Reserve(r, h.now)
	if err != nil {
		return
	}
	h.reserved[r.ID], h.requests[r.ID] = out, r
	h.checkCommitments()
}

func (h *history) commitOrRelease() {
	id, ok := pickKey(h.t, h.reserved)
	if !ok {
		return
	}
	res, r := h.reserved[id], h.requests[id]
	delete(h.reserved, id)
	if rapid.Bool().Draw(h.t, "release") {
		h.s.ReleaseReservation(id, h.now)
		return
	}
	var refs []cawork.TaskRef
	for i := range res.Upstreams {
		refs = append(refs, cawork.TaskRef{Job: r.Job, Index: i})
	}
	if err := h.s.CommitReservation(id, refs, h.now); err != nil {
		if h.now.Before(r.Expires) {
			h.t.Fatal(err)
		}
		return
	}
	for i, ref := range refs {
		h.open[ref] = casched.Placement{Task: ref, Upstream: res.Upstreams[i], Size: r.Size}
		h.foreign[ref] = true
	}
}

// placeReserved places a job that was offered to other entries: on a local
// reservation as far as it goes, and otherwise on an upstream of another entry.
func (h *history) placeReserved() {
	offers := h.s.UnplacedJobs(4, h.now)
	if len(offers) == 0 {
		return
	}
	u := rapid.SampledFrom(offers).Draw(h.t, "offer")
	r := casched.ReserveRequest{
		ID: casched.ReservationID(h.name("v")), Job: u.Job, Team: u.Team, Kind: u.Kind, Size: u.Size,
		Constraints: u.Constraints, Min: 1, Count: len(u.Tasks), Expires: h.now.Add(time.Minute),
	}
	local, err := h.s.Reserve(r, h.now)
	var placements []casched.Placement
	for i, ref := range u.Tasks {
		p := casched.Placement{Task: ref, Upstream: "elsewhere", Size: u.Size}
		if i < len(local.Upstreams) {
			p.Upstream = local.Upstreams[i]
		}
		placements = append(placements, p)
	}
	id := casched.ReservationID("")
	if err == nil {
		id = local.ID
	}
	if u.Kind == cawork.WorkKindGang && len(placements) > 1 {
		if _, err := h.s.PlaceReserved(placements[1:], id, h.now); cakind.Of(err) != cakind.KindConflict {
			h.t.Fatalf("placing a part of a gang returned error %v, want KindConflict", err)
		}
	}
	d, err := h.s.PlaceReserved(placements, id, h.now)
	if err != nil {
		h.t.Fatal(err)
	}
	for _, p := range d.Placements {
		h.open[p.Task] = p
	}
	if use := h.use(u.Team); !use.Fits(h.allowance[u.Team]) {
		h.t.Fatalf("team %s uses %v of an allowance of %v", u.Team, use, h.allowance[u.Team])
	}
	h.checkCommitments()
}

func (h *history) setRemoteUse() {
	h.s.SetRemoteUse(casched.RemoteUse{
		Capacity: cawork.Resources{CPU: cawork.Cores(20), Memory: 80 * cawork.GiB, Accelerators: 1},
		Teams:    []casched.TeamUse{{Team: h.team(), Use: h.size()}},
	}, h.now)
}

func (h *history) decide() {
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(h.t, "seconds")) * time.Second)
	for {
		out := h.s.Decide(h.now)
		for _, d := range out {
			h.apply(d)
		}
		if len(out) == 0 {
			break
		}
	}
	for id, r := range h.requests {
		if !h.now.Before(r.Expires) {
			delete(h.reserved, id)
		}
	}
	h.checkCommitments()
}

func (h *history) apply(d casched.Decision) {
	if d.Text() == "" {
		h.t.Fatal("a decision without text")
	}
	switch d.Kind {
	case casched.DecisionPlace, casched.DecisionPlaceGang:
		h.place(d)
	case casched.DecisionCheckpoint, casched.DecisionStop, casched.DecisionThrottle:
		if !h.isOpen(d.Placements[0].Task) {
			h.t.Fatalf("%v of task %v that is not open", d.Kind, d.Placements[0].Task)
		}
	case casched.DecisionExpire:
		delete(h.jobs, d.Job)
	}
}

func (h *history) place(d casched.Decision) {
	j := h.jobs[d.Job]
	for _, p := range d.Placements {
		if h.isOpen(p.Task) || h.done[p.Task] || p.Task.Index >= j.Spec.Tasks {
			h.t.Fatalf("task %v is placed but is already open, has ended or does not exist", p.Task)
		}
		u, ok := h.upstreams[p.Upstream]
		if !ok || u.Leaving || !u.Admits(j.Spec.Constraints) {
			h.t.Fatalf("task %v is placed on %+v, which does not admit it", p.Task, u)
		}
		h.open[p.Task] = p
	}
	if j.Spec.Kind == cawork.WorkKindGang {
		for i := range j.Spec.Tasks {
			ref := cawork.TaskRef{Job: j.ID, Index: i}
			if !h.isOpen(ref) && !h.done[ref] {
				h.t.Fatalf("gang %s started without task %d", j.ID, i)
			}
		}
	}
	if use := h.use(j.Team); !use.Fits(h.allowance[j.Team]) {
		h.t.Fatalf("team %s uses %v of an allowance of %v", j.Team, use, h.allowance[j.Team])
	}
}

func (h *history) use(team cawork.TeamName) cawork.Resources {
	var use cawork.Resources
	for ref, p := range h.open {
		if j, ok := h.jobs[ref.Job]; ok && j.Team == team {
			use = use.Plus(p.Size)
		}
	}
	return use
}

// checkCommitments verifies from the recorded sizes that no upstream is
// overcommitted. Sizes that have grown since are verified by Scheduler.Check.
func (h *history) checkCommitments() {
	used := map[cawork.UpstreamID]cawork.Resources{}
	for _, p := range h.open {
		used[p.Upstream] = used[p.Upstream].Plus(p.Size)
	}
	for id, r := range h.reserved {
		for _, u := range r.Upstreams {
			used[u] = used[u].Plus(h.requests[id].Size)
		}
	}
	for id, u := range h.upstreams {
		if !used[id].Fits(u.Capacity) {
			h.t.Fatalf("upstream %s has %v of %v committed", id, used[id], u.Capacity)
		}
	}
}

func (h *history) check() {
	if err := h.s.Check(); err != nil {
		h.t.Fatal(err)
	}
}

// sortedOpen returns the open tasks in a fixed order.
func (h *history) sortedOpen() []casched.Placement {
	var out []casched.Placement
	for _, p := range h.open {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b casched.Placement) int {
		return compareRefs(a.Task, b.Task)
	})
	return out
}

func compareRefs(a, b cawork.TaskRef) int {
	if a.Job != b.Job {
		if a.Job < b.Job {
			return -1
		}
		return 1
	}
	return a.Index - b.Index
}

func (h *history) pickOpen() (cawork.TaskRef, bool) {
	open := h.sortedOpen()
	if len(open) == 0 {
		return cawork.TaskRef{}, false
	}
	return rapid.SampledFrom(open).Draw(h.t, "open").Task, true
}

// pickKey draws a random key of the map, and reports whether there is one.
func pickKey[K ~string, V any](t *rapid.T, m map[K]V) (K, bool) {
	var keys []K
	for k := range m {
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return "", false
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(t, "key"), true
}

func runHistory(t *rapid.T, build func(casched.Policy, func(*casched.Violation)) casched.Scheduler) {
	h := newHistory(t, build)
	t.Repeat(map[string]func(*rapid.T){
		"":                func(*rapid.T) { h.check() },
		"submit":          func(*rapid.T) { h.submit() },
		"submit_again":    func(*rapid.T) { h.submit() },
		"put_upstream":    func(*rapid.T) { h.putUpstream() },
		"remove_upstream": func(*rapid.T) { h.removeUpstream() },
		"set_allowance":   func(*rapid.T) { h.setAllowance() },
		"set_policy":      func(*rapid.T) { h.setPolicy() },
		"cancel":          func(*rapid.T) { h.cancel() },
		"end":             func(*rapid.T) { h.endTask() },
		"end_again":       func(*rapid.T) { h.endTask() },
		"withdrawn":       func(*rapid.T) { h.withdraw() },
		"start_failed":    func(*rapid.T) { h.failStart() },
		"report_usage":    func(*rapid.T) { h.reportUsage() },
		"mark_upstream":   func(*rapid.T) { h.markUpstream() },
		"reserve":         func(*rapid.T) { h.reserve() },
		"place_reserved":  func(*rapid.T) { h.placeReserved() },
		"set_remote_use":  func(*rapid.T) { h.setRemoteUse() },
		"commit":          func(*rapid.T) { h.commitOrRelease() },
		"decide":          func(*rapid.T) { h.decide() },
		"decide_again":    func(*rapid.T) { h.decide() },
	})
}

func newScheduler(p casched.Policy, report func(*casched.Violation)) casched.Scheduler {
	return cadecide.New(p, report)
}

func newNaive(p casched.Policy, report func(*casched.Violation)) casched.Scheduler {
	return canaive.New(p, report)
}

func TestInvariantsHoldOverHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHistory(t, newScheduler) })
}

func TestInvariantsHoldForTheNaiveScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHistory(t, newNaive) })
}
