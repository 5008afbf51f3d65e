package caescrow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// The simulated fleet has nine entries in four zones. A message takes 1.5 ms, the
// replication of a record 2 ms, and idle allowance is reported once a second.
const (
	linkDelay    = 1500 * time.Microsecond
	recordDelay  = 2 * time.Millisecond
	reportPeriod = time.Second
	stepPeriod   = 10 * time.Millisecond
)

var (
	zonesOfEntries = []cawork.ZoneName{"a", "a", "a", "b", "b", "c", "c", "d", "d"}
	fleetLimit     = cores(400)
	task           = cores(4)
)

type entry struct {
	account *Account
	planner *Planner
	// queued is the number of tasks that wait to start.
	queued  int
	running int
}

type event struct {
	at time.Time
	do func()
}

// simulation runs entries in virtual time with a list of pending events.
type simulation struct {
	now        time.Time
	entries    []*entry
	reports    []Partner
	lastReport time.Time
	events     []event
}

func newSimulation(t *testing.T) *simulation {
	sim := &simulation{now: time.Unix(0, 0)}
	for i, z := range zonesOfEntries {
		id := cawork.ShardID(rune('1' + i))
		sim.entries = append(sim.entries, &entry{account: NewAccount(id), planner: NewPlanner(id, z, DefaultPolicy())})
	}
	for _, share := range Divide(fleetLimit, zonesOfEntries) {
		for i, z := range zonesOfEntries {
			if z != share.Zone {
				continue
			}
			if err := sim.entries[i].account.SetMint(MintShare{Team: team, Version: 1, Amount: share.Amount}); err != nil {
				t.Fatal(err)
			}
			break
		}
	}
	return sim
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.events = append(s.events, event{at: s.now.Add(d), do: do})
}

func (s *simulation) run(t *testing.T, d time.Duration, until func() bool) time.Duration {
	start := s.now
	for s.now.Sub(start) < d && !until() {
		s.now = s.now.Add(500 * time.Microsecond)
		events := s.events
		s.events = nil
		for _, e := range events {
			if s.now.Before(e.at) {
				s.events = append(s.events, e)
				continue
			}
			e.do()
		}
		if s.now.Sub(start)%stepPeriod == 0 {
			s.step(t)
		}
	}
	return s.now.Sub(start)
}

func (s *simulation) step(t *testing.T) {
	if s.now.Sub(s.lastReport) >= reportPeriod {
		s.report()
	}
	for _, e := range s.entries {
		for e.queued > 0 && e.account.Charge(team, task) == nil {
			e.queued--
			e.running++
		}
		for _, req := range e.planner.Asks(s.now, e.account, []Need{e.need()}, s.reports) {
			s.schedule(linkDelay, func() { s.handleRequest(t, e, req) })
		}
	}
	var held cawork.Resources
	for _, e := range s.entries {
		held = held.Plus(e.account.Charged(team))
	}
	if !held.Fits(fleetLimit) {
		t.Fatalf("team uses %v, above the limit of %v", held, fleetLimit)
	}
}

func (s *simulation) report() {
	s.lastReport = s.now
	s.reports = nil
	for i, e := range s.entries {
		s.reports = append(s.reports, Partner{
			Shard: e.account.Shard, Zone: zonesOfEntries[i], Idle: e.planner.Idle(e.account, []Need{e.need()}),
		})
	}
}

func (s *simulation) handleRequest(t *testing.T, requester *entry, req Ask) {
	for _, e := range s.entries {
		if e.account.Shard != req.To {
			continue
		}
		granted := e.planner.Grant(e.account, req, e.need())
		if granted.IsZero() {
			s.schedule(linkDelay, func() { requester.planner.RecordReply(s.now, req, granted) })
			return
		}
		tr, err := e.account.Send(req.From, team, granted)
		if err != nil {
			t.Fatal(err)
		}
		s.schedule(recordDelay+linkDelay, func() {
			if _, err := requester.account.Receive(tr); err != nil {
				t.Error(err)
			}
			requester.planner.RecordReply(s.now, req, granted)
		})
	}
}

func (e *entry) need() Need {
	n := Need{Team: team, Amount: task.Times(int64(e.queued))}
	if e.queued > 0 {
		n.Least = task
	}
	return n
}

func (s *simulation) running() int {
	sum := 0
	for _, e := range s.entries {
		sum += e.running
	}
	return sum
}

// setDemand sets the number of running and queued tasks of each entry.
func (s *simulation) setDemand(t *testing.T, counts ...int) {
	for i, e := range s.entries {
		for e.running > counts[i] {
			if err := e.account.Free(team, task); err != nil {
				t.Fatal(err)
			}
			e.running--
		}
		e.queued = counts[i] - e.running
	}
}

// TestAllowanceFollowsDemand moves the whole demand of a team between zones. The
// limit of 400 cores allows 100 tasks. One entry can get all but the reserve of
// the other three zones (1/32 of 100 cores each, so 2 of 100 tasks and a
// remainder).
func TestAllowanceFollowsDemand(t *testing.T) {
	sim := newSimulation(t)
	demands := [][]int{
		{200, 0, 0, 0, 0, 0, 0, 0, 0},
		{0, 0, 0, 200, 0, 0, 0, 0, 0},
		{0, 0, 0, 0, 0, 30, 30, 30, 30},
		{40, 40, 40, 40, 40, 40, 40, 40, 40},
	}
	for i, d := range demands {
		sim.setDemand(t, d...)
		var times []time.Duration
		for _, target := range []int{50, 90, 97} {
			took := sim.run(t, 20*time.Second, func() bool { return sim.running() >= target })
			times = append(times, took)
		}
		sim.run(t, 5*time.Second, func() bool { return false })
		t.Logf("demand %d: times to 50, 90 and 97 of 100 tasks: %v; running in the end: %d", i, times, sim.running())
		if sim.running() < 97 {
			t.Errorf("demand %d: %d of 100 tasks run", i, sim.running())
		}
	}
}

func TestRemaindersGoToOneShard(t *testing.T) {
	low, high := NewAccount("1"), NewAccount("2")
	for _, a := range []*Account{low, high} {
		_ = a.SetMint(MintShare{Team: team, Version: 1, Amount: cores(2)})
	}
	need := Need{Team: team, Amount: task, Least: task}
	lowPlanner, highPlanner := NewPlanner("1", "a", DefaultPolicy()), NewPlanner("2", "a", DefaultPolicy())
	got := []cawork.Resources{
		highPlanner.Grant(high, Ask{From: "1", Zone: "a", To: "2", Team: team, Amount: cores(5)}, need),
		lowPlanner.Grant(low, Ask{From: "2", Zone: "a", To: "1", Team: team, Amount: cores(5)}, need),
	}
	if diff := cmp.Diff([]cawork.Resources{cores(2), {}}, got); diff != "" {
		t.Errorf("grants mismatch (-want +got):\n%s", diff)
	}
}

func TestDebtIsRequested(t *testing.T) {
	a := NewAccount("1")
	_ = a.SetMint(MintShare{Team: team, Version: 1, Amount: cores(10)})
	_ = a.Charge(team, cores(10))
	_ = a.SetMint(MintShare{Team: team, Version: 2, Amount: cores(2)})
	planner := NewPlanner("1", "a", DefaultPolicy())
	partners := []Partner{{Shard: "2", Zone: "a"}, {Shard: "3", Zone: "b"}}
	requests := planner.Asks(time.Unix(100, 0), a, nil, partners[:1])
	requests = append(requests, planner.Asks(time.Unix(101, 0), a, nil, partners)...)
	want := []Ask{
		{From: "1", Zone: "a", To: "2", Team: team, Amount: cores(10)},
		{From: "1", Zone: "a", To: "2", Team: team, Amount: cores(4), Owed: true},
		{From: "1", Zone: "a", To: "3", Team: team, Amount: cores(4), Owed: true},
	}
	if diff := cmp.Diff(want, requests); diff != "" {
		t.Errorf("requests mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(cores(8), a.Debt(team)); diff != "" {
		t.Errorf("debt mismatch (-want +got):\n%s", diff)
	}
}

// TestDebtIsRepaidFromUsedAllowance lowers a limit while another shard uses all of
// the allowance and always needs more. That shard must report the requested
// repayment as excess, and grant it only once it is no longer charged.
func TestDebtIsRepaidFromUsedAllowance(t *testing.T) {
	now := time.Unix(100, 0)
	debtor, user := NewAccount("1"), NewAccount("2")
	_ = debtor.SetMint(MintShare{Team: team, Version: 1, Amount: cores(10)})
	tr, _ := debtor.Send("2", team, cores(10))
	_, _ = user.Receive(tr)
	_ = user.Charge(team, cores(10))
	_ = debtor.SetMint(MintShare{Team: team, Version: 2, Amount: cores(4)})
	planner := NewPlanner("2", "a", DefaultPolicy())
	req := Ask{From: "1", Zone: "b", To: "2", Team: team, Amount: cores(6), Owed: true}
	need := Need{Team: team, Amount: cores(50), Least: cores(1)}
	planner.RecordRepaymentRequest(now, req)
	got := []cawork.Resources{planner.Grant(user, req, need), planner.Excess(now, user, team)}
	_ = user.Free(team, cores(6))
	got = append(got, planner.Startable(now, user, team), planner.Grant(user, req, need))
	later := now.Add(DefaultPolicy().ClaimTTL + 1)
	got = append(got, planner.Startable(later, user, team))
	want := []cawork.Resources{{}, cores(6), {}, cores(6), cores(6)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("grant, excess, startable, grant, startable later mismatch (-want +got):\n%s", diff)
	}
}
