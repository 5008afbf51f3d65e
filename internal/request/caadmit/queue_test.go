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
	start    = time.Unix(1000, 0)
	later    = start.Add(time.Hour)
	capacity = caadmit.Capacity{Slots: 8, Service: time.Millisecond}
)

func ticket(team string) *caadmit.Ticket {
	return &caadmit.Ticket{Team: cawork.TeamName(team), Deadline: later}
}

func accept(*caadmit.Ticket) bool { return true }

func policy() caadmit.Policy {
	p := caadmit.DefaultPolicy()
	p.Default.MaxWait = time.Hour
	return p.WithTeam(caadmit.TeamPolicy{Team: "a", Weight: 2}).
		WithTeam(caadmit.TeamPolicy{Team: "b", Weight: 1})
}

func TestNextFollowsTheWeights(t *testing.T) {
	q := caadmit.NewQueues(policy())
	for range 6 {
		for _, team := range []string{"a", "b"} {
			if err := q.Admit(start, ticket(team), capacity); err != nil {
				t.Fatal(err)
			}
		}
	}
	var got string
	for range 9 {
		got += string(q.Next(time.Second, accept).Team)
	}
	if diff := cmp.Diff("abaabaaba", got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// A team that used an idle cell alone does not wait for it later.
func TestPastUseWithoutWaitingIsNotHeldAgainst(t *testing.T) {
	q := caadmit.NewQueues(policy())
	for range 1000 {
		q.Charge("a", time.Second)
	}
	for range 4 {
		_ = q.Admit(start, ticket("a"), capacity)
		_ = q.Admit(start, ticket("b"), capacity)
	}
	served := map[cawork.TeamName]int{}
	for range 4 {
		served[q.Next(time.Second, accept).Team]++
	}
	if served["a"] < 2 {
		t.Errorf("served %v", served)
	}
}

func TestAdmitRefusesEarly(t *testing.T) {
	p := caadmit.DefaultPolicy()
	p.MaxTotal = 5
	p = p.WithTeam(caadmit.TeamPolicy{Team: "small", MaxQueued: 2}).
		WithTeam(caadmit.TeamPolicy{Team: "hasty", MaxWait: time.Millisecond})
	slow := caadmit.Capacity{Slots: 1, Service: 300 * time.Millisecond}
	tests := []struct {
		name     string
		team     string
		deadline time.Duration
		waiting  int
		want     bool
	}{
		{"fits", "other", time.Hour, 0, true},
		{"queue of the team full", "small", time.Hour, 2, false},
		{"all queues full", "other", time.Hour, 5, false},
		{"wait beyond the bound", "hasty", time.Hour, 0, false},
		{"wait beyond the deadline", "other", 500 * time.Millisecond, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := caadmit.NewQueues(p)
			for range tt.waiting {
				if err := q.Admit(start, ticket(tt.team), capacity); err != nil {
					t.Fatal(err)
				}
			}
			k := ticket(tt.team)
			k.Deadline = start.Add(tt.deadline)
			err := q.Admit(start, k, slow)
			if diff := cmp.Diff(tt.want, err == nil); diff != "" {
				t.Fatalf("admitted (-want +got):\n%s", diff)
			}
			if err != nil && (cakind.Of(err) != cakind.KindOverloaded || cakind.RetryAfterOf(err) <= 0) {
				t.Errorf("refusal %v: kind %s, retry after %s", err, cakind.Of(err), cakind.RetryAfterOf(err))
			}
		})
	}
}

// A request with a close deadline overtakes those of its team, but none that
// has waited for the aging time.
func TestNextFollowsTheDueTimes(t *testing.T) {
	q := caadmit.NewQueues(policy().WithAging(200 * time.Millisecond))
	arrivals := []struct{ at, deadline time.Duration }{
		{0, time.Hour},
		{50 * time.Millisecond, time.Hour},
		{60 * time.Millisecond, 101 * time.Millisecond},
		{210 * time.Millisecond, 41 * time.Millisecond},
		{220 * time.Millisecond, 21 * time.Millisecond},
	}
	for i, a := range arrivals {
		now := start.Add(a.at)
		k := &caadmit.Ticket{Team: "a", Deadline: now.Add(a.deadline), Payload: i}
		if err := q.Admit(now, k, capacity); err != nil {
			t.Fatal(err)
		}
	}
	var got []int
	for range arrivals {
		got = append(got, q.Next(time.Millisecond, accept).Payload.(int))
	}
	if diff := cmp.Diff([]int{2, 0, 4, 1, 3}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestQueuesAgainstNaive compares random histories with plain slices: no
// request is lost or served twice, and each team is served in the order of
// the times at which its requests are due.
func TestQueuesAgainstNaive(t *testing.T) {
	teams := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		q := caadmit.NewQueues(policy())
		naive := map[cawork.TeamName][]*caadmit.Ticket{}
		due := map[*caadmit.Ticket]time.Time{}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			team := rapid.SampledFrom(teams).Draw(t, "team")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "elapsed_ms")) * time.Millisecond)
				k := ticket(team)
				k.Deadline = now.Add(time.Duration(rapid.IntRange(500, 3000).Draw(t, "deadline_ms")) * time.Millisecond)
				if q.Admit(now, k, capacity) == nil {
					due[k] = now.Add(min(time.Second, k.Deadline.Sub(now)-capacity.Service))
					naive[k.Team] = append(naive[k.Team], k)
					slices.SortStableFunc(naive[k.Team], func(a, b *caadmit.Ticket) int { return due[a].Compare(due[b]) })
				}
			case 2:
				if list := naive[cawork.TeamName(team)]; len(list) > 0 {
					i := rapid.IntRange(0, len(list)-1).Draw(t, "index")
					if !q.Remove(list[i]) {
						t.Fatal("a waiting request was not found")
					}
					naive[cawork.TeamName(team)] = append(append([]*caadmit.Ticket{}, list[:i]...), list[i+1:]...)
				}
			case 3:
				k := q.Next(time.Millisecond, accept)
				if k == nil {
					break
				}
				if naive[k.Team][0] != k {
					t.Fatal("served out of order")
				}
				naive[k.Team] = naive[k.Team][1:]
				if q.Remove(k) {
					t.Fatal("a served request still waits")
				}
			}
			total := 0
			for _, list := range naive {
				total += len(list)
			}
			if q.Len() != total {
				t.Fatalf("%d wait, want %d", q.Len(), total)
			}
		}
	})
}
