package caexplain

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// longTimes is how many times the median run of its step a run takes from which the rest
// counts as too long, and siblingsLeast the runs that make a median.
const (
	longTimes     = 1.5
	siblingsLeast = 3
)

// outcomeAccepted and outcomeUnknown are outcomes of a start, and endingDone and
// endingFailed endings of a run, as the lines name them.
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

// task is what is known of one task of a step.
type task struct {
	runs []*taskRun
}

// run returns the run of the number.
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

// done returns the run that ended the task, nil while there is none.
func (t *task) done() *taskRun {
	for _, r := range t.runs {
		if r.done {
			return r
		}
	}
	return nil
}

// job is what is known of one job.
type job struct {
	id, queue, team string
	// called is the time of the first call that handed it in, and accepted when it was
	// accepted; both are zero while not known.
	called, accepted time.Time
	ended            time.Time
	phase            string
	objective        time.Duration
	refusals         int
	lastStatus       int
	steps            map[int]map[int]*task
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

// add takes up a line about the job.
func (j *job) add(l Line) {
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

// addCall takes up the answer to a call that handed the job in.
func (j *job) addCall(l Line) {
	if l.Method != "POST" {
		return
	}
	began := l.Time.Add(-milliseconds(l.Took))
	if j.called.IsZero() || began.Before(j.called) {
		j.called = began
	}
	j.lastStatus = l.Status
	if l.Event == caevent.RequestRefused {
		j.refusals++
	}
}

func (j *job) addStart(l Line) {
	r := j.task(l.Step, l.Task).run(l.Run)
	switch l.Outcome {
	case outcomeAccepted:
		r.started = l.Time
	case outcomeUnknown:
		r.started, r.unanswered = l.Time, true
	}
}

// began returns when the job was handed in first, as far as it is known.
func (j *job) began() time.Time {
	if j.called.IsZero() || !j.accepted.IsZero() && j.accepted.Before(j.called) {
		return j.accepted
	}
	return j.called
}

// took returns how long it took until the job ended, zero while it has not.
func (j *job) took() time.Duration {
	if j.ended.IsZero() {
		return 0
	}
	return j.ended.Sub(j.began())
}

// isLate reports whether the job ended after its objective, which the system works out
// from the estimates of the caller.
func (j *job) isLate() bool { return j.objective > 0 && j.took() > j.objective }

// Spent is the time that a job spent, by cause.
type Spent map[Cause]time.Duration

// most returns the cause that took most, other than running.
func (s Spent) most() (Cause, bool) {
	best, found := CauseRun, false
	for c := range CauseRun {
		if s[c] > 0 && (!found || s[c] > s[best]) {
			best, found = c, true
		}
	}
	return best, found
}

// spent returns where the time of a job went, along the chain of tasks that ended last.
func (j *job) spent() Spent {
	s := make(Spent)
	if !j.accepted.IsZero() {
		s[CauseNotAccepted] = max(j.accepted.Sub(j.began()), 0)
	}
	step, last := j.lastStep(time.Time{})
	for last != nil {
		ready := j.accepted
		before, earlier := j.lastStep(firstStart(j.steps[step]))
		if earlier != nil && before != step {
			ready = earlier.done().ended
		} else {
			earlier = nil
		}
		j.addTask(s, step, last, ready)
		step, last = before, earlier
	}
	return s
}

// lastStep returns the step that ended last before the time, if one is given, with its
// task that ended last.
func (j *job) lastStep(before time.Time) (int, *task) {
	step, last := 0, (*task)(nil)
	for number, tasks := range j.steps {
		t := lastTask(tasks)
		if t == nil || !before.IsZero() && t.done().ended.After(before) {
			continue
		}
		if last == nil || t.done().ended.After(last.done().ended) {
			step, last = number, t
		}
	}
	return step, last
}

// lastTask returns the task of a step that ended last, nil if none did.
func lastTask(tasks map[int]*task) *task {
	var last *task
	for _, t := range tasks {
		if d := t.done(); d != nil && (last == nil || d.ended.After(last.done().ended)) {
			last = t
		}
	}
	return last
}

// firstStart returns when the first task of a step was started.
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

// addTask adds the time of one task that was ready at a time.
func (j *job) addTask(s Spent, step int, t *task, ready time.Time) {
	slices.SortFunc(t.runs, func(x, y *taskRun) int { return x.number - y.number })
	at, cause := ready, CauseWait
	for _, r := range t.runs {
		if r.started.IsZero() {
			continue
		}
		s[cause] += max(r.started.Sub(at), 0)
		at = r.started
		if r.done {
			run := r.ended.Sub(r.started)
			usual := min(j.usualRun(step, run), run)
			s[CauseRun] += usual
			s[CauseLong] += run - usual
			return
		}
		cause = r.causeOfNext()
	}
}

// causeOfNext returns why another run followed this one.
func (r *taskRun) causeOfNext() Cause {
	switch {
	case r.lost:
		return CauseLost
	case r.unanswered:
		return CauseUnanswered
	default:
		return CauseFailed
	}
}

// usualRun returns the time from which a run of the step is too long; without others to
// compare it is that of the run itself.
func (j *job) usualRun(step int, run time.Duration) time.Duration {
	var all []time.Duration
	for _, t := range j.steps[step] {
		if d := t.done(); d != nil && !d.started.IsZero() {
			all = append(all, d.ended.Sub(d.started))
		}
	}
	if len(all) < siblingsLeast {
		return run
	}
	slices.Sort(all)
	return time.Duration(longTimes * float64(all[len(all)/2]))
}
