package castandup

import (
	"encoding/json"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// defaultRunTime is how long a task without a script runs.
const defaultRunTime = time.Second

// throttleFactor is how much longer a throttled task runs.
const throttleFactor = 2

// TaskScript is the payload by which a submitter sets the behavior of a task. A task
// whose payload is not a script succeeds after the default time.
type TaskScript struct {
	// RunMillis is the run time in milliseconds; a service without one runs
	// until it is stopped.
	RunMillis int64 `json:"run_ms"`
	// Fail makes the task end with an error.
	Fail bool `json:"fail"`
	// Result is the result of the task.
	Result string `json:"result"`
	// UsedCPU is the reported CPU usage; zero reports the size of the task.
	UsedCPU cawork.MilliCPU `json:"used_cpu_milli"`
}

type task struct {
	start      caplatform.Start
	script     TaskScript
	state      cawork.TaskState
	startedAt  time.Time
	endsAt     time.Time
	endedAt    time.Time
	leaseUntil time.Time
	sequence   int64
	// usageReported is set once the status includes the usage.
	usageReported bool
}

func newTask(s caplatform.Start, now time.Time) *task {
	t := &task{start: s, state: cawork.TaskStateRunning, startedAt: now, leaseUntil: now.Add(s.TTL)}
	if json.Unmarshal(s.Payload, &t.script) != nil {
		t.script = TaskScript{}
	}
	if t.script.RunMillis > 0 {
		t.endsAt = now.Add(time.Duration(t.script.RunMillis) * time.Millisecond)
	} else if s.Kind != cawork.WorkKindService {
		t.endsAt = now.Add(defaultRunTime)
	}
	return t
}

func newFencedTask(id cawork.AttemptID, now time.Time) *task {
	return &task{start: caplatform.Start{Attempt: id}, state: cawork.TaskStateFenced, endedAt: now}
}

// advance ends the task when its run time or lease is over, and marks its usage as
// reported after the lag. It reports whether the status changed.
func (t *task) advance(now time.Time) bool {
	if t.state != cawork.TaskStateRunning {
		return false
	}
	if t.endIfDue(now) {
		return true
	}
	usageDue := !t.usageReported && now.Sub(t.startedAt) >= usageLag
	t.usageReported = t.usageReported || usageDue
	return usageDue
}

// endIfDue ends the task when its run time or lease is over and reports whether
// it did.
func (t *task) endIfDue(now time.Time) bool {
	ends := !t.endsAt.IsZero() && !now.Before(t.endsAt)
	if ends && !t.endsAt.After(t.leaseUntil) {
		t.end(cawork.TaskStateDone, t.endsAt)
		if t.script.Fail {
			t.state = cawork.TaskStateFailed
		}
		return true
	}
	if now.After(t.leaseUntil) {
		t.end(cawork.TaskStateLapsed, t.leaseUntil)
		return true
	}
	return false
}

func (t *task) end(state cawork.TaskState, at time.Time) {
	t.state = state
	t.endedAt = at
}

func (t *task) stop(mode caplatform.StopMode, now time.Time) {
	switch mode {
	case caplatform.StopModeStop:
		t.end(cawork.TaskStateStopped, now)
	case caplatform.StopModeCheckpoint:
		t.end(cawork.TaskStateCheckpointed, now)
	case caplatform.StopModeThrottle:
		if !t.endsAt.IsZero() {
			t.endsAt = now.Add(throttleFactor * t.endsAt.Sub(now))
		}
	}
}

func (t *task) status(now time.Time) caplatform.TaskStatus {
	last := now
	if t.state.Ended() {
		last = t.endedAt
	}
	status := caplatform.TaskStatus{
		Attempt: t.start.Attempt,
		Task:    t.start.Task,
		Shard:   t.start.Shard,
		Team:    t.start.Team,
		Kind:    t.start.Kind,
		Size:    t.start.Size,
		State:   t.state,
		Elapsed: last.Sub(t.startedAt),
		Used:    t.used(now),
	}
	if t.state == cawork.TaskStateDone {
		status.Result = []byte(t.script.Result)
	}
	return status
}

// used returns the reported usage, which is zero until the lag has passed.
func (t *task) used(now time.Time) cawork.Resources {
	if now.Sub(t.startedAt) < usageLag {
		return cawork.Resources{}
	}
	used := t.start.Size
	if t.script.UsedCPU > 0 {
		used.CPU = t.script.UsedCPU
	}
	return used
}
