package calaunch

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// foreignTasks holds, for each task of another entry that takes room on an
// owned upstream, the attempt that takes it.
//
// The scheduler knows tasks and no attempts. Reports come late and twice, and
// the next attempt of a task may have the room by then:
//
//	attempt 1 ends, a heartbeat tells so     room is freed
//	attempt 2 starts in reserved room        room is taken
//	the answer to the stop of attempt 1      must free nothing
type foreignTasks map[cawork.TaskRef]foreignAttempt

// foreignAttempt is the attempt of a foreign task that takes room.
type foreignAttempt struct {
	id       cawork.AttemptID
	upstream cawork.UpstreamID
}

// put notes the attempt that takes room for a task from now on.
func (f foreignTasks) put(task cawork.TaskRef, a cawork.AttemptID, u cawork.UpstreamID) {
	f[task] = foreignAttempt{id: a, upstream: u}
}

// take forgets a task if the attempt has its room, and reports whether it had.
func (f foreignTasks) take(task cawork.TaskRef, a cawork.AttemptID) bool {
	if f[task].id != a {
		return false
	}
	delete(f, task)
	return true
}

// foreignChanged keeps the account of an owned upstream when a task of another
// entry changed.
func (l *Launcher) foreignChanged(s caplatform.TaskStatus) {
	if s.State != cawork.TaskStateRunning {
		l.endForeign(s.Task, s.Attempt, s)
		return
	}
	if !s.Used.IsZero() && l.foreign[s.Task].id == s.Attempt {
		l.Scheduler.ReportUsage(s.Task, s.Used, l.now())
	}
}

// endForeign frees the room of an attempt of another entry that has ended.
func (l *Launcher) endForeign(task cawork.TaskRef, a cawork.AttemptID, s caplatform.TaskStatus) {
	if !s.State.Ended() || !l.foreign.take(task, a) {
		return
	}
	if s.State == cawork.TaskStateFenced {
		l.Scheduler.StartFailed(task, true, l.now())
		return
	}
	l.Scheduler.Ended(casched.End{Task: task, State: s.State, Used: s.Used, Elapsed: s.Elapsed}, l.now())
}

// failForeign notes that an attempt of another entry did not start, or may not
// have. Its room is kept until that is known.
func (l *Launcher) failForeign(task cawork.TaskRef, a cawork.AttemptID, notRun bool) {
	if l.foreign[task].id != a {
		return
	}
	if notRun {
		delete(l.foreign, task)
	}
	l.Scheduler.StartFailed(task, notRun, l.now())
}

// withdrawForeign frees the room of an attempt on an upstream that is not
// owned any more.
func (l *Launcher) withdrawForeign(task cawork.TaskRef, a cawork.AttemptID) {
	if l.foreign.take(task, a) {
		l.Scheduler.Withdrawn(task, l.now())
	}
}
