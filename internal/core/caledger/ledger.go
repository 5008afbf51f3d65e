package caledger

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/core/cashare"
)

// Ledger holds the jobs of a shard and the open tasks, own and foreign. Foreign
// tasks run on upstreams of this entry, but belong to jobs of other shards.
type Ledger struct {
	report        func(*casched.Violation)
	foreignCounts map[cawork.JobID]int

	jobs      map[cawork.JobID]*Job
	byRef     map[cawork.TaskRef]*Task
	byHost    [][]*Task
	byTeam    map[*cashare.Team][]*Task
	openTasks []*Task
}

// NewLedger returns an empty ledger. It calls report when a task is opened that
// is already open.
func NewLedger(report func(*casched.Violation)) *Ledger {
	return &Ledger{
		report:        report,
		foreignCounts: map[cawork.JobID]int{},
		jobs:          map[cawork.JobID]*Job{},
		byRef:         map[cawork.TaskRef]*Task{},
		byTeam:        map[*cashare.Team][]*Task{},
	}
}

// Job returns the job, nil when the ledger does not have it.
func (l *Ledger) Job(id cawork.JobID) *Job { return l.jobs[id] }

// Jobs calls the function for each job, in no order.
func (l *Ledger) Jobs(f func(*Job)) {
	for _, j := range l.jobs {
		f(j)
	}
}

// AddJob adds a job with all its tasks queued.
func (l *Ledger) AddJob(j cawork.Job) *Job {
	added := &Job{Job: j}
	l.jobs[j.ID] = added
	return added
}

// RemoveJob removes a job whose tasks have all ended.
func (l *Ledger) RemoveJob(j *Job) { delete(l.jobs, j.ID) }

// Task returns the open task, nil when the task is not open.
func (l *Ledger) Task(ref cawork.TaskRef) *Task { return l.byRef[ref] }

// TasksOn lists the open tasks on the upstream.
func (l *Ledger) TasksOn(h caplace.HostIndex) []*Task {
	if h < 0 || int(h) >= len(l.byHost) {
		return nil
	}
	return l.byHost[h]
}

// OpenTasks lists the open tasks.
func (l *Ledger) OpenTasks() []*Task { return l.openTasks }

// TeamHosts appends the upstreams on which the team has open tasks to out, and
// returns out sorted and without duplicates.
func (l *Ledger) TeamHosts(account *cashare.Team, out []caplace.HostIndex) []caplace.HostIndex {
	for _, t := range l.byTeam[account] {
		if t.Host != caplace.NoHost {
			out = append(out, t.Host)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// OpenParams describes the attempt for which a task is opened.
type OpenParams struct {
	Host     caplace.HostIndex
	Upstream cawork.UpstreamID
	Demand   caplace.Demand
	Account  *cashare.Team
	Now      time.Time
	// ExpectedEnd is when the task is expected to end, zero when no end is expected.
	ExpectedEnd time.Time
}

// OpenNext opens the next queued task of the job.
func (l *Ledger) OpenNext(j *Job, o OpenParams) *Task { return l.openTask(j, j.dequeue(), o) }

// OpenIndex opens the queued task with the index. It returns nil when the task is
// not queued.
func (l *Ledger) OpenIndex(j *Job, index int, o OpenParams) *Task {
	q, ok := j.dequeueIndex(index)
	if !ok {
		return nil
	}
	return l.openTask(j, q, o)
}

func (l *Ledger) openTask(j *Job, q queuedTask, o OpenParams) *Task {
	t := &Task{
		Ref: cawork.TaskRef{Job: j.ID, Index: q.index}, Job: j, Team: j.Team, Kind: j.Spec.Kind,
		Urgent: j.Spec.Urgent, Attempts: q.attempts + 1, FailedStarts: q.notRun,
	}
	t.jobPos = len(j.OpenTasks)
	j.OpenTasks = append(j.OpenTasks, t)
	l.insert(t, o)
	return t
}

// ForeignTasks lists the open foreign tasks of the job.
func (l *Ledger) ForeignTasks(id cawork.JobID) []*Task {
	var out []*Task
	if l.foreignCounts[id] == 0 {
		return out
	}
	for _, t := range l.openTasks {
		if t.Job == nil && t.Ref.Job == id {
			out = append(out, t)
		}
	}
	return out
}

// OpenForeign opens a task of a job of another shard.
func (l *Ledger) OpenForeign(ref cawork.TaskRef, team cawork.TeamName, k cawork.WorkKind, o OpenParams) *Task {
	t := &Task{Ref: ref, Team: team, Kind: k, Attempts: 1}
	l.foreignCounts[ref.Job]++
	l.insert(t, o)
	return t
}

func (l *Ledger) insert(t *Task, o OpenParams) {
	if l.byRef[t.Ref] != nil {
		l.report(casched.Violationf(casched.InvariantPlacedOnce, "task %v is open twice", t.Ref))
	}
	t.Demand, t.Account, t.PlacedAt, t.ExpectedEnd = o.Demand, o.Account, o.Now, o.ExpectedEnd
	l.byRef[t.Ref] = t
	t.allPos = len(l.openTasks)
	l.openTasks = append(l.openTasks, t)
	t.teamPos = len(l.byTeam[t.Account])
	l.byTeam[t.Account] = append(l.byTeam[t.Account], t)
	t.Host, t.Upstream = caplace.NoHost, o.Upstream
	l.Move(t, o.Host, o.Upstream)
}

// Move records that the task is on the upstream now.
func (l *Ledger) Move(t *Task, h caplace.HostIndex, id cawork.UpstreamID) {
	l.removeFromHost(t)
	t.Host, t.Upstream = h, id
	if h == caplace.NoHost {
		return
	}
	for len(l.byHost) <= int(h) {
		l.byHost = append(l.byHost, nil)
	}
	t.hostPos = len(l.byHost[h])
	l.byHost[h] = append(l.byHost[h], t)
}

func (l *Ledger) removeFromHost(t *Task) {
	if t.Host == caplace.NoHost {
		return
	}
	tasks := l.byHost[t.Host]
	last := len(tasks) - 1
	tasks[t.hostPos] = tasks[last]
	tasks[t.hostPos].hostPos = t.hostPos
	tasks[last] = nil
	l.byHost[t.Host] = tasks[:last]
}

// RemoveForeign removes an open foreign task after this entry took over the shard of its
// job. The task is then opened again as an own one.
func (l *Ledger) RemoveForeign(t *Task) { l.remove(t) }

// remove removes an open task from all lists.
func (l *Ledger) remove(t *Task) {
	delete(l.byRef, t.Ref)
	l.removeFromHost(t)
	last := len(l.openTasks) - 1
	l.openTasks[t.allPos] = l.openTasks[last]
	l.openTasks[t.allPos].allPos = t.allPos
	l.openTasks[last] = nil
	l.openTasks = l.openTasks[:last]
	l.removeFromTeam(t)
	if t.Job == nil {
		l.decrementForeign(t.Ref.Job)
		return
	}
	open := t.Job.OpenTasks
	last = len(open) - 1
	open[t.jobPos] = open[last]
	open[t.jobPos].jobPos = t.jobPos
	open[last] = nil
	t.Job.OpenTasks = open[:last]
}

func (l *Ledger) removeFromTeam(t *Task) {
	tasks := l.byTeam[t.Account]
	last := len(tasks) - 1
	tasks[t.teamPos] = tasks[last]
	tasks[t.teamPos].teamPos = t.teamPos
	tasks[last] = nil
	l.byTeam[t.Account] = tasks[:last]
}

func (l *Ledger) decrementForeign(id cawork.JobID) {
	l.foreignCounts[id]--
	if l.foreignCounts[id] == 0 {
		delete(l.foreignCounts, id)
	}
}

// EndAttempt ends the attempt of an open task. The task is queued again if the state
// and the policy allow it, and gets its final outcome otherwise. The caller frees
// the resources of the attempt.
func (l *Ledger) EndAttempt(t *Task, s cawork.TaskState, p casched.Policy) casched.AttemptResult {
	l.remove(t)
	j := t.Job
	if j == nil {
		return casched.AttemptResult{WasOpen: true}
	}
	out := casched.AttemptResult{WasOpen: true, Own: true}
	q := t.afterAttempt(s)
	outcome, retry := casched.AttemptOutcome(j.Spec, s)
	if j.Ending && outcome != cawork.OutcomeDone {
		outcome, retry = cawork.OutcomeCanceled, false
	}
	if retry && q.attempts < p.AttemptLimit(j.Spec) && q.notRun < p.StartLimit(j.Spec) {
		j.tracked = append(j.tracked, q)
		out.Requeued = true
		return out
	}
	j.countEnded(outcome)
	out.Outcome = outcome
	return out
}

// afterAttempt returns the queued form of the task after an attempt that ended in
// the state. An attempt that never ran, or that was checkpointed for a reason
// other than its own usage, does not count towards the limit of attempts.
func (t *Task) afterAttempt(s cawork.TaskState) queuedTask {
	q := queuedTask{index: t.Ref.Index, attempts: t.Attempts, notRun: t.FailedStarts}
	switch {
	case s == cawork.TaskStateFenced:
		q.attempts--
		q.notRun++
	case s == cawork.TaskStateAbsent:
		q.attempts--
	case s == cawork.TaskStateCheckpointed && !t.Overran:
		q.attempts--
	}
	return q
}

func (j *Job) countEnded(o cawork.Outcome) {
	j.ended++
	j.outcomes[o]++
}

// EndQueued ends the queued task with the outcome, and reports whether it was
// queued.
func (j *Job) EndQueued(index int, o cawork.Outcome) bool {
	if _, ok := j.dequeueIndex(index); !ok {
		return false
	}
	j.countEnded(o)
	return true
}

// SetAttempts sets the number of previous attempts of a queued task.
func (j *Job) SetAttempts(index, attempts int) {
	if _, ok := j.dequeueIndex(index); ok {
		j.tracked = append(j.tracked, queuedTask{index: index, attempts: attempts})
	}
}
