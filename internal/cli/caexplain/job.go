package caexplain

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cli/caloglines"
)

// longRunFactor is the multiple of the median run time of a step above which the time of a
// run counts as CauseLong. The median needs at least minRunsForMedian runs.
const (
	longRunFactor    = 1.5
	minRunsForMedian = 3
)

// The outcomes of a start and the endings of a run, as the log lines name them.
const (
	outcomeAccepted = "accepted"
	outcomeUnknown  = "unknown"
	endingDone      = "done"
	endingFailed    = "failed"
)

// taskRun is one run of a task.
type taskRun struct {
	number     int
	started    time.Time
	ended      time.Time
	done       bool
	unanswered bool
	lost       bool
}

// task is the state of one task of a step, as far as the log lines show it.
type task struct {
	runs []*taskRun
}

// run returns the run with the number. It adds the run if it is new.
func (t *task) run(number int) *taskRun {
	for _, r := range t.runs {
		if r.number == number {
			return r
		}
	}
	r := &taskRun{number: number}
	t.runs = append(t.runs, r)
	return r
}

// completedRun returns the run that completed the task, nil if there is none.
func (t *task) completedRun() *taskRun {
	for _, r := range t.runs {
		if r.done {
			return r
		}
	}
	return nil
}

// job is the state of one job, as far as the log lines show it.
type job struct {
	id, queue, team string
	// firstCall is the start of the first call that submitted it, and accepted the time of its
	// acceptance. Both are zero while unknown.
	firstCall, accepted time.Time
	ended               time.Time
	phase               string
	objective           time.Duration
	refusals            int
	lastStatus          int
	steps               map[int]map[int]*task
}

func newJob(id string) *job { return &job{id: id, steps: make(map[int]map[int]*task)} }

func (j *job) task(step, index int) *task {
	if j.steps[step] == nil {
		j.steps[step] = make(map[int]*task)
	}
	t := j.steps[step][index]
	if t == nil {
		t = &task{}
		j.steps[step][index] = t
	}
	return t
}

// addLine updates the job with a log line about it.
func (j *job) addLine(l caloglines.Line) {
	if l.Queue != "" {
		j.queue = l.Queue
	}
	if l.Team != "" {
		j.team = l.Team
	}
	switch l.Event {
	case caevent.RequestRefused, caevent.RequestAnswered:
		j.addCall(l)
	case caevent.JobAccepted:
		if j.accepted.IsZero() {
			j.accepted = l.Time
			j.objective = milliseconds(l.Objective)
		}
	case caevent.TaskPlaced:
		j.addStart(l)
	case caevent.TaskEnded:
		r := j.task(l.Step, l.Task).run(l.Run)
		r.ended = l.Time
		r.done = l.Ending == endingDone
	case caevent.TaskLapsed:
		j.task(l.Step, l.Task).run(l.Run).lost = true
	case caevent.JobEnded:
		if j.ended.IsZero() {
			j.ended, j.phase = l.Time, l.Phase
		}
	}
}

// addCall updates the job with the response to a call that submitted it.
func (j *job) addCall(l caloglines.Line) {
	if l.Method != "POST" {
		return
	}
	callStart := l.Time.Add(-milliseconds(l.Took))
	if j.firstCall.IsZero() || callStart.Before(j.firstCall) {
		j.firstCall = callStart
	}
	j.lastStatus = l.Status
	if l.Event == caevent.RequestRefused {
		j.refusals++
	}
}

func (j *job) addStart(l caloglines.Line) {
	r := j.task(l.Step, l.Task).run(l.Run)
	switch l.Outcome {
	case outcomeAccepted:
		r.started = l.Time
	case outcomeUnknown:
		r.started, r.unanswered = l.Time, true
	}
}

// milliseconds converts a duration of a log line.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// submitted returns the time of the first known submission of the job, zero if there is none.
func (j *job) submitted() time.Time {
	if j.firstCall.IsZero() || !j.accepted.IsZero() && j.accepted.Before(j.firstCall) {
		return j.accepted
	}
	return j.firstCall
}

// elapsed returns the time from the submission to the end of the job, zero if it has not ended.
func (j *job) elapsed() time.Duration {
	if j.ended.IsZero() {
		return 0
	}
	return j.ended.Sub(j.submitted())
}

// isLate reports whether the job took longer than its objective, which the scheduler
// computes from the estimates of the caller.
func (j *job) isLate() bool { return j.objective > 0 && j.elapsed() > j.objective }

// TimeByCause is the time of a job by cause.
type TimeByCause map[Cause]time.Duration

// longest returns the cause other than CauseRun that took longest.
func (s TimeByCause) longest() (Cause, bool) {
	longest, found := CauseRun, false
	for c := range CauseRun {
		if s[c] > 0 && (!found || s[c] > s[longest]) {
			longest, found = c, true
		}
	}
	return longest, found
}

// timeByCause returns the time of a job by cause, along its critical path: the
// tasks that ended last in successive steps.
func (j *job) timeByCause() TimeByCause {
	s := make(TimeByCause)
	if !j.accepted.IsZero() {
		s[CauseNotAccepted] = max(j.accepted.Sub(j.submitted()), 0)
	}
	step, last := j.lastEndedStep(time.Time{})
	laterStart := time.Time{}
	for last != nil {
		start := firstStart(j.steps[step])
		ready := j.accepted
		earlierStep, earlierTask := j.earlierStep(step, start, laterStart)
		if earlierTask != nil {
			ready = earlierTask.completedRun().ended
		}
		j.addTaskTime(s, step, last, ready)
		step, last, laterStart = earlierStep, earlierTask, start
	}
	return s
}

// earlierStep returns the step before one that began at start, and its task that ended last. It
// returns no task where the log lacks the start, or where the start is not before that of the
// later step, so that the search ends with an incomplete log as well.
func (j *job) earlierStep(step int, start, laterStart time.Time) (int, *task) {
	if start.IsZero() || !laterStart.IsZero() && !start.Before(laterStart) {
		return 0, nil
	}
	earlier, last := j.lastEndedStep(start)
	if earlier == step {
		return 0, nil
	}
	return earlier, last
}

// lastEndedStep returns the step that ended last, with its task that ended last. If the time is
// not zero, only steps that ended by then count.
func (j *job) lastEndedStep(before time.Time) (int, *task) {
	step, last := 0, (*task)(nil)
	for number, tasks := range j.steps {
		t := lastEndedTask(tasks)
		if t == nil || !before.IsZero() && t.completedRun().ended.After(before) {
			continue
		}
		if last == nil || t.completedRun().ended.After(last.completedRun().ended) {
			step, last = number, t
		}
	}
	return step, last
}

// lastEndedTask returns the task of a step that was completed last, nil if none was.
func lastEndedTask(tasks map[int]*task) *task {
	var last *task
	for _, t := range tasks {
		if d := t.completedRun(); d != nil && (last == nil || d.ended.After(last.completedRun().ended)) {
			last = t
		}
	}
	return last
}

// firstStart returns the time of the first start of a task of a step.
func firstStart(tasks map[int]*task) time.Time {
	var first time.Time
	for _, t := range tasks {
		for _, r := range t.runs {
			if !r.started.IsZero() && (first.IsZero() || r.started.Before(first)) {
				first = r.started
			}
		}
	}
	return first
}

// addTaskTime adds the time of one task, which was ready to start at the given time.
func (j *job) addTaskTime(s TimeByCause, step int, t *task, ready time.Time) {
	slices.SortFunc(t.runs, func(x, y *taskRun) int { return x.number - y.number })
	waitStart, cause := ready, CauseWait
	for _, r := range t.runs {
		if r.started.IsZero() {
			continue
		}
		s[cause] += max(r.started.Sub(waitStart), 0)
		waitStart = r.started
		if r.done {
			run := r.ended.Sub(r.started)
			normal := min(j.longRunThreshold(step, run), run)
			s[CauseRun] += normal
			s[CauseLong] += run - normal
			return
		}
		cause = r.retryCause()
	}
}

// retryCause returns the cause for which this run was followed by another.
func (r *taskRun) retryCause() Cause {
	switch {
	case r.lost:
		return CauseLost
	case r.unanswered:
		return CauseUnanswered
	default:
		return CauseFailed
	}
}

// longRunThreshold returns the run time above which a run of the step is too long. Without enough
// runs for a median it returns the time of the run itself.
func (j *job) longRunThreshold(step int, run time.Duration) time.Duration {
	var durations []time.Duration
	for _, t := range j.steps[step] {
		if d := t.completedRun(); d != nil && !d.started.IsZero() {
			durations = append(durations, d.ended.Sub(d.started))
		}
	}
	if len(durations) < minRunsForMedian {
		return run
	}
	slices.Sort(durations)
	return time.Duration(longRunFactor * float64(durations[len(durations)/2]))
}
