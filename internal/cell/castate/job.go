// Package castate holds the durable state of jobs and how it changes.
package castate

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

//go:generate go tool enumer -type=Phase -trimprefix=Phase -transform=snake -output=phase_names.go
//go:generate go tool enumer -type=TaskPhase -trimprefix=Task -transform=snake -output=taskphase_names.go

// Phase is how far a job is.
type Phase int

// The phases of a job.
const (
	PhaseQueued Phase = iota
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCanceled
)

// IsFinal reports whether the phase never changes.
func (p Phase) IsFinal() bool { return p >= PhaseCompleted }

// TaskPhase is how far a task is.
type TaskPhase int

// The phases of a task.
const (
	TaskWaiting TaskPhase = iota
	// TaskAssigned means that a run may be present at its upstream.
	TaskAssigned
	TaskDone
)

// Task is the durable state of one task.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Phase TaskPhase
	// Run numbers the last run that was ordered, from 1.
	Run int
	// Upstream and Born name where that run was ordered.
	Upstream   cawork.UpstreamID
	Born       int64
	Failures   int
	Checkpoint string
}

// StepState is the durable state of one step of an occurrence.
type StepState struct {
	_     struct{} `cbor:",toarray"`
	Tasks []Task
	// GangFailures counts the failed runs of a gang, FailedRun the last one.
	GangFailures int
	FailedRun    int
}

// Occurrence is the state of one occurrence of a job.
type Occurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Steps  []StepState
}

// Job is the durable state of a job. The record of a job is replaced as a
// whole by each change.
type Job struct {
	Submission caspec.Submission `cbor:"1,keyasint"`
	// AcceptedMS is when the job was accepted, in Unix milliseconds.
	AcceptedMS int64 `cbor:"2,keyasint"`
	Phase      Phase `cbor:"3,keyasint,omitempty"`
	// Opened counts the occurrences that became due.
	Opened int `cbor:"4,keyasint,omitempty"`
	// Open holds the occurrences that are due and not done.
	Open []*Occurrence `cbor:"5,keyasint,omitempty"`
	// Began reports whether any task was ever ordered to start.
	Began bool `cbor:"6,keyasint,omitempty"`
	// Excess marks a job beyond the rate that its team is owed.
	Excess bool `cbor:"7,keyasint,omitempty"`
	// EndedMS is when the phase became final, in Unix milliseconds.
	EndedMS int64 `cbor:"8,keyasint,omitempty"`
	// FailedRuns are the failures that were counted of tasks which may run in several
	// places, since upstreams tell of an end until they know that it is stored.
	FailedRuns []FailedRun `cbor:"9,keyasint,omitempty"`
}

// FailedRun names a run that failed.
type FailedRun struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Number     int
}

// NoteFailed counts the failure of a run once. It reports whether it is a new one.
func (j *Job) NoteFailed(r FailedRun) bool {
	if slices.Contains(j.FailedRuns, r) {
		return false
	}
	j.FailedRuns = append(j.FailedRuns, r)
	return true
}

// NewJob returns a job that was accepted at the time.
func NewJob(s caspec.Submission, acceptedMS int64) *Job {
	return &Job{Submission: s, AcceptedMS: acceptedMS}
}

// OpenNext opens the next occurrence and returns it.
func (j *Job) OpenNext() *Occurrence {
	o := &Occurrence{Number: j.Opened, Steps: make([]StepState, len(j.Submission.Steps))}
	for i, step := range j.Submission.Steps {
		o.Steps[i].Tasks = make([]Task, step.Tasks)
	}
	j.Opened++
	j.Open = append(j.Open, o)
	return o
}

// IsReady reports whether all steps before the step have ended.
func (j *Job) IsReady(o *Occurrence, step int) bool {
	for _, earlier := range j.Submission.Steps[step].After {
		if !o.Steps[earlier].IsDone() {
			return false
		}
	}
	return true
}

// IsDone reports whether all tasks of the step have ended.
func (s *StepState) IsDone() bool {
	for i := range s.Tasks {
		if s.Tasks[i].Phase != TaskDone {
			return false
		}
	}
	return true
}

// IsDone reports whether all tasks of the occurrence have ended.
func (o *Occurrence) IsDone() bool {
	for i := range o.Steps {
		if !o.Steps[i].IsDone() {
			return false
		}
	}
	return true
}

// CloseDone drops the occurrence when it is done, and completes the job when
// it was the last one. It reports whether the job is completed.
func (j *Job) CloseDone(o *Occurrence, nowMS int64) bool {
	if !o.IsDone() {
		return false
	}
	for i, open := range j.Open {
		if open == o {
			j.Open = append(j.Open[:i], j.Open[i+1:]...)
			break
		}
	}
	j.FailedRuns = slices.DeleteFunc(j.FailedRuns, func(r FailedRun) bool { return r.Occurrence == o.Number })
	if len(j.Open) > 0 || j.Opened < j.Submission.Schedule.Count() {
		return false
	}
	j.End(PhaseCompleted, nowMS)
	return true
}

// End makes the phase final. The occurrences stay until their runs are gone.
func (j *Job) End(p Phase, nowMS int64) {
	j.Phase = p
	j.EndedMS = nowMS
}

// Forget drops what nobody needs of a job whose phase is final and whose runs
// are gone.
func (j *Job) Forget() {
	j.Open = nil
	j.FailedRuns = nil
	j.Submission.Steps = nil
	j.Submission.Payload = ""
}

// Encode returns the record of the job.
func (j *Job) Encode() ([]byte, error) {
	b, err := cbor.Marshal(j)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode job %s", j.Submission.ID)
	}
	return b, nil
}

// DecodeJob returns the job of a record.
func DecodeJob(b []byte) (*Job, error) {
	var j Job
	if err := cbor.Unmarshal(b, &j); err != nil {
		return nil, cakind.Wrap(cakind.KindInvalid, err, "decode job record of %d bytes", len(b))
	}
	if err := j.check(); err != nil {
		return nil, err
	}
	return &j, nil
}

// check returns an error of KindInvalid for a record whose parts contradict each
// other.
func (j *Job) check() error {
	if j.Submission.ID == "" || !j.Phase.IsAPhase() {
		return cakind.New(cakind.KindInvalid, "record of job %q in phase %d", j.Submission.ID, int(j.Phase))
	}
	if len(j.Submission.Steps) > 0 {
		if err := j.Submission.Check(); err != nil {
			return cakind.Wrap(cakind.KindInvalid, err, "record of job %s", j.Submission.ID)
		}
	}
	for i, o := range j.Open {
		if o == nil || !o.matches(j.Submission.Steps) {
			return cakind.New(cakind.KindInvalid, "record of job %s: open occurrence %d does not match its steps", j.Submission.ID, i)
		}
	}
	return nil
}

// matches reports whether the state is one of the steps.
func (o *Occurrence) matches(steps []caspec.Step) bool {
	if len(o.Steps) != len(steps) {
		return false
	}
	for i := range o.Steps {
		if len(o.Steps[i].Tasks) != steps[i].Tasks {
			return false
		}
		for _, t := range o.Steps[i].Tasks {
			if !t.Phase.IsATaskPhase() {
				return false
			}
		}
	}
	return true
}
