package caadmit_test

import (
	"fmt"
	"time"

	"celeryarch.example/celeryarch/internal/request/caadmit"
)

// Team a has twice the weight of team b. Both wait for one slot, and each
// request holds it for a second.
func ExampleQueues() {
	now := time.Unix(0, 0)
	q := caadmit.NewQueues(caadmit.DefaultPolicy().WithTeam(caadmit.TeamPolicy{Team: "a", Weight: 2}))
	slots := caadmit.Capacity{Slots: 8, ServiceTime: time.Millisecond}
	for range 4 {
		_ = q.Admit(now, &caadmit.Ticket{Team: "a", Deadline: now.Add(time.Minute)}, slots)
		_ = q.Admit(now, &caadmit.Ticket{Team: "b", Deadline: now.Add(time.Minute)}, slots)
	}
	always := func(*caadmit.Ticket) bool { return true }
	for range 6 {
		fmt.Print(q.Next(time.Second, always).Team, " ")
	}
	// Output: a b a a b a
}
