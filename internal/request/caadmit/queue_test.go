package caadmit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caadmit"
)

var (
	start       = time.Unix(1000, 0)
	farDeadline = start.Add(time.Hour)
	capacity    = caadmit.Capacity{Slots: 8, ServiceTime: time.Millisecond}
)

func newTicket(team string) *caadmit.Ticket {
	return &caadmit.Ticket{Team: cawork.TeamName(team), Deadline: farDeadline}
}

func acceptAny(*caadmit.Ticket) bool { return true }

func weightedPolicy() caadmit.Policy {
	p := caadmit.DefaultPolicy()
	p.Default.MaxWait = time.Hour
	return p.WithTeam(caadmit.TeamPolicy{Team: "a", Weight: 2}).
		WithTeam(caadmit.TeamPolicy{Team: "b", Weight: 1})
}

func TestNextFollowsWeights(t *testing.T) {
	q := caadmit.NewQueues(weightedPolicy())
	for range 6 {
		for _, team := range []string{"a", "b"} {
			if err := q.Admit(start, newTicket(team), capacity); err != nil {
				t.Fatal(err)
			}
		}
	}
	var got string
	for range 9 {
		got += string(q.Next(time.Second, acceptAny).Team)
	}
	if diff := cmp.Diff("abaabaaba", got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Slot time that a team used while no other waited must not delay it later.
func TestUncontendedUseDoesNotDelayTeam(t *testing.T) {
	q := caadmit.NewQueues(weightedPolicy())
	for range 1000 {
		q.Charge("a", time.Second)
	}
	for range 4 {
		_ = q.Admit(start, newTicket("a"), capacity)
		_ = q.Admit(start, newTicket("b"), capacity)
	}
	served := map[cawork.TeamName]int{}
	for range 4 {
		served[q.Next(time.Second, acceptAny).Team]++
	}
	if served["a"] < 2 {
		t.Errorf("served %v, want at least 2 requests of team a", served)
	}
}

func TestAdmitRefusesEarly(t *testing.T) {
	p := caadmit.DefaultPolicy()
	p.MaxTotalQueued = 5
	p = p.WithTeam(caadmit.TeamPolicy{Team: "short-queue", MaxQueued: 2}).
		WithTeam(caadmit.TeamPolicy{Team: "short-wait", MaxWait: time.Millisecond})
	slow := caadmit.Capacity{Slots: 1, ServiceTime: 300 * time.Millisecond}
	tests := []struct {
		name     string
		team     string
		deadline time.Duration
		waiting  int
		want     bool
	}{
		{"fits", "other", time.Hour, 0, true},
		{"queue of the team full", "short-queue", time.Hour, 2, false},
		{"all queues full", "other", time.Hour, 5, false},
		{"expected wait above the limit", "short-wait", time.Hour, 0, false},
		{"expected end after the deadline", "other", 500 * time.Millisecond, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := caadmit.NewQueues(p)
			for range tt.waiting {
				if err := q.Admit(start, newTicket(tt.team), capacity); err != nil {
					t.Fatal(err)
				}
			}
			ticket := newTicket(tt.team)
			ticket.Deadline = start.Add(tt.deadline)
			err := q.Admit(start, ticket, slow)
			if diff := cmp.Diff(tt.want, err == nil); diff != "" {
				t.Fatalf("admitted (-want +got):\n%s", diff)
			}
			if err != nil && (cakind.Of(err) != cakind.KindOverloaded || cakind.RetryAfterOf(err) <= 0) {
				t.Errorf("refusal %v: kind %s, retry after %s", err, cakind.Of(err), cakind.RetryAfterOf(err))
			}
		})
	}
}

// A request with a close deadline overtakes others of its team, except those
// that have waited for the aging time.
func TestNextFollowsDueTimes(t *testing.T) {
	q := caadmit.NewQueues(weightedPolicy().WithAging(200 * time.Millisecond))
	arrivals := []struct{ at, deadline time.Duration }{
		{0, time.Hour},
		{50 * time.Millisecond, time.Hour},
		{60 * time.Millisecond, 101 * time.Millisecond},
		{210 * time.Millisecond, 41 * time.Millisecond},
		{220 * time.Millisecond, 21 * time.Millisecond},
	}
	for i, a := range arrivals {
		now := start.Add(a.at)
		ticket := &caadmit.Ticket{Team: "a", Deadline: now.Add(a.deadline), Payload: i}
		if err := q.Admit(now, ticket, capacity); err != nil {
			t.Fatal(err)
		}
	}
	var got []int
	for range arrivals {
		got = append(got, q.Next(time.Millisecond, acceptAny).Payload.(int))
	}
	if diff := cmp.Diff([]int{2, 0, 4, 1, 3}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestQueuesAgainstModel compares random operations with plain slices: no
// request is lost or served twice, and the requests of each team are served in
// the order of their due times.
func TestQueuesAgainstModel(t *testing.T) {
	teams := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		q := caadmit.NewQueues(weightedPolicy())
		model := map[cawork.TeamName][]*caadmit.Ticket{}
		due := map[*caadmit.Ticket]time.Time{}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			team := rapid.SampledFrom(teams).Draw(t, "team")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "elapsed_ms")) * time.Millisecond)
				ticket := newTicket(team)
				ticket.Deadline = now.Add(time.Duration(rapid.IntRange(500, 3000).Draw(t, "deadline_ms")) * time.Millisecond)
				if q.Admit(now, ticket, capacity) == nil {
					due[ticket] = now.Add(min(time.Second, ticket.Deadline.Sub(now)-capacity.ServiceTime))
					model[ticket.Team] = append(model[ticket.Team], ticket)
					slices.SortStableFunc(model[ticket.Team], func(a, b *caadmit.Ticket) int { return due[a].Compare(due[b]) })
				}
			case 2:
				if waiting := model[cawork.TeamName(team)]; len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "index")
					if !q.Remove(waiting[i]) {
						t.Fatal("a waiting request was not found")
					}
					model[cawork.TeamName(team)] = append(append([]*caadmit.Ticket{}, waiting[:i]...), waiting[i+1:]...)
				}
			case 3:
				ticket := q.Next(time.Millisecond, acceptAny)
				if ticket == nil {
					break
				}
				if model[ticket.Team][0] != ticket {
					t.Fatal("served out of order")
				}
				model[ticket.Team] = model[ticket.Team][1:]
				if q.Remove(ticket) {
					t.Fatal("a served request still waits")
				}
			}
			total := 0
			for _, waiting := range model {
				total += len(waiting)
			}
			if q.Len() != total {
				t.Fatalf("%d requests wait, want %d", q.Len(), total)
			}
		}
	})
}
