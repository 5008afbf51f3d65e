package castate

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const testUpstreamIDBytes = 20

// anyJob draws a job with open occurrences and tasks in any state.
func anyJob(t *rapid.T) *Job {
	steps := make([]caspec.Step, rapid.IntRange(1, 4).Draw(t, "steps"))
	for i := range steps {
		steps[i] = caspec.Step{Tasks: rapid.IntRange(1, 40).Draw(t, "tasks"), CPU: 1000, Estimate: time.Second, Checkpointing: true}
	}
	j := NewJob(caspec.Submission{ID: "0000000000000001", Queue: "queue", Team: "north", Steps: steps, Schedule: caspec.Schedule{Occurrences: 100_000, StartMS: 1 << 40}}, 1<<40)
	j.OccurrenceCount = rapid.IntRange(0, 90_000).Draw(t, "first")
	for range rapid.IntRange(0, 5).Draw(t, "open") {
		o := j.OpenNext()
		for i := range o.Steps {
			for k := range o.Steps[i].Tasks {
				o.Steps[i].Tasks[k] = anyTask(t)
			}
		}
	}
	j.Phase = Phase(rapid.IntRange(0, int(PhaseCanceled)).Draw(t, "phase"))
	j.RunOrdered, j.OverRate, j.CrashesCounted = true, true, true
	if j.Phase.IsFinal() {
		j.EndedMS = math.MaxInt64
	}
	return j
}

func anyTask(t *rapid.T) Task {
	task := Task{Phase: TaskPhase(rapid.IntRange(0, int(TaskDone)).Draw(t, "task phase"))}
	if task.Phase == TaskWaiting && rapid.Bool().Draw(t, "untouched") {
		return task
	}
	task.Run, task.Born, task.Failures = rapid.IntRange(1, math.MaxUint16).Draw(t, "run"), math.MaxInt64, rapid.IntRange(0, math.MaxUint8).Draw(t, "failures")
	task.Upstream = cawork.UpstreamID(strings.Repeat("u", testUpstreamIDBytes))
	task.Checkpoint = strings.Repeat("c", rapid.IntRange(0, checkpointBytes).Draw(t, "checkpoint"))
	return task
}

func encode(t *rapid.T, j *Job) []byte {
	b, err := j.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestRecordsStayWithinMaxRecordSize guards against records that become larger than what admission and
// the opening of occurrences allow for.
func TestRecordsStayWithinMaxRecordSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := anyJob(t)
		size, err := NewJob(j.Submission, j.AcceptedMS).MaxRecordSize(testUpstreamIDBytes)
		if err != nil {
			t.Fatal(err)
		}
		if got, most := len(encode(t, j)), size.With(len(j.OpenOccurrences)); got > most {
			t.Errorf("record of %d bytes, want %d at most", got, most)
		}
	})
}

// TestCompactRecordsKeepWhatLeadersNeed guards against compact records that earlier builds cannot read, or
// that lose the phase of a task or an assigned run.
func TestCompactRecordsKeepWhatLeadersNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := anyJob(t)
		whole := encode(t, j)
		compact := encode(t, j.Compact())
		if diff := cmp.Diff(whole, encode(t, j)); diff != "" {
			t.Fatalf("the job has changed (-want +got):\n%s", diff)
		}
		if len(compact) > len(whole) {
			t.Errorf("compact record of %d bytes, larger than the whole one of %d", len(compact), len(whole))
		}
		got, err := DecodeJob(compact)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(runsOf(j), runsOf(got), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("assigned runs (-want +got):\n%s", diff)
		}
		if j.Phase.IsFinal() {
			return
		}
		if diff := cmp.Diff(phasesOf(j), phasesOf(got), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("phases of tasks (-want +got):\n%s", diff)
		}
	})
}

type taskRun struct {
	Occurrence, Step, Index, Run int
	Upstream                     cawork.UpstreamID
	Born                         int64
}

func runsOf(j *Job) (runs []taskRun) {
	for _, o := range j.OpenOccurrences {
		for s, step := range o.Steps {
			for i, t := range step.Tasks {
				if t.Phase == TaskAssigned {
					runs = append(runs, taskRun{o.Number, s, i, t.Run, t.Upstream, t.Born})
				}
			}
		}
	}
	return runs
}

func phasesOf(j *Job) (phases []TaskPhase) {
	for _, o := range j.OpenOccurrences {
		for _, step := range o.Steps {
			for _, t := range step.Tasks {
				phases = append(phases, t.Phase)
			}
		}
	}
	return phases
}
