package cajob

import "time"

// CanRetire reports whether the shard may be retired: it is empty, and the
// retention of all its ended jobs has passed, so that callers no longer query
// their outcomes.
func (s *State) CanRetire(now time.Time) bool {
	if !s.IsEmpty() {
		return false
	}
	for _, id := range s.endedJobs {
		if now.Sub(s.jobs[id].Ended) <= s.retention.MaxAge {
			return false
		}
	}
	return true
}
