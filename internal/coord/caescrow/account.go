// Package caescrow divides the upper resource limit of each team among the
// shards. The part that a shard holds is its allowance: the shard charges running
// tasks to it without asking the others, and transfers unused allowance to shards
// that need it. Allowance is created by minting: each zone has a share of the
// limit, which one shard of the zone mints.
//
// The allowances of a team on all shards never add up to more than was minted,
// even if messages are lost, repeated or reordered: the sender is debited before
// the receiver is credited, and both sides keep cumulative counters.
package caescrow

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Counter is the cumulative amount transferred in one direction between two
// shards. Number is the sequence number of the last transfer.
type Counter struct {
	Number int64
	Total  cawork.Resources
}

// Transfer is a message with the cumulative amount sent from one shard to
// another. It may be delivered any number of times and in any order.
type Transfer struct {
	From   cawork.ShardID
	To     cawork.ShardID
	Team   cawork.TeamName
	Number int64
	Total  cawork.Resources
}

// MintShare is the part of a team's limit that a shard mints under a version of
// the configuration.
type MintShare struct {
	Team    cawork.TeamName
	Version int64
	Amount  cawork.Resources
}

// Balance is the allowance of one team on one shard. Acked holds, by receiver,
// the number of the last acknowledged transfer in Sent.
type Balance struct {
	Mint      MintShare
	Inherited cawork.Resources
	Charged   cawork.Resources
	Received  map[cawork.ShardID]Counter
	Sent      map[cawork.ShardID]Counter
	Acked     map[cawork.ShardID]int64
}

// Held returns the allowance of the shard, including the charged part. It may be
// negative after the limit was lowered.
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

// Available returns the allowance that can be charged or sent.
func (b *Balance) Available() cawork.Resources { return b.Held().Minus(b.Charged) }

// Account holds the allowances of one shard. It is not safe for concurrent use.
type Account struct {
	Shard  cawork.ShardID
	Teams  map[cawork.TeamName]*Balance
	Closed map[cawork.ShardID]bool
	// Frozen is set while records of the account may be missing. A frozen account
	// has neither available allowance nor debt. Epoch is the epoch of the last
	// rebuild, Settled the set of partners whose counters were applied since.
	Frozen  bool
	Epoch   int64
	Settled map[cawork.ShardID]bool
	// Floors holds, by partner, the number that the next transfer must exceed.
	Floors map[cawork.ShardID]int64
	// Rebuilt holds the partners whose accounts were rebuilt.
	Rebuilt map[cawork.ShardID]RebuiltPartner
	// HeirOf is the set of lost shards whose allowance this account inherited.
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

// Available returns the allowance that can be charged to the team.
func (a *Account) Available(team cawork.TeamName) cawork.Resources {
	b, ok := a.Teams[team]
	if !ok || a.Frozen {
		return cawork.Resources{}
	}
	return b.Available()
}

// Held returns the allowance of the team, including the charged part.
func (a *Account) Held(team cawork.TeamName) cawork.Resources {
	b, ok := a.Teams[team]
	if !ok {
		return cawork.Resources{}
	}
	return b.Held()
}

// Charged returns the amount charged to the team.
func (a *Account) Charged(team cawork.TeamName) cawork.Resources {
	b, ok := a.Teams[team]
	if !ok {
		return cawork.Resources{}
	}
	return b.Charged
}

// Debt returns the debt of the team on this shard: the amount by which its
// charges exceed its allowance. Planner.Excess also covers the repayments that
// other shards request.
func (a *Account) Debt(team cawork.TeamName) cawork.Resources {
	return cawork.Resources{}.Minus(a.Available(team)).Floor()
}

// Charge charges the amount to the allowance of the team, or fails with
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

// ChargeRunning charges tasks that already run, even if the charge exceeds the
// allowance and leaves a debt.
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
			"team %s: freed amount %v exceeds charged amount %v", team, amount, a.Charged(team))
	}
	b := a.balance(team)
	b.Charged = b.Charged.Minus(amount)
	return nil
}

// SetMint sets the share that the shard mints. It fails with KindStaleVersion if
// the version is older than the current one. A lower amount may leave a debt.
func (a *Account) SetMint(s MintShare) error {
	if s.Amount.IsNegative() {
		return cakind.New(cakind.KindInvalid, "minted amount %v of team %s is negative", s.Amount, s.Team)
	}
	b := a.balance(s.Team)
	if s.Version < b.Mint.Version {
		return cakind.New(cakind.KindStaleVersion,
			"team %s: mint version %d is older than version %d", s.Team, s.Version, b.Mint.Version)
	}
	b.Mint = s
	return nil
}

// Send debits the account and returns the transfer, which the caller resends
// until it is acknowledged. Charged allowance cannot be sent: another shard would
// use it while the charged task still runs.
func (a *Account) Send(to cawork.ShardID, team cawork.TeamName, amount cawork.Resources) (Transfer, error) {
	switch {
	case a.Frozen:
		return Transfer{}, cakind.New(cakind.KindUnavailable, "account of shard %s is frozen after a rebuild", a.Shard)
	case to == a.Shard || amount.IsNegative() || amount.IsZero():
		return Transfer{}, cakind.New(cakind.KindInvalid, "invalid transfer of %v from %s to %s", amount, a.Shard, to)
	case a.Closed[to]:
		return Transfer{}, cakind.New(cakind.KindConflict, "shard %s is closed for transfers", to)
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

// Receive credits a transfer and reports whether it was new. It fails with
// KindConflict for a new transfer from a closed shard.
func (a *Account) Receive(t Transfer) (bool, error) {
	if t.To != a.Shard || t.From == a.Shard {
		return false, cakind.New(cakind.KindInvalid, "shard %s received a transfer from %s to %s", a.Shard, t.From, t.To)
	}
	b := a.balance(t.Team)
	if t.Number <= max(b.Received[t.From].Number, a.Rebuilt[t.From].Floor) {
		return false, nil
	}
	if a.Closed[t.From] {
		return false, cakind.New(cakind.KindConflict, "shard %s is closed for transfers", t.From)
	}
	b.Received[t.From] = Counter{Number: t.Number, Total: t.Total}
	return true, nil
}

// Acknowledge records that the receiver has credited the transfer with the number.
func (a *Account) Acknowledge(to cawork.ShardID, team cawork.TeamName, number int64) {
	b, ok := a.Teams[team]
	if !ok || number <= b.Acked[to] || number > b.Sent[to].Number {
		return
	}
	b.Acked[to] = number
}

// Unacknowledged returns the transfers to resend, ordered by team and receiver.
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

// IsEmpty reports whether the shard can be retired: no team has an allowance, a
// debt or charges, and all transfers are acknowledged.
func (a *Account) IsEmpty() bool {
	for _, b := range a.Teams {
		if !b.Held().IsZero() || !b.Charged.IsZero() {
			return false
		}
	}
	return len(a.Unacknowledged()) == 0
}

// Verify checks the invariants of the account: charged and minted amounts are not
// negative, and every acknowledged transfer was sent.
func (a *Account) Verify() error {
	for team, b := range a.Teams {
		if b.Charged.IsNegative() || b.Mint.Amount.IsNegative() {
			return cakind.New(cakind.KindInternal, "team %s: charged %v, minted %v", team, b.Charged, b.Mint.Amount)
		}
		for to, number := range b.Acked {
			if number > b.Sent[to].Number {
				return cakind.New(cakind.KindInternal, "team %s: transfer %d to %s is acknowledged, but the last one sent is %d",
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
