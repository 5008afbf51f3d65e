package cadecide

import (
	"maps"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/core/cashare"
)

// Check implements casched.Scheduler.
func (s *Scheduler) Check() error {
	if err := s.index.Check(); err != nil {
		return err
	}
	if err := s.checkCommitments(); err != nil {
		return err
	}
	if err := s.checkTeams(); err != nil {
		return err
	}
	if err := s.checkTeamHosts(); err != nil {
		return err
	}
	return s.checkHolds()
}

// checkCommitments verifies the committed capacity of each upstream against the
// sum over open tasks and reservations.
func (s *Scheduler) checkCommitments() error {
	used := make([]caplace.Demand, s.index.HostBound())
	for _, t := range s.ledger.OpenTasks() {
		if t.Host != caplace.NoHost {
			used[t.Host] = used[t.Host].Plus(t.Demand)
		}
	}
	for _, r := range s.reservations {
		for _, h := range r.hosts {
			used[h] = used[h].Plus(r.demand)
		}
	}
	for h, u := range used {
		if u != s.index.UsedOn(caplace.HostIndex(h)) {
			return casched.Violationf(casched.InvariantAccounts, "upstream %s: tasks and reservations sum to %v, but %v is committed",
				s.index.ID(caplace.HostIndex(h)), u, s.index.UsedOn(caplace.HostIndex(h)))
		}
	}
	return nil
}

// checkTeams verifies the use and the queue of each team against the sums over
// open tasks and jobs.
func (s *Scheduler) checkTeams() error {
	use := map[cawork.TeamName]cawork.Resources{}
	stopping := map[cawork.TeamName]cawork.Resources{}
	for _, t := range s.ledger.OpenTasks() {
		if t.Job == nil {
			continue
		}
		use[t.Team] = use[t.Team].Plus(t.Demand.Size)
		if t.StopStage != caledger.StopStageNone {
			stopping[t.Team] = stopping[t.Team].Plus(t.Demand.Size)
		}
	}
	queued := map[cawork.TeamName]*[workKindCount]int{}
	var err error
	s.ledger.Jobs(func(j *caledger.Job) {
		if queued[j.Team] == nil {
			queued[j.Team] = &[workKindCount]int{}
		}
		queued[j.Team][j.Spec.Kind] += j.Queued()
		if (j.QueueEntry != nil) != j.Startable() {
			err = casched.Violationf(casched.InvariantAccounts, "job %s is queued but cannot start, or the reverse", j.ID)
		}
	})
	for _, t := range s.sortedTeams {
		if t.Use != use[t.Name] || t.Stopping != stopping[t.Name] {
			return casched.Violationf(casched.InvariantAccounts, "team %s: open tasks use %v, but %v is charged",
				t.Name, use[t.Name], t.Use)
		}
		if q := queued[t.Name]; (q != nil && *q != t.queued) || (q == nil && t.queued != [workKindCount]int{}) {
			return casched.Violationf(casched.InvariantAccounts, "team %s: jobs have %v queued tasks, but %v are counted",
				t.Name, q, t.queued)
		}
	}
	return err
}

// checkTeamHosts verifies the list of upstreams that have open tasks of a team.
func (s *Scheduler) checkTeamHosts() error {
	hosts := map[*cashare.Team]map[caplace.HostIndex]bool{}
	for _, t := range s.ledger.OpenTasks() {
		if hosts[t.Account] == nil {
			hosts[t.Account] = map[caplace.HostIndex]bool{}
		}
		if t.Host != caplace.NoHost {
			hosts[t.Account][t.Host] = true
		}
	}
	for _, t := range s.sortedTeams {
		want := slices.Sorted(maps.Keys(hosts[t.Team]))
		if got := s.ledger.TeamHosts(t.Team, nil); !slices.Equal(got, want) {
			return casched.Violationf(casched.InvariantAccounts, "team %s: tasks are open on hosts %v, but %v are listed",
				t.Name, want, got)
		}
	}
	return nil
}

// checkHolds verifies that an upstream is held in the index exactly when a job
// holds it.
func (s *Scheduler) checkHolds() error {
	owners := map[caplace.HostIndex]cawork.JobID{}
	for _, held := range s.holds {
		for _, h := range held.hosts {
			owners[h] = held.job.ID
		}
	}
	for h := range s.index.HostBound() {
		if got := s.index.HoldOf(h).Owner; got != owners[h] {
			return casched.Violationf(casched.InvariantAccounts, "upstream %s is held for job %q, expected %q",
				s.index.ID(h), got, owners[h])
		}
	}
	return nil
}
