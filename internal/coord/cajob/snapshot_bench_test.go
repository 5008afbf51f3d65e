package cajob

import (
	"fmt"
	"testing"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// newFilledState returns a state with running and ended jobs, each submitted with
// a payload of 256 bytes.
func newFilledState(b *testing.B, running, ended int) *State {
	b.Helper()
	s := NewState("s", DefaultRetention())
	for i := range running + ended {
		id := cawork.JobID(fmt.Sprintf("job-%08d", i))
		records := []Record{jobAccepted(id, cawork.JobSpec{Tasks: 1, MaxAttempts: 1, Payload: make([]byte, 256)})}
		intent := attemptsIntended(id, "a-"+string(id))
		intent.AttemptsIntended.Attempts[0].Charge = cawork.Resources{}
		records = append(records, intent)
		if i >= running {
			records = append(records, attemptSettled(cawork.AttemptID("a-"+id), cawork.TaskStateDone, true), jobEnded(id, cawork.OutcomeDone))
		}
		for _, r := range records {
			if err := applyEncoded(s, r); err != nil {
				b.Fatal(err)
			}
		}
	}
	return s
}

// BenchmarkSnapshot encodes the state of a shard with many jobs.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ running, ended int }{{400, 1000}, {4000, 20000}} {
		s := newFilledState(b, size.running, size.ended)
		b.Run(fmt.Sprintf("running=%d/ended=%d", size.running, size.ended), func(b *testing.B) {
			for b.Loop() {
				snap, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(snap)))
			}
		})
	}
}
