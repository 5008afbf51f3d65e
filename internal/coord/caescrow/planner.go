package caescrow

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Policy bounds how allowance is asked for and given.
type Policy struct {
	// Headroom is the fraction by which an ask exceeds the need.
	Headroom float64
	// KeepFraction is the fraction of its minted share that a shard keeps when
	// another zone asks, so that its zone can go on when it is cut off.
	KeepFraction float64
	// Period is the time between two rounds of asks for a team.
	Period time.Duration
	// Rest is how long a partner that gave nothing is passed over.
	Rest time.Duration
	// Partners bounds the partners that are asked in one round.
	Partners int
	// DebtGrace is how long a debt may last before it is claimed from all
	// partners, also from what they use.
	DebtGrace time.Duration
	// ClaimTTL is how long a claim holds unless it is repeated.
	ClaimTTL time.Duration
}

// DefaultPolicy returns the policy for a fleet of a few dozen entries.
func DefaultPolicy() Policy {
	return Policy{
		Headroom: 0.25, KeepFraction: 1.0 / 32, Period: 100 * time.Millisecond,
		Rest: time.Second, Partners: 3, DebtGrace: time.Second, ClaimTTL: time.Second,
	}
}

// Need is what the queued work of a team would take if it could start now,
// and the least that starts any of it.
type Need struct {
	Team   cawork.TeamName
	Amount cawork.Resources
	Least  cawork.Resources
}

// Partner is another shard and what it lately reported as idle. Reports lag
// and only order the asks.
type Partner struct {
	Shard cawork.ShardID
	Zone  cawork.ZoneName
	Idle  []TeamAmount
}

// idle returns what the partner reported for the team.
func (p Partner) idle(team cawork.TeamName) cawork.Resources {
	for _, i := range p.Idle {
		if i.Team == team {
			return i.Amount
		}
	}
	return cawork.Resources{}
}

// Ask asks a shard for allowance.
type Ask struct {
	From   cawork.ShardID
	Zone   cawork.ZoneName
	To     cawork.ShardID
	Team   cawork.TeamName
	Amount cawork.Resources
	// Owed claims the amount for a debt, also from what is charged: the partner
	// gives it as soon as it has stopped enough.
	Owed bool
}

// due is what a partner claims.
type due struct {
	amount  cawork.Resources
	expires time.Time
}

type round struct {
	team    cawork.TeamName
	partner cawork.ShardID
}

// Planner decides whom a shard asks for allowance, and how much it gives. It
// is not safe for concurrent use.
type Planner struct {
	shard  cawork.ShardID
	zone   cawork.ZoneName
	policy Policy
	asked  map[cawork.TeamName]time.Time
	rests  map[round]time.Time
	debts  map[cawork.TeamName]time.Time
	dues   map[round]due
}

// NewPlanner returns a planner for the shard.
func NewPlanner(shard cawork.ShardID, zone cawork.ZoneName, p Policy) *Planner {
	return &Planner{
		shard: shard, zone: zone, policy: p,
		asked: map[cawork.TeamName]time.Time{}, rests: map[round]time.Time{},
		debts: map[cawork.TeamName]time.Time{}, dues: map[round]due{},
	}
}

// Asks returns the asks that are due: for each team that needs more than is
// available, or is in debt, to the partners that may have most. For example, a
// shard that lacks 8 cores asks the three best partners for 10 cores, 10 less
// what the first reported, and so on until nothing is left to ask.
func (p *Planner) Asks(now time.Time, a *Account, needs []Need, partners []Partner) []Ask {
	var out []Ask
	for _, n := range withDebts(a, needs) {
		debt, overdue := p.debt(now, a, n.Team)
		missing := n.Amount.Minus(a.Available(n.Team)).Floor()
		if missing.IsZero() || now.Sub(p.asked[n.Team]) < p.policy.Period {
			continue
		}
		p.asked[n.Team] = now
		if overdue {
			out = append(out, p.claim(n.Team, debt, partners)...)
			continue
		}
		out = append(out, p.askFor(now, n.Team, p.withHeadroom(missing), partners)...)
	}
	return out
}

// debt returns what the team owes here, and whether it has for too long.
func (p *Planner) debt(now time.Time, a *Account, team cawork.TeamName) (cawork.Resources, bool) {
	debt := a.Excess(team)
	if debt.IsZero() {
		delete(p.debts, team)
		return debt, false
	}
	since, ok := p.debts[team]
	if !ok {
		p.debts[team] = now
		return debt, false
	}
	return debt, now.Sub(since) >= p.policy.DebtGrace
}

// claim asks every partner for its part of a debt.
func (p *Planner) claim(team cawork.TeamName, debt cawork.Resources, partners []Partner) []Ask {
	var out []Ask
	others := slices.DeleteFunc(slices.Clone(partners), func(q Partner) bool { return q.Shard == p.shard })
	for _, q := range others {
		out = append(out, Ask{
			From: p.shard, Zone: p.zone, To: q.Shard, Team: team,
			Amount: splitUp(debt, int64(len(others))), Owed: true,
		})
	}
	return out
}

// withDebts adds a need of nothing for each team in debt, so that the debt
// itself is asked for.
func withDebts(a *Account, needs []Need) []Need {
	out := slices.Clone(needs)
	for team := range a.Teams {
		listed := slices.ContainsFunc(needs, func(n Need) bool { return n.Team == team })
		if !listed && !a.Excess(team).IsZero() {
			out = append(out, Need{Team: team})
		}
	}
	slices.SortFunc(out, func(x, y Need) int { return cmp.Compare(x.Team, y.Team) })
	return out
}

func (p *Planner) withHeadroom(r cawork.Resources) cawork.Resources {
	more := 1 + p.policy.Headroom
	return cawork.Resources{
		CPU:          cawork.MilliCPU(float64(r.CPU) * more),
		Memory:       cawork.Bytes(float64(r.Memory) * more),
		Accelerators: int64(float64(r.Accelerators) * more),
	}
}

func (p *Planner) askFor(now time.Time, team cawork.TeamName, amount cawork.Resources, partners []Partner) []Ask {
	var out []Ask
	for _, partner := range p.order(now, team, partners) {
		if amount.IsZero() || len(out) == p.policy.Partners {
			break
		}
		out = append(out, Ask{From: p.shard, Zone: p.zone, To: partner.Shard, Team: team, Amount: amount})
		amount = amount.Minus(partner.idle(team)).Floor()
	}
	return out
}

// order returns the partners that are not resting, best first: by what they
// reported, those of the own zone before others.
func (p *Planner) order(now time.Time, team cawork.TeamName, partners []Partner) []Partner {
	var ranked []rankedPartner
	for _, q := range partners {
		if q.Shard != p.shard && !now.Before(p.rests[round{team, q.Shard}]) {
			ranked = append(ranked, rankedPartner{partner: q, idle: q.idle(team)})
		}
	}
	slices.SortStableFunc(ranked, func(x, y rankedPartner) int {
		return cmp.Or(
			compareBool(!x.idle.IsZero(), !y.idle.IsZero()),
			compareBool(x.partner.Zone == p.zone, y.partner.Zone == p.zone),
			cmp.Compare(y.idle.CPU, x.idle.CPU),
			cmp.Compare(y.idle.Memory, x.idle.Memory),
			cmp.Compare(x.partner.Shard, y.partner.Shard),
		)
	})
	out := make([]Partner, 0, len(ranked))
	for _, r := range ranked {
		out = append(out, r.partner)
	}
	return out
}

// rankedPartner is a partner with what it reported for one team, looked up
// once before the sort.
type rankedPartner struct {
	partner Partner
	idle    cawork.Resources
}

// compareBool sorts true before false.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// Answered notes what a partner gave, so that one that has nothing rests.
func (p *Planner) Answered(now time.Time, ask Ask, given cawork.Resources) {
	if given.IsZero() && !ask.Owed {
		p.rests[round{ask.Team, ask.To}] = now.Add(p.policy.Rest)
		return
	}
	delete(p.asked, ask.Team)
}

// Grant returns what to give for an ask: what is neither used nor needed here,
// less what is kept when another zone asks. Remainders that start nothing here
// flow to the shard whose id is first, or else each of several busy shards
// would hold on to a part that is of no use to it.
func (p *Planner) Grant(a *Account, ask Ask, need Need) cawork.Resources {
	if ask.To != p.shard || ask.From == p.shard || a.Closed[ask.From] {
		return cawork.Resources{}
	}
	spare := a.Available(ask.Team)
	if !ask.Owed && (within(need.Least, spare) || ask.From > p.shard) {
		spare = spare.Minus(need.Amount)
	}
	if ask.Zone != p.zone && !ask.Owed {
		spare = spare.Minus(p.kept(a, ask.Team))
	}
	return smaller(spare.Floor(), ask.Amount.Floor())
}

// Claimed notes an ask for a debt. It is volatile: the debtor repeats it while
// the debt lasts, and safety does not depend on it.
func (p *Planner) Claimed(now time.Time, ask Ask) {
	if ask.Owed && ask.To == p.shard {
		p.dues[round{ask.Team, ask.From}] = due{amount: ask.Amount, expires: now.Add(p.policy.ClaimTTL)}
	}
}

// Startable returns what new tasks of the team may be charged now: what is
// available less what is claimed for debts.
func (p *Planner) Startable(now time.Time, a *Account, team cawork.TeamName) cawork.Resources {
	return a.Available(team).Minus(p.claimed(now, team))
}

// Excess returns what is to be checkpointed or stopped of the team, to pay the
// debt of this shard and what is claimed for the debts of others.
func (p *Planner) Excess(now time.Time, a *Account, team cawork.TeamName) cawork.Resources {
	missing := cawork.Resources{}.Minus(p.Startable(now, a, team)).Floor()
	return smaller(missing, a.Charged(team))
}

// claimed sums the claims on the team that hold.
func (p *Planner) claimed(now time.Time, team cawork.TeamName) cawork.Resources {
	var sum cawork.Resources
	for r, d := range p.dues {
		if now.After(d.expires) {
			delete(p.dues, r)
			continue
		}
		if r.team == team {
			sum = sum.Plus(d.amount)
		}
	}
	return sum
}

// kept returns what stays here when another zone asks.
func (p *Planner) kept(a *Account, team cawork.TeamName) cawork.Resources {
	b, ok := a.Teams[team]
	if !ok {
		return cawork.Resources{}
	}
	return cawork.Resources{
		CPU:          cawork.MilliCPU(float64(b.Mint.Amount.CPU) * p.policy.KeepFraction),
		Memory:       cawork.Bytes(float64(b.Mint.Amount.Memory) * p.policy.KeepFraction),
		Accelerators: int64(float64(b.Mint.Amount.Accelerators) * p.policy.KeepFraction),
	}
}

// Idle returns what to report to the other shards: what Grant would give to
// another zone.
func (p *Planner) Idle(a *Account, needs []Need) []TeamAmount {
	var out []TeamAmount
	for team := range a.Teams {
		need := cawork.Resources{}
		for _, n := range needs {
			if n.Team == team {
				need = n.Amount
			}
		}
		idle := a.Available(team).Minus(need).Minus(p.kept(a, team)).Floor()
		if !idle.IsZero() {
			out = append(out, TeamAmount{Team: team, Amount: idle})
		}
	}
	slices.SortFunc(out, func(x, y TeamAmount) int { return cmp.Compare(x.Team, y.Team) })
	return out
}
