// Package caescrow holds the escrowed allowances of one shard: its part of the
// upper limits of the teams, and how it moves between shards.
//
// The sum of what all shards hold of a team never exceeds what was minted,
// whatever messages are lost, repeated or reordered: a giver is debited before
// a receiver is credited, and both sides keep cumulative counters.
package caescrow

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Counter is the cumulative amount that was moved in one direction between
// two shards. Number counts the transfers.
type Counter struct {
	Number int64
	Total  cawork.Resources
}

// Transfer tells a receiver the cumulative amount that it got from a giver.
// It may be sent any number of times and in any order.
type Transfer struct {
	From   cawork.ShardID
	To     cawork.ShardID
	Team   cawork.TeamName
	Number int64
	Total  cawork.Resources
}

// MintShare is the part of a team's limit that a shard mints, by a version of
// the configuration.
type MintShare struct {
	Team    cawork.TeamName
	Version int64
	Amount  cawork.Resources
}

// Balance is the account of one team. Sent counters whose transfers the
// receiver has acknowledged carry the number in Acked.
type Balance struct {
	Mint      MintShare
	Inherited cawork.Resources
	Charged   cawork.Resources
	Received  map[cawork.ShardID]Counter
	Sent      map[cawork.ShardID]Counter
	Acked     map[cawork.ShardID]int64
}

// Held returns what the shard holds of the limit, charged or not. It is
// negative when a lowered limit left a debt.
func (b *Balance) Held() cawork.Resources {
	held := b.Mint.Amount.Plus(b.Inherited)
	for _, c := range b.Received {
		held = held.Plus(c.Total)
	}
	for _, c := range b.Sent {
		held = held.Minus(c.Total)
	}
	return held
}

// Available returns what may still be charged or sent.
func (b *Balance) Available() cawork.Resources { return b.Held().Minus(b.Charged) }

// Account is the account of one shard. It is not safe for concurrent use.
type Account struct {
	Shard  cawork.ShardID
	Teams  map[cawork.TeamName]*Balance
	Closed map[cawork.ShardID]bool
	// Frozen is set while records of the account may be missing: nothing of it
	// is available and nothing is owed. Epoch is that of the last rebuild, Settled
	// lists the partners that it was settled with since.
	Frozen  bool
	Epoch   int64
	Settled map[cawork.ShardID]bool
	// Floors holds, by partner, the number that the next transfer must exceed.
	Floors map[cawork.ShardID]int64
	// Rebuilt holds the partners that were rebuilt.
	Rebuilt map[cawork.ShardID]RebuiltPartner
	// HeirOf lists the lost shards whose allowance this account inherited.
	HeirOf map[cawork.ShardID]bool
}

// NewAccount returns an empty account of the shard.
func NewAccount(shard cawork.ShardID) *Account {
	return &Account{
		Shard:  shard,
		Teams:  map[cawork.TeamName]*Balance{},
		Closed: map[cawork.ShardID]bool{},
		HeirOf: map[cawork.ShardID]bool{},

		Settled: map[cawork.ShardID]bool{},
		Floors:  map[cawork.ShardID]int64{},
		Rebuilt: map[cawork.ShardID]RebuiltPartner{},
	}
}

// Available returns what may still be charged to the team.
func (a *Account) Available(team cawork.TeamName) cawork.Resources {
	b, ok := a.Teams[team]
	if !ok || a.Frozen {
		return cawork.Resources{}
	}
	return b.Available()
}

// Held returns what the shard holds of the limit of the team.
func (a *Account) Held(team cawork.TeamName) cawork.Resources {
	b, ok := a.Teams[team]
	if !ok {
		return cawork.Resources{}
	}
	return b.Held()
}

// Charged returns what is charged to the team.
func (a *Account) Charged(team cawork.TeamName) cawork.Resources {
	b, ok := a.Teams[team]
	if !ok {
		return cawork.Resources{}
	}
	return b.Charged
}

// Excess returns by how much the charges of the team exceed what the shard
// holds: its debt. Planner.Excess adds what other shards claim.
func (a *Account) Excess(team cawork.TeamName) cawork.Resources {
	return cawork.Resources{}.Minus(a.Available(team)).Floor()
}

// Charge takes the amount from the allowance of the team, or fails with
// KindLimitReached.
func (a *Account) Charge(team cawork.TeamName, amount cawork.Resources) error {
	if amount.IsNegative() {
		return cakind.New(cakind.KindInvalid, "charge of %v to team %s is negative", amount, team)
	}
	if !within(amount, a.Available(team)) {
		return cakind.New(cakind.KindLimitReached,
			"team %s: charge %v exceeds allowance %v", team, amount, a.Available(team))
	}
	if amount.IsZero() {
		return nil
	}
	b := a.balance(team)
	b.Charged = b.Charged.Plus(amount)
	return nil
}

// ChargeRunning charges what runs already, covered or not. It may leave a debt.
func (a *Account) ChargeRunning(team cawork.TeamName, amount cawork.Resources) {
	b := a.balance(team)
	b.Charged = b.Charged.Plus(amount.Floor())
}

// Free returns a charge to the allowance of the team.
func (a *Account) Free(team cawork.TeamName, amount cawork.Resources) error {
	if amount.IsZero() {
		return nil
	}
	if amount.IsNegative() || !amount.Fits(a.Charged(team)) {
		return cakind.New(cakind.KindInternal,
			"team %s: free of %v exceeds charges %v", team, amount, a.Charged(team))
	}
	b := a.balance(team)
	b.Charged = b.Charged.Minus(amount)
	return nil
}

// SetMint sets the share that the shard mints. An older version is refused
// with KindStaleVersion. A lower amount may leave a debt.
func (a *Account) SetMint(s MintShare) error {
	if s.Amount.IsNegative() {
		return cakind.New(cakind.KindInvalid, "minted amount %v of team %s is negative", s.Amount, s.Team)
	}
	b := a.balance(s.Team)
	if s.Version < b.Mint.Version {
		return cakind.New(cakind.KindStaleVersion,
			"team %s: mint of version %d after version %d", s.Team, s.Version, b.Mint.Version)
	}
	b.Mint = s
	return nil
}

// Send debits the account and returns the transfer to send, again and again
// until it is acknowledged. Only what is available is ever sent: what a task
// is charged for must not be credited elsewhere while the task runs.
func (a *Account) Send(to cawork.ShardID, team cawork.TeamName, amount cawork.Resources) (Transfer, error) {
	switch {
	case a.Frozen:
		return Transfer{}, cakind.New(cakind.KindUnavailable, "shard %s has yet to be settled", a.Shard)
	case to == a.Shard || amount.IsNegative() || amount.IsZero():
		return Transfer{}, cakind.New(cakind.KindInvalid, "transfer of %v from %s to %s", amount, a.Shard, to)
	case a.Closed[to]:
		return Transfer{}, cakind.New(cakind.KindConflict, "shard %s is closed", to)
	case !within(amount, a.Available(team)):
		return Transfer{}, cakind.New(cakind.KindLimitReached,
			"team %s: transfer of %v exceeds allowance %v", team, amount, a.Available(team))
	}
	b := a.balance(team)
	c := b.Sent[to]
	c = Counter{Number: max(c.Number, a.Floors[to]) + 1, Total: c.Total.Plus(amount)}
	b.Sent[to] = c
	return a.transfer(to, team, c), nil
}

// Receive credits a transfer and reports whether it was new. A transfer of a
// closed shard is refused with KindConflict.
func (a *Account) Receive(t Transfer) (bool, error) {
	if t.To != a.Shard || t.From == a.Shard {
		return false, cakind.New(cakind.KindInvalid, "shard %s got a transfer from %s to %s", a.Shard, t.From, t.To)
	}
	b := a.balance(t.Team)
	if t.Number <= max(b.Received[t.From].Number, a.Rebuilt[t.From].Floor) {
		return false, nil
	}
	if a.Closed[t.From] {
		return false, cakind.New(cakind.KindConflict, "shard %s is closed", t.From)
	}
	b.Received[t.From] = Counter{Number: t.Number, Total: t.Total}
	return true, nil
}

// Acknowledge notes that the receiver has credited the transfer of the number.
func (a *Account) Acknowledge(to cawork.ShardID, team cawork.TeamName, number int64) {
	b, ok := a.Teams[team]
	if !ok || number <= b.Acked[to] || number > b.Sent[to].Number {
		return
	}
	b.Acked[to] = number
}

// Unacknowledged returns the transfers to send again, in a fixed order.
func (a *Account) Unacknowledged() []Transfer {
	var out []Transfer
	for team, b := range a.Teams {
		for to, c := range b.Sent {
			if b.Acked[to] < c.Number && !a.Closed[to] {
				out = append(out, a.transfer(to, team, c))
			}
		}
	}
	slices.SortFunc(out, func(x, y Transfer) int {
		return cmp.Or(cmp.Compare(x.Team, y.Team), cmp.Compare(x.To, y.To))
	})
	return out
}

// IsEmpty reports whether the account holds nothing and owes nothing, so that
// its shard may be retired.
func (a *Account) IsEmpty() bool {
	for _, b := range a.Teams {
		if !b.Held().IsZero() || !b.Charged.IsZero() {
			return false
		}
	}
	return len(a.Unacknowledged()) == 0
}

// Verify asserts the invariants of the account: charges are not negative and
// no transfer is acknowledged that was not sent.
func (a *Account) Verify() error {
	for team, b := range a.Teams {
		if b.Charged.IsNegative() || b.Mint.Amount.IsNegative() {
			return cakind.New(cakind.KindInternal, "team %s: charged %v, minted %v", team, b.Charged, b.Mint.Amount)
		}
		for to, number := range b.Acked {
			if number > b.Sent[to].Number {
				return cakind.New(cakind.KindInternal, "team %s: transfer %d to %s is acknowledged, %d sent",
					team, number, to, b.Sent[to].Number)
			}
		}
	}
	return nil
}

func (a *Account) transfer(to cawork.ShardID, team cawork.TeamName, c Counter) Transfer {
	return Transfer{From: a.Shard, To: to, Team: team, Number: c.Number, Total: c.Total}
}

func (a *Account) balance(team cawork.TeamName) *Balance {
	if b, ok := a.Teams[team]; ok {
		return b
	}
	b := &Balance{
		Received: map[cawork.ShardID]Counter{},
		Sent:     map[cawork.ShardID]Counter{},
		Acked:    map[cawork.ShardID]int64{},
	}
	a.Teams[team] = b
	return b
}
