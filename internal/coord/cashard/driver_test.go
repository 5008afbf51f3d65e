package cashard_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const team cawork.TeamName = "t"

var taskSize = cawork.Resources{CPU: cawork.Cores(1)}

func compareIDs[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }

// observations is what the test observes from outside of the shards: the jobs
// whose acceptance was confirmed to the caller, how often each task started, and
// the violations.
type observations struct {
	obsMu         sync.Mutex
	accepted      map[cawork.JobID]cawork.ShardID
	starts        map[cawork.TaskRef]int
	nonIdempotent map[cawork.JobID]bool
	// highestLimit is the highest limit that has been in force.
	highestLimit cawork.Resources
	outcomes     map[cawork.JobID]cawork.Outcome
	violations   []string
	takeovers    int
	nextID       int
}

func newObservations() observations {
	return observations{
		accepted: map[cawork.JobID]cawork.ShardID{}, starts: map[cawork.TaskRef]int{},
		nonIdempotent: map[cawork.JobID]bool{}, outcomes: map[cawork.JobID]cawork.Outcome{},
	}
}

func (o *observations) addViolation(format string, args ...any) {
	o.obsMu.Lock()
	defer o.obsMu.Unlock()
	if len(o.violations) < 10 {
		o.violations = append(o.violations, fmt.Sprintf(format, args...))
	}
}

// checkStart asserts that the task runs nowhere else and that the team is within
// its limit. The caller holds the lock of the host, which is released meanwhile.
func (w *world) checkStart(at *host, s caplatform.Start) {
	total := s.Size
	for _, h := range w.hosts {
		if h == at {
			h.mu.Unlock()
		}
		for _, t := range h.running() {
			if t.Attempt == s.Attempt {
				continue
			}
			total = total.Plus(t.Size)
			if t.Task == s.Task {
				w.addViolation("task %v runs as %s on %s and as %s on %s", s.Task, t.Attempt, h.id, s.Attempt, at.id)
			}
		}
		if h == at {
			h.mu.Lock()
		}
	}
	w.obsMu.Lock()
	w.starts[s.Task]++
	starts, nonIdempotent, highest := w.starts[s.Task], w.nonIdempotent[s.Task.Job], w.highestLimit
	w.obsMu.Unlock()
	if !total.Fits(highest) {
		w.addViolation("team runs %v above its limit %v", total, highest)
	}
	if nonIdempotent && starts > 1 {
		w.addViolation("task %v is not idempotent and started %d times", s.Task, starts)
	}
}

// running returns the total size of the tasks that run at all upstreams.
func (w *world) running() cawork.Resources {
	var sum cawork.Resources
	for _, h := range w.hosts {
		for _, t := range h.running() {
			sum = sum.Plus(t.Size)
		}
	}
	return sum
}

// ShardEvent implements cashard.Listener.
func (n *node) ShardEvent(e cashard.Event) {
	if e.Type != cashard.EventTakenOver {
		return
	}
	n.w.obsMu.Lock()
	n.w.takeovers++
	n.w.obsMu.Unlock()
}

// ShardCommitted implements cashard.Listener.
func (n *node) ShardCommitted(cawork.ShardID, int64, []byte) {}

// append appends a record to the shard and waits at most 3 seconds.
func (n *node) append(ctx context.Context, s cawork.ShardID, r cajob.Record) error {
	r.At = n.timer.Now()
	b, err := r.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	return n.part.Append(ctx, s, b)
}

// drive does the periodic work of a primary for all shards that the node leads.
func (n *node) drive(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(80+n.w.intn(60)) * time.Millisecond)
		n.waitWhilePaused()
		for _, s := range n.part.Statuses() {
			if s.Violation != "" {
				n.w.addViolation("%s", s.Violation)
			}
			if !s.Primary || n.isDead() {
				continue
			}
			n.driveShard(ctx, s)
		}
	}
}

func (n *node) driveShard(ctx context.Context, s cashard.Status) {
	if s.Since > 1 {
		n.recoverTasks(ctx, s)
	}
	if n.w.chance(0.3) {
		n.submit(ctx, s.Shard)
	}
	work := n.readWork(s.Shard)
	n.updateMint(ctx, s.Shard, work.mintVersion)
	for _, a := range work.attempts {
		n.pollAttempt(ctx, s.Shard, a, !work.excess.IsZero())
	}
	for _, j := range work.jobs {
		n.schedule(ctx, s.Shard, j, taskSize.Times(int64(len(j.Tasks))).Fits(work.startable))
	}
	for _, t := range work.transfers {
		n.sendTransfer(ctx, t)
	}
	for _, h := range work.handovers {
		n.handOver(ctx, s.Shard, h)
	}
	for _, a := range work.asks {
		n.requestAllowance(ctx, a)
	}
}

// shardWork is the state of a shard that the driver acts on in one period.
type shardWork struct {
	jobs        []cajob.Job
	attempts    []cajob.Attempt
	transfers   []caescrow.Transfer
	handovers   []cajob.Handover
	asks        []caescrow.Ask
	excess      cawork.Resources
	startable   cawork.Resources
	mintVersion int64
}

func (n *node) readWork(s cawork.ShardID) shardWork {
	var work shardWork
	n.part.Read(s, func(m cashard.StateMachine) {
		state := m.(*cajob.State)
		if err := state.Verify(); err != nil {
			n.w.addViolation("shard %s: %v", s, err)
		}
		a := state.Account()
		work = shardWork{
			jobs: state.OpenJobs(), attempts: state.OpenAttempts(), transfers: a.Unacknowledged(),
			handovers: state.Handovers(), excess: n.planner(s).Excess(n.timer.Now(), a, team),
			startable: n.planner(s).Startable(n.timer.Now(), a, team),
		}
		if b, ok := a.Teams[team]; ok {
			work.mintVersion = b.Mint.Version
		}
		work.asks = n.planner(s).Asks(n.timer.Now(), a, []caescrow.Need{totalNeed(work.jobs)}, n.partners())
	})
	slices.SortFunc(work.jobs, func(a, b cajob.Job) int { return compareIDs(a.Job.ID, b.Job.ID) })
	slices.SortFunc(work.attempts, func(a, b cajob.Attempt) int { return compareIDs(a.ID, b.ID) })
	return work
}

func totalNeed(jobs []cajob.Job) caescrow.Need {
	n := caescrow.Need{Team: team, Least: taskSize}
	for _, j := range jobs {
		for i := range j.Tasks {
			if j.NeedsStart(i) {
				n.Amount = n.Amount.Plus(taskSize)
			}
		}
	}
	return n
}

func (n *node) planner(s cawork.ShardID) *caescrow.Planner {
	if _, ok := n.planners[s]; !ok {
		n.planners[s] = caescrow.NewPlanner(s, "z", caescrow.DefaultPolicy())
	}
	return n.planners[s]
}

// partners returns all shards, without reports of their idle allowance.
func (n *node) partners() []caescrow.Partner {
	var out []caescrow.Partner
	for _, other := range n.w.allNodes() {
		out = append(out, caescrow.Partner{Shard: other.shard(), Zone: "z"})
	}
	return out
}

func (w *world) anyNode() *node {
	nodes := w.allNodes()
	return nodes[w.intn(len(nodes))]
}

// mints reports whether the shard of the node mints a share of the limit.
func (n *node) mints() bool { return n.member.Incarnation == 0 }

// updateMint sets the minted share of a shard to the version in force. A share is
// first minted by the shards of first incarnations.
func (n *node) updateMint(ctx context.Context, s cawork.ShardID, version int64) {
	n.w.obsMu.Lock()
	minted := n.w.minted
	n.w.obsMu.Unlock()
	if version < minted.Version && (version > 0 || n.mints() && s == n.shard()) {
		_ = n.append(ctx, s, cajob.Record{Type: cajob.RecordMintSet, MintSet: &minted})
	}
}

// requestAllowance asks the primary of another shard for allowance.
func (n *node) requestAllowance(ctx context.Context, a caescrow.Ask) {
	granted, err := callLeader(ctx, n, a.To, func(other *node) (cawork.Resources, error) {
		var granted cawork.Resources
		other.part.Read(a.To, func(m cashard.StateMachine) {
			state := m.(*cajob.State)
			other.planner(a.To).RecordRepaymentRequest(other.timer.Now(), a)
			granted = other.planner(a.To).Grant(state.Account(), a, totalNeed(state.OpenJobs()))
		})
		if granted.IsZero() {
			return granted, nil
		}
		sent := &cajob.AllowanceSent{To: a.From, Team: team, Amount: granted}
		return granted, other.append(ctx, a.To, cajob.Record{Type: cajob.RecordAllowanceSent, AllowanceSent: sent})
	})
	if err == nil {
		n.part.Read(a.From, func(cashard.StateMachine) { n.planner(a.From).RecordReply(n.timer.Now(), a, granted) })
	}
}

// callLeader calls a node that may act for the shard.
func callLeader[T any](ctx context.Context, n *node, s cawork.ShardID, serve func(*node) (T, error)) (T, error) {
	for _, other := range n.w.allNodes() {
		if _, ok := other.part.MayAct(s); !ok || other.isDead() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		return roundTrip(ctx, n.w, n.name(), other.name(), func() (T, error) {
			other.waitWhilePaused()
			return serve(other)
		})
	}
	var zero T
	return zero, cakind.New(cakind.KindUnavailable, "shard %s is not led", s)
}

// handOver sends a job to another shard. The handover stays open, and is tried
// again, until that shard has accepted the job.
func (n *node) handOver(ctx context.Context, s cawork.ShardID, h cajob.Handover) {
	_, err := callLeader(ctx, n, h.To, func(other *node) (bool, error) {
		return true, other.append(ctx, h.To, cajob.Record{Type: cajob.RecordJobAccepted, JobAccepted: &h.Accepted})
	})
	if err == nil || cakind.Of(err) == cakind.KindConflict {
		acked := &cajob.HandoverAcked{Job: h.Accepted.Job.ID}
		_ = n.append(ctx, s, cajob.Record{Type: cajob.RecordHandoverAcked, HandoverAcked: acked})
	}
}

// recoverTasks fences the upstreams that may hold an attempt of the former primary
// and settles its open attempts. Attempts at an upstream that does not answer stay
// open and do not block other work.
func (n *node) recoverTasks(ctx context.Context, s cashard.Status) {
	if n.fenced[s.Shard] == s.Since {
		return
	}
	var needed []cawork.UpstreamID
	n.part.Read(s.Shard, func(m cashard.StateMachine) { needed = m.(*cajob.State).UpstreamsToFence() })
	var answers []cajob.FenceAnswer
	for _, u := range needed {
		h := n.w.host(u)
		tasks, err := callHost(ctx, n, h, func() ([]caplatform.TaskStatus, error) {
			return h.fence(caplatform.ShardFence{Shard: s.Shard, View: s.Since})
		})
		if err == nil {
			answers = append(answers, cajob.FenceAnswer{Upstream: h.id, View: s.Since, Tasks: tasks})
		}
	}
	var rec cajob.Recovery
	n.part.Read(s.Shard, func(m cashard.StateMachine) {
		rec = m.(*cajob.State).ResolveAttempts(n.timer.Now(), answers, nil)
	})
	for _, r := range rec.Resolutions {
		if r.Fate == cajob.FateSettle {
			_ = n.append(ctx, s.Shard, cajob.Record{Type: cajob.RecordAttemptSettled, AttemptSettled: &r.Settled})
		}
	}
	if len(answers) == len(needed) {
		n.fenced[s.Shard] = s.Since
	}
}

func callHost[T any](ctx context.Context, n *node, h *host, serve func() (T, error)) (T, error) {
	n.waitWhilePaused()
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	return roundTrip(ctx, n.w, n.name(), string(h.id), serve)
}

func (n *node) submit(ctx context.Context, s cawork.ShardID) {
	n.w.obsMu.Lock()
	n.w.nextID++
	id := cawork.JobID(fmt.Sprintf("j%d", n.w.nextID))
	n.w.obsMu.Unlock()
	kind := cawork.WorkKindBatch
	if n.w.chance(0.2) {
		kind = cawork.WorkKindGang
	}
	job := cawork.Job{ID: id, Team: team, Spec: cawork.JobSpec{
		Kind: kind, Tasks: 1 + n.w.intn(2), Size: taskSize, Idempotent: n.w.chance(0.5), MaxAttempts: 3,
	}}
	n.w.obsMu.Lock()
	n.w.nonIdempotent[id] = !job.Spec.Idempotent
	n.w.obsMu.Unlock()
	err := n.append(ctx, s, cajob.Record{Type: cajob.RecordJobAccepted, JobAccepted: &cajob.JobAccepted{Job: job}})
	n.w.obsMu.Lock()
	defer n.w.obsMu.Unlock()
	if err == nil {
		n.w.accepted[id] = s
	}
}

func (n *node) schedule(ctx context.Context, s cawork.ShardID, j cajob.Job, fits bool) {
	if o := j.DerivedOutcome(); o != cawork.OutcomePending {
		err := n.append(ctx, s, cajob.Record{Type: cajob.RecordJobEnded, JobEnded: &cajob.JobEnded{Job: j.Job.ID, Outcome: o}})
		if err == nil {
			n.checkOutcome(j, o)
		}
		return
	}
	if n.w.chance(0.05) && !j.HasOpenAttempt() {
		handedOver := &cajob.HandedOver{Job: j.Job.ID, To: n.w.anyNode().shard()}
		_ = n.append(ctx, s, cajob.Record{Type: cajob.RecordHandedOver, HandedOver: handedOver})
		return
	}
	var starting []cawork.TaskRef
	for i := range j.Tasks {
		if j.NeedsStart(i) {
			starting = append(starting, cawork.TaskRef{Job: j.Job.ID, Index: i})
		}
	}
	if len(starting) > 0 && fits {
		n.startTasks(ctx, s, starting)
	}
}

// checkOutcome records the outcome of a job and asserts that no task of a job that
// ended as not run was started.
func (n *node) checkOutcome(j cajob.Job, o cawork.Outcome) {
	n.w.obsMu.Lock()
	defer n.w.obsMu.Unlock()
	n.w.outcomes[j.Job.ID] = o
	for i := range j.Tasks {
		if o == cawork.OutcomeNotRun && n.w.starts[cawork.TaskRef{Job: j.Job.ID, Index: i}] > 0 {
			n.w.violations = append(n.w.violations, fmt.Sprintf("job %s ran and ended as not run", j.Job.ID))
		}
	}
}

// startTasks records attempts for the tasks of a job and starts them.
func (n *node) startTasks(ctx context.Context, s cawork.ShardID, tasks []cawork.TaskRef) {
	r := &cajob.AttemptsIntended{}
	view, _ := n.part.MayAct(s)
	for _, task := range tasks {
		n.w.obsMu.Lock()
		n.w.nextID++
		id := cawork.AttemptID(fmt.Sprintf("%v-a%d", task, n.w.nextID))
		n.w.obsMu.Unlock()
		u := n.w.hosts[n.w.intn(len(n.w.hosts))].id
		r.Attempts = append(r.Attempts, cajob.Intent{Attempt: id, Task: task, Upstream: u, Charge: taskSize, View: view})
	}
	if n.append(ctx, s, cajob.Record{Type: cajob.RecordAttemptsIntended, AttemptsIntended: r}) != nil {
		return
	}
	for _, intent := range r.Attempts {
		n.start(ctx, s, intent)
	}
}

func (n *node) start(ctx context.Context, s cawork.ShardID, intent cajob.Intent) {
	view, ok := n.part.MayAct(s)
	if !ok {
		return
	}
	h := n.w.host(intent.Upstream)
	start := caplatform.Start{Shard: s, View: view, Attempt: intent.Attempt, Task: intent.Task, Team: team, Size: taskSize}
	_, err := callHost(ctx, n, h, func() (caplatform.TaskStatus, error) { return h.start(start) })
	if cakind.Of(err) == cakind.KindFenced {
		n.recordSettled(ctx, s, caplatform.TaskStatus{Attempt: intent.Attempt, State: cawork.TaskStateFenced})
	}
}

// pollAttempt asks for the state of an open attempt. An absent attempt is fenced,
// as its start may still arrive. An attempt in excess of the limit is stopped.
func (n *node) pollAttempt(ctx context.Context, s cawork.ShardID, a cajob.Attempt, excess bool) {
	h := n.w.host(a.Upstream)
	t, err := callHost(ctx, n, h, func() (caplatform.TaskStatus, error) { return h.status(a.ID) })
	if err == nil && (t.State == cawork.TaskStateAbsent || excess && !t.State.Ended()) {
		stop := caplatform.Start{Shard: s, Attempt: a.ID, Task: a.Task}
		t, err = callHost(ctx, n, h, func() (caplatform.TaskStatus, error) { return h.stop(stop) })
	}
	if err == nil && t.State.Ended() {
		n.recordSettled(ctx, s, t)
	}
}

func (n *node) recordSettled(ctx context.Context, s cawork.ShardID, t caplatform.TaskStatus) {
	settled := cajob.AttemptSettled{Attempt: t.Attempt, State: t.State, Observed: true}
	_ = n.append(ctx, s, cajob.Record{Type: cajob.RecordAttemptSettled, AttemptSettled: &settled})
}

func (n *node) shard() cawork.ShardID {
	return cawork.ShardID(fmt.Sprintf("s-%s-%d", n.name(), n.member.Incarnation))
}

// sendTransfer sends a transfer to the primary of the receiving shard.
func (n *node) sendTransfer(ctx context.Context, t caescrow.Transfer) {
	_, err := callLeader(ctx, n, t.To, func(other *node) (bool, error) {
		received := cajob.Record{Type: cajob.RecordAllowanceReceived, AllowanceReceived: &t}
		return true, other.append(ctx, t.To, received)
	})
	if err == nil {
		acked := &cajob.AllowanceAcked{To: t.To, Team: t.Team, Number: t.Number}
		_ = n.append(ctx, t.From, cajob.Record{Type: cajob.RecordAllowanceAcked, AllowanceAcked: acked})
	}
}

func shardID(s string) cawork.ShardID { return cawork.ShardID(s) }
