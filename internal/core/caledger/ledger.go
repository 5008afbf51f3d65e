package caledger

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/core/cashare"
)

// Ledger holds the jobs and the open tasks.
type Ledger struct {
	report  func(*casched.Violation)
	foreign map[cawork.JobID]int

	jobs   map[cawork.JobID]*Job
	open   map[cawork.TaskRef]*Task
	byHost [][]*Task
	byTeam map[*cashare.Team][]*Task
	all    []*Task
}

// NewLedger returns an empty ledger that reports tasks that are opened twice.
func NewLedger(report func(*casched.Violation)) *Ledger {
	return &Ledger{
		report:  report,
		foreign: map[cawork.JobID]int{},
		jobs:    map[cawork.JobID]*Job{},
		open:    map[cawork.TaskRef]*Task{},
		byTeam:  map[*cashare.Team][]*Task{},
	}
}

// Job returns the job, nil when it is not known.
func (l *Ledger) Job(id cawork.JobID) *Job { return l.jobs[id] }

// Jobs calls the function for each job, in no order.
func (l *Ledger) Jobs(f func(*Job)) {
	for _, j := range l.jobs {
		f(j)
	}
}

// Add adds a job with all its tasks queued.
func (l *Ledger) Add(j cawork.Job) *Job {
	n := &Job{Job: j}
	l.jobs[j.ID] = n
	return n
}

// Forget drops a job that is over.
func (l *Ledger) Forget(j *Job) { delete(l.jobs, j.ID) }

// Task returns the open task, nil when there is none.
func (l *Ledger) Task(ref cawork.TaskRef) *Task { return l.open[ref] }

// On lists the open tasks on the upstream.
func (l *Ledger) On(h caplace.HostIndex) []*Task {
	if h < 0 || int(h) >= len(l.byHost) {
		return nil
	}
	return l.byHost[h]
}

// All lists the open tasks.
func (l *Ledger) All() []*Task { return l.all }

// HostsOf returns the upstreams on which tasks of the team are open, in
// ascending order. The result is appended to the slice.
func (l *Ledger) HostsOf(account *cashare.Team, out []caplace.HostIndex) []caplace.HostIndex {
	for _, t := range l.byTeam[account] {
		if t.Host != caplace.NoHost {
			out = append(out, t.Host)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Opening tells where a task is opened.
type Opening struct {
	Host     caplace.HostIndex
	Upstream cawork.UpstreamID
	Demand   caplace.Demand
	Account  *cashare.Team
	Now      time.Time
	// End is when the task is expected to end, zero when never.
	End time.Time
}

// OpenNext opens the next queued task of the job.
func (l *Ledger) OpenNext(j *Job, o Opening) *Task { return l.openTask(j, j.next(), o) }

// OpenIndex opens a certain queued task, nil when it is not queued.
func (l *Ledger) OpenIndex(j *Job, index int, o Opening) *Task {
	w, ok := j.take(index)
	if !ok {
		return nil
	}
	return l.openTask(j, w, o)
}

func (l *Ledger) openTask(j *Job, w waiting, o Opening) *Task {
	t := &Task{
		Ref: cawork.TaskRef{Job: j.ID, Index: w.index}, Job: j, Team: j.Team, Kind: j.Spec.Kind,
		Urgent: j.Spec.Urgent, Attempts: w.attempts + 1, NotRun: w.notRun,
	}
	t.inJob = len(j.Open)
	j.Open = append(j.Open, t)
	l.insert(t, o)
	return t
}

// Foreign lists the open foreign tasks of the job.
func (l *Ledger) Foreign(id cawork.JobID) []*Task {
	var out []*Task
	if l.foreign[id] == 0 {
		return out
	}
	for _, t := range l.all {
		if t.Job == nil && t.Ref.Job == id {
			out = append(out, t)
		}
	}
	return out
}

// OpenForeign opens a task of another shard.
func (l *Ledger) OpenForeign(ref cawork.TaskRef, team cawork.TeamName, k cawork.WorkKind, o Opening) *Task {
	t := &Task{Ref: ref, Team: team, Kind: k, Attempts: 1}
	l.foreign[ref.Job]++
	l.insert(t, o)
	return t
}

func (l *Ledger) insert(t *Task, o Opening) {
	if l.open[t.Ref] != nil {
		l.report(casched.Violated(casched.InvariantPlacedOnce, "task %v is open twice", t.Ref))
	}
	t.Demand, t.Account, t.Placed, t.End = o.Demand, o.Account, o.Now, o.End
	l.open[t.Ref] = t
	t.inAll = len(l.all)
	l.all = append(l.all, t)
	t.inTeam = len(l.byTeam[t.Account])
	l.byTeam[t.Account] = append(l.byTeam[t.Account], t)
	t.Host, t.Upstream = caplace.NoHost, o.Upstream
	l.Move(t, o.Host, o.Upstream)
}

// Move notes that the task is on another upstream.
func (l *Ledger) Move(t *Task, h caplace.HostIndex, id cawork.UpstreamID) {
	l.unhost(t)
	t.Host, t.Upstream = h, id
	if h == caplace.NoHost {
		return
	}
	for len(l.byHost) <= int(h) {
		l.byHost = append(l.byHost, nil)
	}
	t.onHost = len(l.byHost[h])
	l.byHost[h] = append(l.byHost[h], t)
}

func (l *Ledger) unhost(t *Task) {
	if t.Host == caplace.NoHost {
		return
	}
	on := l.byHost[t.Host]
	last := len(on) - 1
	on[t.onHost] = on[last]
	on[t.onHost].onHost = t.onHost
	on[last] = nil
	l.byHost[t.Host] = on[:last]
}

// Drop takes an open foreign task out, whose own shard is led here now.
func (l *Ledger) Drop(t *Task) { l.remove(t) }

// remove takes an open task out of all lists.
func (l *Ledger) remove(t *Task) {
	delete(l.open, t.Ref)
	l.unhost(t)
	last := len(l.all) - 1
	l.all[t.inAll] = l.all[last]
	l.all[t.inAll].inAll = t.inAll
	l.all[last] = nil
	l.all = l.all[:last]
	l.leaveTeam(t)
	if t.Job == nil {
		l.forgetForeign(t.Ref.Job)
		return
	}
	open := t.Job.Open
	last = len(open) - 1
	open[t.inJob] = open[last]
	open[t.inJob].inJob = t.inJob
	open[last] = nil
	t.Job.Open = open[:last]
}

func (l *Ledger) leaveTeam(t *Task) {
	of := l.byTeam[t.Account]
	last := len(of) - 1
	of[t.inTeam] = of[last]
	of[t.inTeam].inTeam = t.inTeam
	of[last] = nil
	l.byTeam[t.Account] = of[:last]
}

func (l *Ledger) forgetForeign(id cawork.JobID) {
	l.foreign[id]--
	if l.foreign[id] == 0 {
		delete(l.foreign, id)
	}
}

// Settle ends the attempt of an open task: the task is queued again when the
// state and the policy allow it, or gets its outcome. The caller frees what it
// took.
func (l *Ledger) Settle(t *Task, s cawork.TaskState, p casched.Policy) casched.Settlement {
	l.remove(t)
	j := t.Job
	if j == nil {
		return casched.Settlement{Known: true}
	}
	out := casched.Settlement{Known: true, Own: true}
	w := t.after(s)
	outcome, again := casched.Settle(j.Spec, s)
	if j.Ending && outcome != cawork.OutcomeDone {
		outcome, again = cawork.OutcomeCanceled, false
	}
	if again && w.attempts < p.Attempts(j.Spec) && w.notRun < p.Starts(j.Spec) {
		j.again = append(j.again, w)
		out.Requeued = true
		return out
	}
	j.end(outcome)
	out.Outcome = outcome
	return out
}

// after returns the task as it waits after an attempt that ended in the state.
// An attempt that never ran or was ended for others costs none of the attempts.
func (t *Task) after(s cawork.TaskState) waiting {
	w := waiting{index: t.Ref.Index, attempts: t.Attempts, notRun: t.NotRun}
	switch {
	case s == cawork.TaskStateFenced:
		w.attempts--
		w.notRun++
	case s == cawork.TaskStateAbsent:
		w.attempts--
	case s == cawork.TaskStateCheckpointed && !t.Overran:
		w.attempts--
	}
	return w
}

func (j *Job) end(o cawork.Outcome) {
	j.ended++
	j.counts[o]++
}

// EndQueued ends a queued task with a known outcome, and reports whether it
// was queued.
func (j *Job) EndQueued(index int, o cawork.Outcome) bool {
	if _, ok := j.take(index); !ok {
		return false
	}
	j.end(o)
	return true
}

// SetAttempts notes how often a queued task was tried.
func (j *Job) SetAttempts(index, attempts int) {
	if _, ok := j.take(index); ok {
		j.again = append(j.again, waiting{index: index, attempts: attempts})
	}
}
