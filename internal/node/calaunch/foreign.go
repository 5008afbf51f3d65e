package calaunch

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// foreignTasks holds, for each task of another entry that occupies capacity on
// an owned upstream, the attempt that occupies it.
//
// The scheduler tracks tasks, not attempts. Reports can be late or duplicated,
// and the next attempt of a task may occupy the capacity by then:
//
//	attempt 1 ends, reported by a heartbeat      capacity is freed
//	attempt 2 starts from a reservation          capacity is occupied
//	answer to the stop of attempt 1 arrives      must free nothing
type foreignTasks map[cawork.TaskRef]foreignAttempt

// foreignAttempt is an attempt of another entry that occupies capacity.
type foreignAttempt struct {
	id       cawork.AttemptID
	upstream cawork.UpstreamID
}

// put sets the attempt that occupies the capacity of a task.
func (f foreignTasks) put(task cawork.TaskRef, a cawork.AttemptID, u cawork.UpstreamID) {
	f[task] = foreignAttempt{id: a, upstream: u}
}

// remove deletes a task if the attempt occupies its capacity, and reports
// whether it did.
func (f foreignTasks) remove(task cawork.TaskRef, a cawork.AttemptID) bool {
	if f[task].id != a {
		return false
	}
	delete(f, task)
	return true
}

// foreignTaskChanged updates the usage of an owned upstream after a task of
// another entry changed.
func (l *Launcher) foreignTaskChanged(s caplatform.TaskStatus) {
	if s.State != cawork.TaskStateRunning {
		l.endForeign(s.Task, s.Attempt, s)
		return
	}
	if !s.Used.IsZero() && l.foreignTasks[s.Task].id == s.Attempt {
		l.Scheduler.ReportUsage(s.Task, s.Used, l.now())
	}
}

// endForeign frees the capacity of an attempt of another entry that has ended.
func (l *Launcher) endForeign(task cawork.TaskRef, a cawork.AttemptID, s caplatform.TaskStatus) {
	if !s.State.Ended() || !l.foreignTasks.remove(task, a) {
		return
	}
	if s.State == cawork.TaskStateFenced {
		l.Scheduler.StartFailed(task, true, l.now())
		return
	}
	l.Scheduler.Ended(casched.AttemptEnd{Task: task, State: s.State, Used: s.Used, Elapsed: s.Elapsed}, l.now())
}

// foreignStartFailed handles the failed start of an attempt of another entry.
// Unless notRun is set, the attempt may have started, and its capacity stays
// occupied until that is known.
func (l *Launcher) foreignStartFailed(task cawork.TaskRef, a cawork.AttemptID, notRun bool) {
	if l.foreignTasks[task].id != a {
		return
	}
	if notRun {
		delete(l.foreignTasks, task)
	}
	l.Scheduler.StartFailed(task, notRun, l.now())
}

// withdrawForeign frees the capacity of an attempt on an upstream that is no
// longer owned here.
func (l *Launcher) withdrawForeign(task cawork.TaskRef, a cawork.AttemptID) {
	if l.foreignTasks.remove(task, a) {
		l.Scheduler.Withdrawn(task, l.now())
	}
}
