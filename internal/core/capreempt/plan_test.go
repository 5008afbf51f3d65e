package capreempt_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/capreempt"
)

type teamBudget map[cawork.TeamName]int

func (b teamBudget) Spend(t *caledger.Task) bool {
	if b[t.Team] == 0 {
		return false
	}
	b[t.Team]--
	return true
}

func (b teamBudget) Refund(t *caledger.Task) { b[t.Team]++ }

func victim(team cawork.TeamName, cpu int64, loss time.Duration) capreempt.Victim {
	return capreempt.Victim{Task: &caledger.Task{Team: team, Demand: cores(cpu)}, Loss: loss}
}

func cores(n int64) caplace.Demand {
	return caplace.Demand{Size: cawork.Resources{CPU: cawork.Cores(n)}}
}

func hosts() []capreempt.Host {
	return []capreempt.Host{
		{Index: 0, Victims: []capreempt.Victim{victim("a", 2, time.Minute), victim("a", 2, 3*time.Minute)}},
		{Index: 1, Victims: []capreempt.Victim{victim("b", 4, 2*time.Minute), victim("b", 1, time.Minute)}},
	}
}

// TestFindPreemptsOnlyTheLeastLoss guards against a plan that loses more work than
// needed: by the choice of upstream a, or by the task of 1 core on b, which is picked
// first and must be refunded.
func TestFindPreemptsOnlyTheLeastLoss(t *testing.T) {
	b := teamBudget{"a": 9, "b": 9}
	p, ok := capreempt.Find(hosts(), cores(4), 1, b)
	if !ok {
		t.Fatal("Find() found no plan")
	}
	if diff := cmp.Diff([]caplace.HostIndex{1}, p.Hosts); diff != "" {
		t.Errorf("upstreams mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(teamBudget{"a": 9, "b": 8}, b); diff != "" {
		t.Errorf("budget mismatch (-want +got):\n%s", diff)
	}
}

// TestFindStaysWithinTheBudget guards against preemptions beyond the budget, and
// against budget spent on a plan that is not found.
func TestFindStaysWithinTheBudget(t *testing.T) {
	b := teamBudget{"a": 1}
	if _, ok := capreempt.Find(hosts(), cores(4), 1, b); ok {
		t.Error("Find() returned a plan beyond the budget")
	}
	if diff := cmp.Diff(teamBudget{"a": 1}, b); diff != "" {
		t.Errorf("budget mismatch (-want +got):\n%s", diff)
	}
}
