package caapi

import (
	"encoding/json"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Duration is a time.Duration that is encoded as text, for example "30s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// SubmitRequest is the body of a job submission.
type SubmitRequest struct {
	Kind        cawork.WorkKind    `json:"kind"`
	Queue       string             `json:"queue,omitempty"`
	Tasks       int                `json:"tasks"`
	Size        cawork.Resources   `json:"size"`
	RunTime     Duration           `json:"run_time,omitempty"`
	Deadline    Duration           `json:"deadline,omitempty"`
	Urgent      bool               `json:"urgent,omitempty"`
	Idempotent  bool               `json:"idempotent,omitempty"`
	MaxAttempts int                `json:"max_attempts,omitempty"`
	Constraints cawork.Constraints `json:"constraints,omitzero"`
	Payload     json.RawMessage    `json:"payload,omitempty"`
}

// Limits of a submission.
const (
	maxTasksPerJob   = 10_000
	maxPayloadBytes  = 64 << 10
	maxAttemptsLimit = 100
)

// Spec validates the submission and converts it to a job specification.
func (r SubmitRequest) Spec() (cawork.JobSpec, error) {
	if err := r.check(); err != nil {
		return cawork.JobSpec{}, err
	}
	return cawork.JobSpec{
		Kind:        r.Kind,
		Tasks:       max(r.Tasks, 1),
		Size:        r.Size,
		RunTime:     time.Duration(r.RunTime),
		Deadline:    time.Duration(r.Deadline),
		Urgent:      r.Urgent,
		Idempotent:  r.Idempotent,
		MaxAttempts: r.MaxAttempts,
		Constraints: r.Constraints,
		Payload:     r.Payload,
	}, nil
}

func (r SubmitRequest) check() error {
	switch {
	case r.Kind == cawork.WorkKindLookup:
		return cakind.New(cakind.KindInvalid, "kind lookup cannot be submitted as a job; post it to /v1/requests")
	case r.Tasks < 0 || r.Tasks > maxTasksPerJob:
		return cakind.New(cakind.KindInvalid, "tasks is %d, not within 1 to %d", r.Tasks, maxTasksPerJob)
	case r.Size.IsNegative() || r.Size.IsZero():
		return cakind.New(cakind.KindInvalid, "size must be positive in at least one dimension and negative in none")
	case r.RunTime < 0 || r.Deadline < 0:
		return cakind.New(cakind.KindInvalid, "run_time and deadline must not be negative")
	case r.MaxAttempts < 0 || r.MaxAttempts > maxAttemptsLimit:
		return cakind.New(cakind.KindInvalid, "max_attempts is %d, not within 0 to %d", r.MaxAttempts, maxAttemptsLimit)
	case len(r.Payload) > maxPayloadBytes:
		return cakind.New(cakind.KindTooLarge, "payload has %d bytes, more than %d", len(r.Payload), maxPayloadBytes)
	}
	return nil
}

// SubmitResponse is the response to an accepted submission.
type SubmitResponse struct {
	JobID cawork.JobID `json:"job_id"`
}

// TaskStatus is the state of one task of a job.
type TaskStatus struct {
	Index    int               `json:"index"`
	Outcome  cawork.Outcome    `json:"outcome"`
	Running  bool              `json:"running"`
	Attempts int               `json:"attempts"`
	Upstream cawork.UpstreamID `json:"upstream,omitempty"`
	Result   string            `json:"result,omitempty"`
}

// JobStatus is the state of a job.
type JobStatus struct {
	JobID    cawork.JobID    `json:"job_id"`
	Team     cawork.TeamName `json:"team"`
	Queue    string          `json:"queue,omitempty"`
	Kind     cawork.WorkKind `json:"kind"`
	Outcome  cawork.Outcome  `json:"outcome"`
	Reason   string          `json:"reason,omitempty"`
	Accepted time.Time       `json:"accepted"`
	Tasks    []TaskStatus    `json:"tasks"`
}
