package caescrow

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Policy configures how a shard requests and grants allowance.
type Policy struct {
	// Headroom is the fraction by which a request exceeds the need.
	Headroom float64
	// KeepFraction is the fraction of its minted share that a shard does not grant
	// to other zones, so that its zone can start tasks during a network partition.
	KeepFraction float64
	// Period is the time between two rounds of requests for a team.
	Period time.Duration
	// Rest is the backoff time: no requests go to a partner for this long after it
	// granted nothing.
	Rest time.Duration
	// Partners is the maximum number of partners that get a request in one round.
	Partners int
	// DebtGrace is how long a debt may last before the shard requests repayment from
	// all partners, even of allowance that they use.
	DebtGrace time.Duration
	// ClaimTTL is how long a repayment request stays valid unless it is repeated.
	ClaimTTL time.Duration
}

// DefaultPolicy returns the policy for a fleet of a few dozen entries.
func DefaultPolicy() Policy {
	return Policy{
		Headroom: 0.25, KeepFraction: 1.0 / 32, Period: 100 * time.Millisecond,
		Rest: time.Second, Partners: 3, DebtGrace: time.Second, ClaimTTL: time.Second,
	}
}

// Need is the amount that the queued tasks of a team would use if they could start
// now. Least is the smallest amount with which any of them can start.
type Need struct {
	Team   cawork.TeamName
	Amount cawork.Resources
	Least  cawork.Resources
}

// Partner is another shard with the idle allowance that it last reported. Reports
// may be stale and only determine the order of requests.
type Partner struct {
	Shard cawork.ShardID
	Zone  cawork.ZoneName
	Idle  []TeamAmount
}

// idleOf returns the idle allowance that the partner reported for the team.
func (p Partner) idleOf(team cawork.TeamName) cawork.Resources {
	for _, i := range p.Idle {
		if i.Team == team {
			return i.Amount
		}
	}
	return cawork.Resources{}
}

// Ask is a request for allowance from another shard.
type Ask struct {
	From   cawork.ShardID
	Zone   cawork.ZoneName
	To     cawork.ShardID
	Team   cawork.TeamName
	Amount cawork.Resources
	// Owed marks a request for the repayment of a debt. It also covers allowance
	// that the partner uses: the partner stops tasks and then grants the amount.
	Owed bool
}

// repayment is an amount that a partner requests for the repayment of its debt.
type repayment struct {
	amount  cawork.Resources
	expires time.Time
}

type teamPartner struct {
	team    cawork.TeamName
	partner cawork.ShardID
}

// Planner decides which partners a shard requests allowance from, and how much the
// shard grants to others. It is not safe for concurrent use.
type Planner struct {
	shard        cawork.ShardID
	zone         cawork.ZoneName
	policy       Policy
	lastRequest  map[cawork.TeamName]time.Time
	backoffUntil map[teamPartner]time.Time
	debtSince    map[cawork.TeamName]time.Time
	repayments   map[teamPartner]repayment
}

// NewPlanner returns a planner for the shard.
func NewPlanner(shard cawork.ShardID, zone cawork.ZoneName, p Policy) *Planner {
	return &Planner{
		shard: shard, zone: zone, policy: p,
		lastRequest: map[cawork.TeamName]time.Time{}, backoffUntil: map[teamPartner]time.Time{},
		debtSince: map[cawork.TeamName]time.Time{}, repayments: map[teamPartner]repayment{},
	}
}

// Asks returns the requests to send now. Each team that needs more than is
// available, or that has a debt, sends requests to the partners with the most idle
// allowance. For example, a shard that lacks 8 cores requests 10 cores from the
// first of the three best partners, from the second one 10 minus what the first
// reported, and so on until the reported amounts cover the request.
func (p *Planner) Asks(now time.Time, a *Account, needs []Need, partners []Partner) []Ask {
	var out []Ask
	for _, n := range withDebts(a, needs) {
		debt, overdue := p.debtOf(now, a, n.Team)
		shortfall := n.Amount.Minus(a.Available(n.Team)).Floor()
		if shortfall.IsZero() || now.Sub(p.lastRequest[n.Team]) < p.policy.Period {
			continue
		}
		p.lastRequest[n.Team] = now
		if overdue {
			out = append(out, p.repaymentRequests(n.Team, debt, partners)...)
			continue
		}
		out = append(out, p.requestsFor(now, n.Team, p.withHeadroom(shortfall), partners)...)
	}
	return out
}

// debtOf returns the debt of the team and whether it has lasted for DebtGrace.
func (p *Planner) debtOf(now time.Time, a *Account, team cawork.TeamName) (cawork.Resources, bool) {
	debt := a.Debt(team)
	if debt.IsZero() {
		delete(p.debtSince, team)
		return debt, false
	}
	since, ok := p.debtSince[team]
	if !ok {
		p.debtSince[team] = now
		return debt, false
	}
	return debt, now.Sub(since) >= p.policy.DebtGrace
}

// repaymentRequests returns requests that divide a debt evenly among all partners.
func (p *Planner) repaymentRequests(team cawork.TeamName, debt cawork.Resources, partners []Partner) []Ask {
	var out []Ask
	others := slices.DeleteFunc(slices.Clone(partners), func(q Partner) bool { return q.Shard == p.shard })
	for _, q := range others {
		out = append(out, Ask{
			From: p.shard, Zone: p.zone, To: q.Shard, Team: team,
			Amount: divCeil(debt, int64(len(others))), Owed: true,
		})
	}
	return out
}

// withDebts adds an empty need for each team that has a debt but no need, so that
// allowance is requested for the debt.
func withDebts(a *Account, needs []Need) []Need {
	out := slices.Clone(needs)
	for team := range a.Teams {
		listed := slices.ContainsFunc(needs, func(n Need) bool { return n.Team == team })
		if !listed && !a.Debt(team).IsZero() {
			out = append(out, Need{Team: team})
		}
	}
	slices.SortFunc(out, func(x, y Need) int { return cmp.Compare(x.Team, y.Team) })
	return out
}

func (p *Planner) withHeadroom(r cawork.Resources) cawork.Resources {
	factor := 1 + p.policy.Headroom
	return cawork.Resources{
		CPU:          cawork.MilliCPU(float64(r.CPU) * factor),
		Memory:       cawork.Bytes(float64(r.Memory) * factor),
		Accelerators: int64(float64(r.Accelerators) * factor),
	}
}

func (p *Planner) requestsFor(now time.Time, team cawork.TeamName, amount cawork.Resources, partners []Partner) []Ask {
	var out []Ask
	for _, partner := range p.rank(now, team, partners) {
		if amount.IsZero() || len(out) == p.policy.Partners {
			break
		}
		out = append(out, Ask{From: p.shard, Zone: p.zone, To: partner.Shard, Team: team, Amount: amount})
		amount = amount.Minus(partner.idleOf(team)).Floor()
	}
	return out
}

// rank returns the partners that are not in backoff, best first: those that
// reported idle allowance, then those of the same zone, then by reported amount.
func (p *Planner) rank(now time.Time, team cawork.TeamName, partners []Partner) []Partner {
	var ranked []rankedPartner
	for _, q := range partners {
		if q.Shard != p.shard && !now.Before(p.backoffUntil[teamPartner{team, q.Shard}]) {
			ranked = append(ranked, rankedPartner{partner: q, idle: q.idleOf(team)})
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

// rankedPartner is a partner with its reported idle allowance of one team, looked
// up once before the sort.
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

// RecordReply records the amount that a partner granted. A partner that granted
// nothing gets no requests for the backoff time.
func (p *Planner) RecordReply(now time.Time, req Ask, granted cawork.Resources) {
	if granted.IsZero() && !req.Owed {
		p.backoffUntil[teamPartner{req.Team, req.To}] = now.Add(p.policy.Rest)
		return
	}
	delete(p.lastRequest, req.Team)
}

// Grant returns the amount to grant for a request: the allowance that is neither
// used nor needed here, minus the reserve if the request is from another zone.
// Remainders too small to start a task here go to the shard whose id sorts first.
// Otherwise each of several busy shards would keep a remainder that it cannot use.
func (p *Planner) Grant(a *Account, req Ask, need Need) cawork.Resources {
	if req.To != p.shard || req.From == p.shard || a.Closed[req.From] {
		return cawork.Resources{}
	}
	spare := a.Available(req.Team)
	if !req.Owed && (within(need.Least, spare) || req.From > p.shard) {
		spare = spare.Minus(need.Amount)
	}
	if req.Zone != p.zone && !req.Owed {
		spare = spare.Minus(p.reserve(a, req.Team))
	}
	return minResources(spare.Floor(), req.Amount.Floor())
}

// RecordRepaymentRequest records a request for the repayment of a debt. It is not persisted: the
// debtor repeats the request while the debt lasts, and safety does not depend on
// it.
func (p *Planner) RecordRepaymentRequest(now time.Time, req Ask) {
	if req.Owed && req.To == p.shard {
		p.repayments[teamPartner{req.Team, req.From}] = repayment{amount: req.Amount, expires: now.Add(p.policy.ClaimTTL)}
	}
}

// Startable returns the allowance for new tasks of the team: the available amount
// minus the repayments that partners request.
func (p *Planner) Startable(now time.Time, a *Account, team cawork.TeamName) cawork.Resources {
	return a.Available(team).Minus(p.repaymentsDue(now, team))
}

// Excess returns the amount of the team's tasks to checkpoint or stop, to cover the
// debt of this shard and the repayments that partners request.
func (p *Planner) Excess(now time.Time, a *Account, team cawork.TeamName) cawork.Resources {
	shortfall := cawork.Resources{}.Minus(p.Startable(now, a, team)).Floor()
	return minResources(shortfall, a.Charged(team))
}

// repaymentsDue returns the sum of the unexpired repayment requests of the team.
func (p *Planner) repaymentsDue(now time.Time, team cawork.TeamName) cawork.Resources {
	var sum cawork.Resources
	for key, due := range p.repayments {
		if now.After(due.expires) {
			delete(p.repayments, key)
			continue
		}
		if key.team == team {
			sum = sum.Plus(due.amount)
		}
	}
	return sum
}

// reserve returns the amount that is not granted to other zones.
func (p *Planner) reserve(a *Account, team cawork.TeamName) cawork.Resources {
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

// Idle returns the idle allowance to report to the other shards: the amounts that
// Grant would grant to another zone.
func (p *Planner) Idle(a *Account, needs []Need) []TeamAmount {
	var out []TeamAmount
	for team := range a.Teams {
		need := cawork.Resources{}
		for _, n := range needs {
			if n.Team == team {
				need = n.Amount
			}
		}
		idle := a.Available(team).Minus(need).Minus(p.reserve(a, team)).Floor()
		if !idle.IsZero() {
			out = append(out, TeamAmount{Team: team, Amount: idle})
		}
	}
	slices.SortFunc(out, func(x, y TeamAmount) int { return cmp.Compare(x.Team, y.Team) })
	return out
}
