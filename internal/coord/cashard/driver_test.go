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

// ledger is what the test knows from outside: which jobs callers were told
// are accepted, how often tasks ran, and the violations seen.
type ledger struct {
	lmu        sync.Mutex
	accepted   map[cawork.JobID]cawork.ShardID
	starts     map[cawork.TaskRef]int
	ended      map[cawork.JobID]cawork.Outcome
	violations []string
	takeovers  int
	next       int
}

func newLedger() ledger {
	return ledger{accepted: map[cawork.JobID]cawork.ShardID{}, starts: map[cawork.TaskRef]int{}, ended: map[cawork.JobID]cawork.Outcome{}}
}

func (l *ledger) violate(format string, args ...any) {
	l.lmu.Lock()
	defer l.lmu.Unlock()
	if len(l.violations) < 10 {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

// started asserts that the task runs nowhere else and that the team is within
// its limit. The host holds its own lock.
func (w *world) started(at *host, s caplatform.Start) {
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
				w.violate("task %v runs as %s on %s and as %s on %s", s.Task, t.Attempt, h.id, s.Attempt, at.id)
			}
		}
		if h == at {
			h.mu.Lock()
		}
	}
	if !total.Fits(w.limit) {
		w.violate("team runs %v above its limit %v", total, w.limit)
	}
	w.lmu.Lock()
	defer w.lmu.Unlock()
	w.starts[s.Task]++
}

// ShardEvent implements cashard.Listener.
func (n *node) ShardEvent(e cashard.Event) {
	if e.Type != cashard.EventTakenOver {
		return
	}
	n.w.lmu.Lock()
	n.w.takeovers++
	n.w.lmu.Unlock()
}

// ShardCommitted implements cashard.Listener.
func (n *node) ShardCommitted(cawork.ShardID, int64, []byte) {}

// append writes a record with a deadline of its own.
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

// drive does what the lead of shards does, in each period.
func (n *node) drive(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(80+n.w.intn(60)) * time.Millisecond)
		n.gate()
		for _, s := range n.part.Statuses() {
			if !s.Primary || n.isDead() {
				continue
			}
			n.driveShard(ctx, s)
		}
	}
}

func (n *node) driveShard(ctx context.Context, s cashard.Status) {
	if s.Since > 1 && !n.recover(ctx, s) {
		return
	}
	if n.w.chance(0.3) {
		n.submit(ctx, s.Shard)
	}
	jobs, attempts, transfers := n.look(s.Shard)
	for _, a := range attempts {
		n.follow(ctx, s.Shard, a)
	}
	for _, j := range jobs {
		n.schedule(ctx, s.Shard, j)
	}
	for _, t := range transfers {
		n.transfer(ctx, t)
	}
	if n.w.chance(0.1) {
		n.give(ctx, s.Shard)
	}
}

func (n *node) look(s cawork.ShardID) (jobs []cajob.Job, attempts []cajob.Attempt, transfers []caescrow.Transfer) {
	n.part.Read(s, func(m cashard.StateMachine) {
		state := m.(*cajob.State)
		if err := state.Verify(); err != nil {
			n.w.violate("shard %s: %v", s, err)
		}
		jobs, attempts, transfers = state.OpenJobs(), state.OpenAttempts(), state.Account().Unacknowledged()
	})
	slices.SortFunc(jobs, func(a, b cajob.Job) int { return compareIDs(a.Job.ID, b.Job.ID) })
	slices.SortFunc(attempts, func(a, b cajob.Attempt) int { return compareIDs(a.ID, b.ID) })
	return jobs, attempts, transfers
}

// recover fences every upstream once after a takeover and settles what the
// former primary left open. It reports whether new attempts may be sent.
func (n *node) recover(ctx context.Context, s cashard.Status) bool {
	if n.fenced[s.Shard] == s.Since {
		return true
	}
	var answers []cajob.FenceAnswer
	for _, h := range n.w.hosts {
		tasks, err := call(ctx, n, h, func() ([]caplatform.TaskStatus, error) {
			return h.fence(caplatform.ShardFence{Shard: s.Shard, View: s.View.Number})
		})
		if err == nil {
			answers = append(answers, cajob.FenceAnswer{Upstream: h.id, Tasks: tasks})
		}
	}
	var rec cajob.Recovery
	n.part.Read(s.Shard, func(m cashard.StateMachine) {
		rec = m.(*cajob.State).Settle(n.timer.Now(), answers, nil)
	})
	for _, r := range rec.Resolutions {
		if r.Fate == cajob.FateSettle {
			_ = n.append(ctx, s.Shard, cajob.Record{Type: cajob.RecordAttemptSettled, AttemptSettled: &r.Settled})
		}
	}
	if len(answers) < len(n.w.hosts) {
		return false
	}
	n.fenced[s.Shard] = s.Since
	return true
}

func call[T any](ctx context.Context, n *node, h *host, serve func() (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	return exchange(ctx, n.w, n.name(), string(h.id), serve)
}

func (n *node) submit(ctx context.Context, s cawork.ShardID) {
	n.w.lmu.Lock()
	n.w.next++
	id := cawork.JobID(fmt.Sprintf("j%d", n.w.next))
	n.w.lmu.Unlock()
	job := cawork.Job{ID: id, Team: team, Spec: cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: 1 + n.w.intn(2), Size: taskSize, Idempotent: n.w.chance(0.5), MaxAttempts: 3,
	}}
	err := n.append(ctx, s, cajob.Record{Type: cajob.RecordJobAccepted, JobAccepted: &cajob.JobAccepted{Job: job}})
	n.w.lmu.Lock()
	defer n.w.lmu.Unlock()
	if err == nil {
		n.w.accepted[id] = s
	}
}

func (n *node) schedule(ctx context.Context, s cawork.ShardID, j cajob.Job) {
	if o := j.Verdict(); o != cawork.OutcomePending {
		err := n.append(ctx, s, cajob.Record{Type: cajob.RecordJobEnded, JobEnded: &cajob.JobEnded{Job: j.Job.ID, Outcome: o}})
		if err == nil {
			n.checkEnded(j, o)
		}
		return
	}
	for i := range j.Tasks {
		if j.NeedsStart(i) {
			n.startTask(ctx, s, cawork.TaskRef{Job: j.Job.ID, Index: i})
		}
	}
}

// checkEnded asserts that the outcome is true.
func (n *node) checkEnded(j cajob.Job, o cawork.Outcome) {
	n.w.lmu.Lock()
	defer n.w.lmu.Unlock()
	n.w.ended[j.Job.ID] = o
	for i := range j.Tasks {
		if o == cawork.OutcomeNotRun && n.w.starts[cawork.TaskRef{Job: j.Job.ID, Index: i}] > 0 {
			n.w.violations = append(n.w.violations, fmt.Sprintf("job %s ran and ended as not run", j.Job.ID))
		}
	}
}

func (n *node) startTask(ctx context.Context, s cawork.ShardID, task cawork.TaskRef) {
	h := n.w.hosts[n.w.intn(len(n.w.hosts))]
	n.w.lmu.Lock()
	n.w.next++
	id := cawork.AttemptID(fmt.Sprintf("%v-a%d", task, n.w.next))
	n.w.lmu.Unlock()
	intent := cajob.Intent{Attempt: id, Task: task, Upstream: h.id, Charge: taskSize}
	err := n.append(ctx, s, cajob.Record{
		Type: cajob.RecordAttemptsIntended, AttemptsIntended: &cajob.AttemptsIntended{Attempts: []cajob.Intent{intent}},
	})
	if err != nil {
		return
	}
	view, ok := n.part.MayAct(s)
	if !ok {
		return
	}
	start := caplatform.Start{Shard: s, View: view, Attempt: id, Task: task, Team: team, Size: taskSize}
	_, err = call(ctx, n, h, func() (caplatform.TaskStatus, error) { return h.start(start) })
	if cakind.Of(err) == cakind.KindFenced {
		n.settle(ctx, s, caplatform.TaskStatus{Attempt: id, State: cawork.TaskStateFenced})
	}
}

// follow asks for the state of an open attempt. One that is absent may still
// arrive, and is fenced first.
func (n *node) follow(ctx context.Context, s cawork.ShardID, a cajob.Attempt) {
	h := n.w.host(a.Upstream)
	t, err := call(ctx, n, h, func() (caplatform.TaskStatus, error) { return h.status(a.ID) })
	if err == nil && t.State == cawork.TaskStateAbsent {
		stop := caplatform.Start{Shard: s, Attempt: a.ID, Task: a.Task}
		t, err = call(ctx, n, h, func() (caplatform.TaskStatus, error) { return h.stop(stop) })
	}
	if err == nil && t.State.Ended() {
		n.settle(ctx, s, t)
	}
}

func (n *node) settle(ctx context.Context, s cawork.ShardID, t caplatform.TaskStatus) {
	settled := cajob.AttemptSettled{Attempt: t.Attempt, State: t.State, Observed: true}
	_ = n.append(ctx, s, cajob.Record{Type: cajob.RecordAttemptSettled, AttemptSettled: &settled})
}

// give sends some allowance to another shard.
func (n *node) give(ctx context.Context, s cawork.ShardID) {
	to := n.w.nodes[n.w.intn(len(n.w.nodes))].shard()
	sent := &cajob.AllowanceSent{To: to, Team: team, Amount: taskSize}
	_ = n.append(ctx, s, cajob.Record{Type: cajob.RecordAllowanceSent, AllowanceSent: sent})
}

func (n *node) shard() cawork.ShardID { return cawork.ShardID("s-" + n.name()) }

// transfer carries a transfer to whoever leads the receiving shard.
func (n *node) transfer(ctx context.Context, t caescrow.Transfer) {
	for _, other := range n.w.nodes {
		if _, ok := other.part.MayAct(t.To); !ok || other.isDead() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		_, err := exchange(callCtx, n.w, n.name(), other.name(), func() (bool, error) {
			other.gate()
			return true, other.append(ctx, t.To, cajob.Record{Type: cajob.RecordAllowanceReceived, AllowanceReceived: &t})
		})
		cancel()
		if err == nil {
			acked := &cajob.AllowanceAcked{To: t.To, Team: t.Team, Number: t.Number}
			_ = n.append(ctx, t.From, cajob.Record{Type: cajob.RecordAllowanceAcked, AllowanceAcked: acked})
		}
		return
	}
}

func shardID(s string) cawork.ShardID { return cawork.ShardID(s) }
