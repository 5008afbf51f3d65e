package cajob

import (
	"fmt"
	"testing"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// filled returns a state with running and ended jobs of 256 bytes.
func filled(b *testing.B, running, ended int) *State {
	b.Helper()
	s := NewState("s", DefaultRetention())
	for i := range running + ended {
		id := cawork.JobID(fmt.Sprintf("job-%08d", i))
		records := []Record{accepted(id, cawork.JobSpec{Tasks: 1, MaxAttempts: 1, Payload: make([]byte, 256)})}
		intent := intended(id, "a-"+string(id))
		intent.AttemptsIntended.Attempts[0].Charge = cawork.Resources{}
		records = append(records, intent)
		if i >= running {
			records = append(records, settledAs(cawork.AttemptID("a-"+id), cawork.TaskStateDone, true), endedAs(id, cawork.OutcomeDone))
		}
		for _, r := range records {
			if err := apply(s, r); err != nil {
				b.Fatal(err)
			}
		}
	}
	return s
}

// BenchmarkSnapshot takes and restores the state of a busy shard.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ running, ended int }{{400, 1000}, {4000, 20000}} {
		s := filled(b, size.running, size.ended)
		b.Run(fmt.Sprintf("running=%d/ended=%d", size.running, size.ended), func(b *testing.B) {
			for b.Loop() {
				image, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(image)))
			}
		})
	}
}
