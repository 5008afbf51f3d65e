package cajob

import "time"

// IsForgettable reports whether the shard may be retired: it has no open job
// and no allowance, and the outcomes of all its ended jobs have been kept for
// as long as callers may ask for them.
func (s *State) IsForgettable(now time.Time) bool {
	if !s.IsEmpty() {
		return false
	}
	for _, id := range s.ended {
		if now.Sub(s.jobs[id].Ended) <= s.retention.Age {
			return false
		}
	}
	return true
}
