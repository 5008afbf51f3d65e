package castate

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// The largest sizes of parts of a record that its length depends on, in bytes of CBOR.
const (
	// jobGrowthBytes is what the fields of a job take that are not set at first.
	jobGrowthBytes = 64
	// occurrenceHeadBytes is an occurrence without its steps: the array, its number, and the list of steps.
	occurrenceHeadBytes = 1 + 5 + 3
	// stepHeadBytes is a step without its tasks: the array, the list of tasks, and the failures of a gang.
	stepHeadBytes = 1 + 3 + 3 + 3
	// taskBytes is a task without the id of its upstream and a checkpoint: the array, its phase, the
	// number of its run, the head of the id, the incarnation, its failures, and the head of the checkpoint.
	taskBytes = 1 + 1 + 3 + 2 + 9 + 2 + 1
	// checkpointBytes is a checkpoint of the usual length. Longer ones may need more.
	checkpointBytes = 16
	// runIDBytes is a FailedRunID or ProvenRunID.
	runIDBytes = 1 + 5 + 2 + 3 + 3
)

// RecordSize is how large the record of a job can become, in bytes.
type RecordSize struct {
	// Base is the record without open occurrences, and Occurrence each of these once all of its
	// tasks have run.
	Base, Occurrence int
}

// With returns the size of the record with so many open occurrences.
func (s RecordSize) With(occurrences int) int { return s.Base + occurrences*s.Occurrence }

// MaxRecordSize returns how large the record of the job can become, if the ids of upstreams have at
// most so many bytes.
func (j *Job) MaxRecordSize(upstreamIDBytes int) (RecordSize, error) {
	closed := *j
	closed.OpenOccurrences = nil
	b, err := closed.Encode()
	if err != nil {
		return RecordSize{}, err
	}
	size := RecordSize{Base: len(b) + jobGrowthBytes, Occurrence: occurrenceHeadBytes}
	for _, step := range j.Submission.Steps {
		size.Occurrence += stepHeadBytes + step.Tasks*maxTaskBytes(step, upstreamIDBytes)
	}
	return size, nil
}

func maxTaskBytes(s caspec.Step, upstreamIDBytes int) int {
	size := taskBytes + upstreamIDBytes
	if s.Checkpointing {
		size += checkpointBytes
	}
	if s.LongRunning {
		size += runIDBytes
	}
	return size
}

// Compact returns a copy of the job without what a leader that loads it can do without: where tasks ran
// that are not assigned, and of an ended job all but its assigned tasks.
func (j *Job) Compact() *Job {
	c := *j
	c.OpenOccurrences = make([]*Occurrence, 0, len(j.OpenOccurrences))
	for _, o := range j.OpenOccurrences {
		if !j.Phase.IsFinal() || o.hasAssignedTask() {
			c.OpenOccurrences = append(c.OpenOccurrences, o.compact(j.Phase.IsFinal()))
		}
	}
	if j.Phase.IsFinal() {
		c.FailedRuns, c.ProvenRuns, c.Submission.Payload = nil, nil, ""
	}
	return &c
}

// WithoutDoneRuns returns a copy of the job that does not tell where its done tasks ran: no leader needs
// that, and the record of a job is stored again with each of its changes.
func (j *Job) WithoutDoneRuns() *Job {
	c := *j
	c.OpenOccurrences = slices.Clone(j.OpenOccurrences)
	for i, o := range c.OpenOccurrences {
		c.OpenOccurrences[i] = o.withoutDoneRuns()
	}
	return &c
}

func (o *Occurrence) withoutDoneRuns() *Occurrence {
	c := &Occurrence{Number: o.Number, Steps: slices.Clone(o.Steps)}
	for i := range c.Steps {
		c.Steps[i].Tasks = slices.Clone(c.Steps[i].Tasks)
		for k, t := range c.Steps[i].Tasks {
			if t.Phase == TaskDone {
				c.Steps[i].Tasks[k] = t.compact(false)
			}
		}
	}
	return c
}

func (o *Occurrence) hasAssignedTask() bool {
	return slices.ContainsFunc(o.Steps, func(s StepState) bool {
		return slices.ContainsFunc(s.Tasks, func(t Task) bool { return t.Phase == TaskAssigned })
	})
}

func (o *Occurrence) compact(ended bool) *Occurrence {
	c := &Occurrence{Number: o.Number, Steps: slices.Clone(o.Steps)}
	for i := range c.Steps {
		c.Steps[i].Tasks = slices.Clone(c.Steps[i].Tasks)
		for k := range c.Steps[i].Tasks {
			c.Steps[i].Tasks[k] = c.Steps[i].Tasks[k].compact(ended)
		}
	}
	return c
}

func (t Task) compact(ended bool) Task {
	switch {
	case t.Phase == TaskAssigned && ended:
		t.Checkpoint = ""
		return t
	case t.Phase == TaskAssigned:
		return t
	case ended:
		return Task{Phase: t.Phase}
	case t.Phase == TaskDone:
		return Task{Phase: t.Phase, Run: t.Run, Failures: t.Failures}
	default:
		return Task{Phase: t.Phase, Run: t.Run, Failures: t.Failures, Checkpoint: t.Checkpoint}
	}
}

// CompactSize returns the size of the occurrence in a record of Compact, in bytes.
func (o *Occurrence) CompactSize() int {
	b, err := cbor.Marshal(o.compact(false))
	if err != nil {
		return 0
	}
	return len(b)
}

// CloseUntouched closes the newest occurrence again if none of its tasks has run, so that OpenNext opens
// it later. It reports whether it did.
func (j *Job) CloseUntouched(o *Occurrence) bool {
	last := len(j.OpenOccurrences) - 1
	if last < 0 || j.OpenOccurrences[last] != o || o.Number != j.OccurrenceCount-1 {
		return false
	}
	for _, s := range o.Steps {
		if s.GangFailures > 0 || slices.ContainsFunc(s.Tasks, func(t Task) bool { return t != (Task{}) }) {
			return false
		}
	}
	j.OpenOccurrences = slices.Delete(j.OpenOccurrences, last, last+1)
	j.OccurrenceCount--
	return true
}
