package cajob

import "celeryarch.example/celeryarch/internal/base/cawork"

// IsCanceled reports whether the caller canceled the job. Unlike Job it copies
// nothing, for use at every report of a task.
func (s *State) IsCanceled(id cawork.JobID) bool {
	j, ok := s.jobs[id]
	return ok && j.Canceled
}

// Payload returns the payload of a job, nil when the shard does not know it.
func (s *State) Payload(id cawork.JobID) []byte {
	j, ok := s.jobs[id]
	if !ok {
		return nil
	}
	return j.Job.Spec.Payload
}

// Verdict returns the outcome that an open job has earned, OutcomePending
// while it has earned none and for a job that is not open.
func (s *State) Verdict(id cawork.JobID) cawork.Outcome {
	j, ok := s.jobs[id]
	if !ok || !j.IsOpen() {
		return cawork.OutcomePending
	}
	return j.Verdict()
}
