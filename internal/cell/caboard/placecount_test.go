package caboard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// placeTick is the time between two plans, and placeAnswerTime how long the advisor takes for an answer.
	placeTick       = 20 * time.Millisecond
	placeAnswerTime = 100 * time.Millisecond
	// placeSpan is how long work may take to start where it has room, and placeQuietSpan the rest of a
	// phase, in which nothing changes any more.
	placeSpan      = 3 * time.Second
	placeQuietSpan = 2 * time.Second
)

// countPlaces returns how many more tasks of a step the resources of one upstream hold. It counts them one
// by one, and shares no code with the planner.
func countPlaces(capacity, used cawork.Resources, step caspec.Step) int {
	places := 0
	for places < step.Tasks && (step.MaxPerUpstream <= 0 || places < step.MaxPerUpstream) {
		used.CPU += step.CPU
		used.Memory += step.Memory
		used.Accelerators += step.Accelerators
		if used.CPU > capacity.CPU || used.Memory > capacity.Memory || used.Accelerators > capacity.Accelerators {
			break
		}
		places++
	}
	return places
}

// hasLabels reports whether an upstream has the labels that a step asks for.
func hasLabels(info caspec.Upstream, step caspec.Step) bool {
	return step.Label == "" || slices.Contains(info.Labels, step.Label)
}

// placeWorld is a pool with few jobs, whose advisor answers at random.
type placeWorld struct {
	t       *rapid.T
	planner *Planner
	now     time.Time
	list    []caspec.Upstream
	limit   cawork.Resources
	steps   map[cawork.JobID]caspec.Step
	queues  map[cawork.JobID]caspec.QueueName
	// running are the runs that upstreams have started.
	running map[cawork.UpstreamID][]caorder.RunID
	// admitted are the answers of the advisor, by job, upstream and incarnation.
	admitted map[string]bool
	answers  []placeAnswer
	requests int
}

// placeAnswer is an answer of the advisor that is due at a time.
type placeAnswer struct {
	at      time.Time
	request caorder.ApprovalRequest
}

func newPlaceWorld(t *rapid.T) *placeWorld {
	now := time.Unix(1_000_000, 0)
	w := &placeWorld{
		t: t, now: now, steps: make(map[cawork.JobID]caspec.Step), queues: make(map[cawork.JobID]caspec.QueueName), running: make(map[cawork.UpstreamID][]caorder.RunID),
		admitted: make(map[string]bool),
	}
	w.planner = New(zerolog.Nop(), 1, w.moment(), now)
	w.planner.SetRequestLimits(RequestLimits{Total: 8, Long: 4})
	w.limit = cawork.Resources{
		CPU:    cawork.MilliCPU(rapid.SampledFrom([]int{0, 0, 9, 20, 40}).Draw(t, "limit_cores")) * 1000,
		Memory: cawork.Bytes(rapid.SampledFrom([]int{0, 0, 0, 30}).Draw(t, "limit_gib")) * cawork.GiB,
	}
	w.planner.SetPolicy(caspec.Policy{
		Version: 1, Queues: []caspec.Queue{namedQueue("load", plainQueue()), namedQueue("asked", approvedQueue()), namedQueue("plain", plainQueue())},
		Pools: []caspec.Pool{{Name: "pool"}},
		Teams: []caspec.Team{{Name: "north", Weight: 1000, Limit: w.limit}, {Name: "other", Weight: 1000}},
	}.WithIndex())
	for range rapid.IntRange(1, 10).Draw(t, "upstreams") {
		w.addUpstream()
	}
	w.applyList()
	return w
}

func namedQueue(name caspec.QueueName, q caspec.Queue) caspec.Queue {
	q.Name = name
	return q
}

func (w *placeWorld) moment() ClockReading {
	return ClockReading{Monotonic: w.now, WallMS: w.now.UnixMilli()}
}

func (w *placeWorld) addUpstream() {
	n := len(w.list)
	info := caspec.Upstream{
		ID: cawork.UpstreamID(fmt.Sprintf("up-%02d", n)), Address: "address", Pool: "pool", Incarnation: 1,
		Capacity: cawork.Resources{
			CPU:          cawork.MilliCPU(rapid.IntRange(1, 8).Draw(w.t, "cores")) * 1000,
			Memory:       cawork.Bytes(rapid.IntRange(2, 16).Draw(w.t, "gib")) * cawork.GiB,
			Accelerators: int64(rapid.IntRange(0, 3).Draw(w.t, "accelerators")),
		},
		Labels: []string{fmt.Sprintf("rack-%d", n/3)},
	}
	if rapid.Bool().Draw(w.t, "labelled") {
		info.Labels = append(info.Labels, "a")
	}
	w.list = append(w.list, info)
}

// applyList shows the list to the planner, and lets all upstreams report.
func (w *placeWorld) applyList() {
	w.planner.SetUpstreams(slices.Clone(w.list))
	w.reportAll()
}

func (w *placeWorld) reportAll() {
	for _, info := range w.list {
		report := caorder.Report{Upstream: info.ID, Born: info.Incarnation, SentAt: w.now, ReceivedAt: w.now, ClockMS: w.now.UnixMilli()}
		for _, id := range w.running[info.ID] {
			report.Running = append(report.Running, caorder.RunningRun{Run: id, Percent: 100})
		}
		w.planner.ApplyReport(report)
	}
}

func (w *placeWorld) used(id cawork.UpstreamID) cawork.Resources {
	var used cawork.Resources
	for _, run := range w.running[id] {
		used = used.Plus(w.steps[run.Job].Size())
	}
	return used
}

// runsOf returns how many tasks of a job run.
func (w *placeWorld) runsOf(job cawork.JobID) int {
	n := 0
	for _, runs := range w.running {
		for _, run := range runs {
			if run.Job == job {
				n++
			}
		}
	}
	return n
}

// isAdmitted reports whether the advisor admits an incarnation of an upstream to a job. Without an advisor
// all are.
func (w *placeWorld) isAdmitted(job cawork.JobID, info caspec.Upstream) bool {
	if w.queues[job] != "asked" {
		return true
	}
	key := fmt.Sprintf("%s %s %d", job, info.ID, info.Incarnation)
	if _, isDecided := w.admitted[key]; !isDecided {
		w.admitted[key] = rapid.IntRange(0, 2).Draw(w.t, key) > 0
	}
	return w.admitted[key]
}

// run plays the world for a duration.
func (w *placeWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(placeTick)
		w.planner.SetNow(w.moment())
		w.reportAll()
		w.answer()
		orders := w.planner.Plan()
		for _, request := range orders.ApprovalRequests {
			w.requests++
			w.answers = append(w.answers, placeAnswer{w.now.Add(placeAnswerTime), request})
		}
		w.start()
	}
}

func (w *placeWorld) answer() {
	for len(w.answers) > 0 && !w.now.Before(w.answers[0].at) {
		request := w.answers[0].request
		w.answers = w.answers[1:]
		var approved []caorder.Approval
		for _, info := range w.list {
			if slices.Contains(request.Upstreams, info.ID) && w.isAdmitted(request.Job, info) {
				approved = append(approved, caorder.Approval{Upstream: info.ID, Ticket: "ticket"})
			}
		}
		w.planner.ApplyAdvice(request, approved, true)
	}
}

func (w *placeWorld) start() {
	batch, err := w.planner.NextBatch()
	if err != nil {
		w.t.Fatal(err)
	}
	for _, order := range w.planner.MarkStored(batch) {
		w.running[order.Upstream] = append(w.running[order.Upstream], order.Run)
		w.planner.ApplyStartOutcome(order, caorder.StartAccepted, w.now.UnixMilli())
	}
}

// submit submits a job of one step. It reports whether the job was accepted, and checks that none is
// refused that fits.
func (w *placeWorld) submit(queue caspec.QueueName, team cawork.TeamName, step caspec.Step) (cawork.JobID, bool) {
	id := cawork.JobID(fmt.Sprintf("%016x", len(w.steps)))
	_, err := w.planner.Submit(caspec.Submission{ID: id, Queue: queue, Team: team, Steps: []caspec.Step{step}})
	w.steps[id], w.queues[id] = step, queue
	if cakind.Of(err) != cakind.KindNeverFits {
		return id, err == nil
	}
	atOnce, places := 1, 0
	if step.Gang {
		atOnce = step.Tasks
	}
	for _, info := range w.list {
		if hasLabels(info, step) {
			places += countPlaces(info.Capacity, cawork.Resources{}, step)
		}
	}
	if places >= atOnce && (team == "other" || w.fitsLimit(step, 0, atOnce)) {
		w.t.Errorf("%+v is refused as one that never fits, want accepted: %d places, limit %v: %v", step, places, w.limit, err)
	}
	return id, false
}

// fitsLimit reports whether the limit of the team permits so many more tasks beside those that run.
func (w *placeWorld) fitsLimit(step caspec.Step, running, more int) bool {
	n := int64(running + more)
	return (w.limit.CPU == 0 || int64(step.CPU)*n <= int64(w.limit.CPU)) && (w.limit.Memory == 0 || int64(step.Memory)*n <= int64(w.limit.Memory))
}

// placesFor returns how many tasks of a job the admitted upstreams hold beside what runs there.
func (w *placeWorld) placesFor(job cawork.JobID, step caspec.Step) int {
	places := 0
	for _, info := range w.list {
		if hasLabels(info, step) && w.isAdmitted(job, info) {
			places += countPlaces(info.Capacity, w.used(info.ID), step)
		}
	}
	return places
}

// startable returns how many tasks of a job that has not started can start.
func (w *placeWorld) startable(job cawork.JobID) int {
	step := w.steps[job]
	n := min(step.Tasks, w.placesFor(job, step))
	for n > 0 && !w.fitsLimit(step, 0, n) {
		n--
	}
	if step.Gang && n < step.Tasks {
		return 0
	}
	return n
}

// fill starts tasks that last, as far as there is room for so many.
func (w *placeWorld) fill(tasks int) {
	var load []cawork.JobID
	for range tasks {
		if job, accepted := w.submit("load", "other", caspec.Step{Tasks: 1, CPU: 1500, Memory: cawork.GiB, Estimate: time.Hour}); accepted {
			load = append(load, job)
		}
	}
	w.run(placeTick)
	for _, job := range load {
		if w.runsOf(job) == 0 {
			w.planner.Cancel(job)
		}
	}
}

func drawPlaceStep(t *rapid.T, isGang bool) caspec.Step {
	return caspec.Step{
		Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), CPU: cawork.MilliCPU(rapid.IntRange(1, 16).Draw(t, "half_cores")) * 500,
		Memory: cawork.Bytes(rapid.IntRange(1, 6).Draw(t, "task_gib")) * cawork.GiB, Accelerators: int64(rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "task_accelerators")),
		Gang: isGang, SameRack: rapid.Bool().Draw(t, "same_rack"), MaxPerUpstream: rapid.IntRange(0, 3).Draw(t, "max_per_upstream"),
		Label: rapid.SampledFrom([]string{"", "", "a", "rack-1"}).Draw(t, "label"), Rack: rapid.SampledFrom([]string{"", "rack-0"}).Draw(t, "rack"),
		Estimate: 500 * time.Millisecond,
	}
}

// change changes what keeps a job from starting: upstreams come, are restarted or lose their load.
func (w *placeWorld) change() {
	for range rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(w.t, "new_upstreams") {
		w.addUpstream()
	}
	for i := range w.list {
		if len(w.running[w.list[i].ID]) == 0 && rapid.Bool().Draw(w.t, "restarts") {
			w.list[i].Incarnation++
		}
	}
	w.applyList()
}

// TestWorkStartsOnAllPlacesThatAreThere guards against wrong counts of room: work that waits beside room, or
// is started or refused without regard to it. What may start is counted apart from the planner.
func TestWorkStartsOnAllPlacesThatAreThere(t *testing.T) {
	for _, queue := range []caspec.QueueName{"asked", "plain"} {
		for _, isGang := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s gang=%t", queue, isGang), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(t *rapid.T) { checkPlaces(t, queue, isGang) })
			})
		}
	}
}

// checkPlaces checks what of one job starts beside a load, before and after changes of the pool. A job that
// can't start leaves the advisor to others.
func checkPlaces(t *rapid.T, queue caspec.QueueName, isGang bool) {
	w := newPlaceWorld(t)
	w.fill(rapid.IntRange(0, 8).Draw(t, "load"))
	job, accepted := w.submit(queue, "north", drawPlaceStep(t, isGang))
	if !accepted {
		return
	}
	for phase := range 3 {
		if phase > 0 {
			w.change()
		}
		if w.runsOf(job) > 0 {
			return
		}
		want := w.startable(job)
		w.run(placeSpan)
		if diff := cmp.Diff(want, w.runsOf(job)); diff != "" {
			t.Fatalf("phase %d: tasks of %+v that started (-want +got):\n%s", phase, w.steps[job], diff)
		}
		former := w.requests
		w.run(placeQuietSpan)
		if want == 0 && w.requests > former {
			t.Fatalf("phase %d: %d requests for %+v, which can't start, want none", phase, w.requests-former, w.steps[job])
		}
	}
}

// TestFittingTasksCountsPlaces compares the planner's count for one upstream with that of this file.
func TestFittingTasksCountsPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := func(name string) cawork.Resources {
			return cawork.Resources{
				CPU: cawork.MilliCPU(rapid.IntRange(0, 20).Draw(t, name+"_cpu")), Memory: cawork.Bytes(rapid.IntRange(0, 20).Draw(t, name+"_memory")),
				Accelerators: int64(rapid.IntRange(0, 4).Draw(t, name+"_accelerators")),
			}
		}
		capacity, used, size := amount("capacity"), amount("used"), amount("size")
		step := caspec.Step{
			Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), CPU: size.CPU, Memory: size.Memory, Accelerators: size.Accelerators,
			MaxPerUpstream: rapid.IntRange(0, 3).Draw(t, "max_per_upstream"),
		}
		if diff := cmp.Diff(countPlaces(capacity, used, step), caroom.TasksIn(capacity.Minus(used), step)); diff != "" {
			t.Errorf("tasks that fit (-want +got):\n%s", diff)
		}
	})
}
