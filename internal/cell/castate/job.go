// Package castate defines the durable state of jobs and its transitions.
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

// Phase is the lifecycle phase of a job.
type Phase int

// The phases of a job.
const (
	PhaseQueued Phase = iota
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCanceled
)

// IsFinal reports whether the phase is terminal.
func (p Phase) IsFinal() bool { return p >= PhaseCompleted }

// TaskPhase is the lifecycle phase of a task.
type TaskPhase int

// The phases of a task.
const (
	TaskWaiting TaskPhase = iota
	// TaskAssigned means that a run was ordered and may be present on its upstream.
	TaskAssigned
	TaskDone
)

// Task is the durable state of one task.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Phase TaskPhase
	// Run is the number of the last ordered run, counted from 1.
	Run int
	// Upstream and Born identify the upstream of that run and its incarnation.
	Upstream   cawork.UpstreamID
	Born       int64
	Failures   int
	Checkpoint string
}

// StepState is the durable state of one step of an occurrence.
type StepState struct {
	_     struct{} `cbor:",toarray"`
	Tasks []Task
	// GangFailures counts the failed runs of a gang. FailedRun is the number of
	// the last one.
	GangFailures int
	FailedRun    int
}

// Occurrence is the state of one occurrence of a job.
type Occurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Steps  []StepState
}

// Job is the durable state of a job. Each change replaces the whole record of
// the job.
type Job struct {
	Submission caspec.Submission `cbor:"1,keyasint"`
	// AcceptedMS is when the job was accepted, in Unix milliseconds.
	AcceptedMS int64 `cbor:"2,keyasint"`
	Phase      Phase `cbor:"3,keyasint,omitempty"`
	// OccurrenceCount is the number of occurrences opened so far.
	OccurrenceCount int `cbor:"4,keyasint,omitempty"`
	// OpenOccurrences holds the occurrences that are due and not completed.
	OpenOccurrences []*Occurrence `cbor:"5,keyasint,omitempty"`
	// RunOrdered reports whether a run of any task was ever ordered.
	RunOrdered bool `cbor:"6,keyasint,omitempty"`
	// OverRate marks a job above the guaranteed rate of its team. Among jobs of
	// equal lateness and priority, it is scheduled after the others.
	OverRate bool `cbor:"7,keyasint,omitempty"`
	// EndedMS is when the phase became final, in Unix milliseconds.
	EndedMS int64 `cbor:"8,keyasint,omitempty"`
	// FailedRuns lists the failed runs already counted for tasks that may have
	// several runs at the same time. It deduplicates reports: an upstream repeats
	// the end of a run until the leader acknowledges that the end is stored.
	FailedRuns []FailedRunID `cbor:"9,keyasint,omitempty"`
	// CrashesCounted is set by leaders that count the crashes of upstreams under the tasks of the
	// job. Earlier builds do not, and drop this field with each change.
	CrashesCounted bool `cbor:"10,keyasint,omitempty"`
}

// FailedRunID identifies a run that failed.
type FailedRunID struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Number     int
}

// AddFailedRun records a failed run once and reports whether it was new.
func (j *Job) AddFailedRun(r FailedRunID) bool {
	if slices.Contains(j.FailedRuns, r) {
		return false
	}
	j.FailedRuns = append(j.FailedRuns, r)
	return true
}

// NewJob returns a queued job that was accepted at acceptedMS.
func NewJob(s caspec.Submission, acceptedMS int64) *Job {
	return &Job{Submission: s, AcceptedMS: acceptedMS}
}

// OpenNext opens the next occurrence and returns it, with all tasks waiting.
func (j *Job) OpenNext() *Occurrence {
	o := &Occurrence{Number: j.OccurrenceCount, Steps: make([]StepState, len(j.Submission.Steps))}
	for i, step := range j.Submission.Steps {
		o.Steps[i].Tasks = make([]Task, step.Tasks)
	}
	j.OccurrenceCount++
	j.OpenOccurrences = append(j.OpenOccurrences, o)
	return o
}

// IsReady reports whether all steps that the step depends on have completed.
func (j *Job) IsReady(o *Occurrence, step int) bool {
	for _, earlier := range j.Submission.Steps[step].After {
		if !o.Steps[earlier].IsDone() {
			return false
		}
	}
	return true
}

// IsDone reports whether all tasks of the step have completed.
func (s *StepState) IsDone() bool {
	for i := range s.Tasks {
		if s.Tasks[i].Phase != TaskDone {
			return false
		}
	}
	return true
}

// IsDone reports whether all tasks of the occurrence have completed.
func (o *Occurrence) IsDone() bool {
	for i := range o.Steps {
		if !o.Steps[i].IsDone() {
			return false
		}
	}
	return true
}

// CloseIfDone removes the occurrence if all of its tasks have completed, and
// completes the job if it was the last one. It reports whether it completed the
// job.
func (j *Job) CloseIfDone(o *Occurrence, nowMS int64) bool {
	if !o.IsDone() {
		return false
	}
	for i, open := range j.OpenOccurrences {
		if open == o {
			j.OpenOccurrences = append(j.OpenOccurrences[:i], j.OpenOccurrences[i+1:]...)
			break
		}
	}
	j.FailedRuns = slices.DeleteFunc(j.FailedRuns, func(r FailedRunID) bool { return r.Occurrence == o.Number })
	if len(j.OpenOccurrences) > 0 || j.OccurrenceCount < j.Submission.Schedule.Count() {
		return false
	}
	j.End(PhaseCompleted, nowMS)
	return true
}

// End sets a final phase. Open occurrences are kept until their runs have ended.
func (j *Job) End(p Phase, nowMS int64) {
	j.Phase = p
	j.EndedMS = nowMS
}

// ClearDetails clears the fields that are not needed after the phase is final and all
// runs have ended.
func (j *Job) ClearDetails() {
	j.OpenOccurrences = nil
	j.FailedRuns = nil
	j.Submission.Steps = nil
	j.Submission.Payload = ""
}

// Encode returns the job as a CBOR record.
func (j *Job) Encode() ([]byte, error) {
	b, err := cbor.Marshal(j)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode job %s", j.Submission.ID)
	}
	return b, nil
}

// DecodeJob decodes and validates a record that Encode returned.
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

// check returns an error of KindInvalid if the fields of the record are
// inconsistent.
func (j *Job) check() error {
	if j.Submission.ID == "" || !j.Phase.IsAPhase() {
		return cakind.New(cakind.KindInvalid, "job record with ID %q and phase %d: the ID is empty or the phase is unknown", j.Submission.ID, int(j.Phase))
	}
	if len(j.Submission.Steps) > 0 {
		if err := j.Submission.Check(); err != nil {
			return cakind.Wrap(cakind.KindInvalid, err, "job record %s", j.Submission.ID)
		}
	}
	for i, o := range j.OpenOccurrences {
		if o == nil || !o.matches(j.Submission.Steps) {
			return cakind.New(cakind.KindInvalid, "job record %s: open occurrence %d does not match the steps of the job", j.Submission.ID, i)
		}
	}
	return nil
}

// matches reports whether the occurrence has the steps and task counts of the
// job, and only known task phases.
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
