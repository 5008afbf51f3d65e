package caescrow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// The virtual fleet: nine entries in four zones, links of 1.5 ms one way, a
// record replicated in 2 ms, reports of idle allowance once a second.
const (
	linkDelay   = 1500 * time.Microsecond
	recordDelay = 2 * time.Millisecond
	reportEvery = time.Second
	stepEvery   = 10 * time.Millisecond
)

var (
	zonesOfEntries = []cawork.ZoneName{"a", "a", "a", "b", "b", "c", "c", "d", "d"}
	fleetLimit     = cores(400)
	task           = cores(4)
)

type entry struct {
	account *Account
	planner *Planner
	// queued is the number of tasks that want to run beside those that do.
	queued  int
	running int
}

type arrival struct {
	at   time.Time
	then func()
}

// market runs entries in virtual time with a naive event list.
type market struct {
	now      time.Time
	entries  []*entry
	reports  []Partner
	reported time.Time
	arrivals []arrival
}

func newMarket(t *testing.T) *market {
	m := &market{now: time.Unix(0, 0)}
	for i, z := range zonesOfEntries {
		id := cawork.ShardID(rune('1' + i))
		m.entries = append(m.entries, &entry{account: NewAccount(id), planner: NewPlanner(id, z, DefaultPolicy())})
	}
	for _, s := range Divide(fleetLimit, zonesOfEntries) {
		for i, z := range zonesOfEntries {
			if z != s.Zone {
				continue
			}
			if err := m.entries[i].account.SetMint(MintShare{Team: team, Version: 1, Amount: s.Amount}); err != nil {
				t.Fatal(err)
			}
			break
		}
	}
	return m
}

func (m *market) after(d time.Duration, then func()) {
	m.arrivals = append(m.arrivals, arrival{at: m.now.Add(d), then: then})
}

func (m *market) run(t *testing.T, d time.Duration, until func() bool) time.Duration {
	start := m.now
	for m.now.Sub(start) < d && !until() {
		m.now = m.now.Add(500 * time.Microsecond)
		due := m.arrivals
		m.arrivals = nil
		for _, a := range due {
			if m.now.Before(a.at) {
				m.arrivals = append(m.arrivals, a)
				continue
			}
			a.then()
		}
		if m.now.Sub(start)%stepEvery == 0 {
			m.step(t)
		}
	}
	return m.now.Sub(start)
}

func (m *market) step(t *testing.T) {
	if m.now.Sub(m.reported) >= reportEvery {
		m.report()
	}
	for _, e := range m.entries {
		for e.queued > 0 && e.account.Charge(team, task) == nil {
			e.queued--
			e.running++
		}
		for _, ask := range e.planner.Asks(m.now, e.account, []Need{e.need()}, m.reports) {
			m.after(linkDelay, func() { m.answer(t, e, ask) })
		}
	}
	var held cawork.Resources
	for _, e := range m.entries {
		held = held.Plus(e.account.Charged(team))
	}
	if !held.Fits(fleetLimit) {
		t.Fatalf("team runs %v of %v", held, fleetLimit)
	}
}

func (m *market) report() {
	m.reported = m.now
	m.reports = nil
	for i, e := range m.entries {
		m.reports = append(m.reports, Partner{
			Shard: e.account.Shard, Zone: zonesOfEntries[i], Idle: e.planner.Idle(e.account, []Need{e.need()}),
		})
	}
}

func (m *market) answer(t *testing.T, asker *entry, ask Ask) {
	for _, e := range m.entries {
		if e.account.Shard != ask.To {
			continue
		}
		given := e.planner.Grant(e.account, ask, e.need())
		if given.IsZero() {
			m.after(linkDelay, func() { asker.planner.Answered(m.now, ask, given) })
			return
		}
		tr, err := e.account.Send(ask.From, team, given)
		if err != nil {
			t.Fatal(err)
		}
		m.after(recordDelay+linkDelay, func() {
			if _, err := asker.account.Receive(tr); err != nil {
				t.Error(err)
			}
			asker.planner.Answered(m.now, ask, given)
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

func (m *market) running() int {
	sum := 0
	for _, e := range m.entries {
		sum += e.running
	}
	return sum
}

// wants sets how many tasks each entry wants to run from now on.
func (m *market) wants(t *testing.T, counts ...int) {
	for i, e := range m.entries {
		for e.running > counts[i] {
			if err := e.account.Free(team, task); err != nil {
				t.Fatal(err)
			}
			e.running--
		}
		e.queued = counts[i] - e.running
	}
}

// TestAllowanceFollowsDemand moves the whole demand of a team between zones.
// 400 cores of limit are 100 tasks. One entry may reach all but what the other
// three zones keep (1/32 of 100 cores each, so 2 of 100 tasks and a remainder).
func TestAllowanceFollowsDemand(t *testing.T) {
	m := newMarket(t)
	demands := [][]int{
		{200, 0, 0, 0, 0, 0, 0, 0, 0},
		{0, 0, 0, 200, 0, 0, 0, 0, 0},
		{0, 0, 0, 0, 0, 30, 30, 30, 30},
		{40, 40, 40, 40, 40, 40, 40, 40, 40},
	}
	for i, d := range demands {
		m.wants(t, d...)
		var times []time.Duration
		for _, target := range []int{50, 90, 97} {
			took := m.run(t, 20*time.Second, func() bool { return m.running() >= target })
			times = append(times, took)
		}
		m.run(t, 5*time.Second, func() bool { return false })
		t.Logf("demand %d: steps to 50, 90, 97 of 100 tasks %v, in the end %d", i, times, m.running())
		if m.running() < 97 {
			t.Errorf("demand %d: %d of 100 tasks run", i, m.running())
		}
	}
}

func TestRemaindersFlowToOneShard(t *testing.T) {
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
		t.Errorf("grants (-want +got):\n%s", diff)
	}
}

func TestDebtIsAskedFor(t *testing.T) {
	a := NewAccount("1")
	_ = a.SetMint(MintShare{Team: team, Version: 1, Amount: cores(10)})
	_ = a.Charge(team, cores(10))
	_ = a.SetMint(MintShare{Team: team, Version: 2, Amount: cores(2)})
	planner := NewPlanner("1", "a", DefaultPolicy())
	partners := []Partner{{Shard: "2", Zone: "a"}, {Shard: "3", Zone: "b"}}
	asks := planner.Asks(time.Unix(100, 0), a, nil, partners[:1])
	asks = append(asks, planner.Asks(time.Unix(101, 0), a, nil, partners)...)
	want := []Ask{
		{From: "1", Zone: "a", To: "2", Team: team, Amount: cores(10)},
		{From: "1", Zone: "a", To: "2", Team: team, Amount: cores(4), Owed: true},
		{From: "1", Zone: "a", To: "3", Team: team, Amount: cores(4), Owed: true},
	}
	if diff := cmp.Diff(want, asks); diff != "" {
		t.Errorf("asks (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(cores(8), a.Excess(team)); diff != "" {
		t.Errorf("excess (-want +got):\n%s", diff)
	}
}

// TestDebtIsPaidByWhoUsesTheAllowance covers a limit that is lowered while
// another shard uses all of it and never has any to spare. What is claimed
// there is given only once it is no longer charged.
func TestDebtIsPaidByWhoUsesTheAllowance(t *testing.T) {
	now := time.Unix(100, 0)
	debtor, user := NewAccount("1"), NewAccount("2")
	_ = debtor.SetMint(MintShare{Team: team, Version: 1, Amount: cores(10)})
	tr, _ := debtor.Send("2", team, cores(10))
	_, _ = user.Receive(tr)
	_ = user.Charge(team, cores(10))
	_ = debtor.SetMint(MintShare{Team: team, Version: 2, Amount: cores(4)})
	planner := NewPlanner("2", "a", DefaultPolicy())
	ask := Ask{From: "1", Zone: "b", To: "2", Team: team, Amount: cores(6), Owed: true}
	need := Need{Team: team, Amount: cores(50), Least: cores(1)}
	planner.Claimed(now, ask)
	got := []cawork.Resources{planner.Grant(user, ask, need), planner.Excess(now, user, team)}
	_ = user.Free(team, cores(6))
	got = append(got, planner.Startable(now, user, team), planner.Grant(user, ask, need))
	later := now.Add(DefaultPolicy().ClaimTTL + 1)
	got = append(got, planner.Startable(later, user, team))
	want := []cawork.Resources{{}, cores(6), {}, cores(6), cores(6)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("given, excess, startable, given, startable later (-want +got):\n%s", diff)
	}
}
