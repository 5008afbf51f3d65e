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
	if err := s.checkRoom(); err != nil {
		return err
	}
	if err := s.checkTeams(); err != nil {
		return err
	}
	if err := s.checkHostsOfTeams(); err != nil {
		return err
	}
	return s.checkHolds()
}

// checkRoom sums what tasks and reservations take of each upstream.
func (s *Scheduler) checkRoom() error {
	used := make([]caplace.Demand, s.index.Hosts())
	for _, t := range s.ledger.All() {
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
			return casched.Violated(casched.InvariantAccounts, "upstream %s has %v committed, not %v",
				s.index.ID(caplace.HostIndex(h)), u, s.index.UsedOn(caplace.HostIndex(h)))
		}
	}
	return nil
}

// checkTeams sums what tasks use and jobs queue of each team.
func (s *Scheduler) checkTeams() error {
	use := map[cawork.TeamName]cawork.Resources{}
	stopping := map[cawork.TeamName]cawork.Resources{}
	for _, t := range s.ledger.All() {
		if t.Job == nil {
			continue
		}
		use[t.Team] = use[t.Team].Plus(t.Demand.Size)
		if t.Stopping != caledger.StoppingNot {
			stopping[t.Team] = stopping[t.Team].Plus(t.Demand.Size)
		}
	}
	queued := map[cawork.TeamName]*[kindCount]int{}
	var err error
	s.ledger.Jobs(func(j *caledger.Job) {
		if queued[j.Team] == nil {
			queued[j.Team] = &[kindCount]int{}
		}
		queued[j.Team][j.Spec.Kind] += j.Queued()
		if (j.Entry != nil) != j.Startable() {
			err = casched.Violated(casched.InvariantAccounts, "job %s is wrongly queued", j.ID)
		}
	})
	for _, t := range s.order {
		if t.Use != use[t.Name] || t.Stopping != stopping[t.Name] {
			return casched.Violated(casched.InvariantAccounts, "team %s uses %v, not %v", t.Name, use[t.Name], t.Use)
		}
		if q := queued[t.Name]; (q != nil && *q != t.queued) || (q == nil && t.queued != [kindCount]int{}) {
			return casched.Violated(casched.InvariantAccounts, "queue of team %s is %v, not %v", t.Name, q, t.queued)
		}
	}
	return err
}

// checkHostsOfTeams verifies where the tasks of each team are open.
func (s *Scheduler) checkHostsOfTeams() error {
	hosts := map[*cashare.Team]map[caplace.HostIndex]bool{}
	for _, t := range s.ledger.All() {
		if hosts[t.Account] == nil {
			hosts[t.Account] = map[caplace.HostIndex]bool{}
		}
		if t.Host != caplace.NoHost {
			hosts[t.Account][t.Host] = true
		}
	}
	for _, t := range s.order {
		want := slices.Sorted(maps.Keys(hosts[t.Team]))
		if got := s.ledger.HostsOf(t.Team, nil); !slices.Equal(got, want) {
			return casched.Violated(casched.InvariantAccounts, "team %s has tasks on %v, not %v", t.Name, want, got)
		}
	}
	return nil
}

// checkHolds verifies that rooms are held exactly for the claims.
func (s *Scheduler) checkHolds() error {
	owners := map[caplace.HostIndex]cawork.JobID{}
	for _, c := range s.claims {
		for _, h := range c.hosts {
			owners[h] = c.job.ID
		}
	}
	for h := range s.index.Hosts() {
		if got := s.index.HoldOf(h).Owner; got != owners[h] {
			return casched.Violated(casched.InvariantAccounts, "upstream %s is held for %q, not %q",
				s.index.ID(h), got, owners[h])
		}
	}
	return nil
}
