package cajob

import "celeryarch.example/celeryarch/internal/base/cawork"

// IsCanceled reports whether the caller canceled the job. Unlike Job, it does
// not copy the job, since it is called at every report of a task.
func (s *State) IsCanceled(id cawork.JobID) bool {
	j, ok := s.jobs[id]
	return ok && j.Canceled
}

// Payload returns the payload of a job, or nil if the shard does not have the job.
func (s *State) Payload(id cawork.JobID) []byte {
	j, ok := s.jobs[id]
	if !ok {
		return nil
	}
	return j.Job.Spec.Payload
}

// DerivedOutcome returns the outcome of an open job as derived from its tasks. It
// returns OutcomePending if there is none yet or the job is not open.
func (s *State) DerivedOutcome(id cawork.JobID) cawork.Outcome {
	j, ok := s.jobs[id]
	if !ok || !j.IsOpen() {
		return cawork.OutcomePending
	}
	return j.DerivedOutcome()
}
