// Package caallowance manages the escrowed allowances of one holder, each the
// share of a team's limit that the holder may use. It charges work to them and
// moves allowance between holders. The embedding program provides the calls
// between holders and a journal, which records each change before it takes
// effect.
package caallowance

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// ChargeID identifies a charge. It is never reused.
type ChargeID string

// Charge is allowance that is used by work of a team until it is released.
type Charge struct {
	ID     ChargeID
	Team   cawork.TeamName
	Amount cawork.Resources
}

// Record is a change of an account. Exactly one field is set. Records may be
// replayed in any order and more than once.
type Record struct {
	Mint     *caescrow.MintShare `json:",omitempty"`
	Charged  *Charge             `json:",omitempty"`
	Released ChargeID            `json:",omitempty"`
	// Sent and Received hold cumulative counters, so that the record with the
	// highest number supersedes the others.
	Sent     *caescrow.Transfer `json:",omitempty"`
	Received *caescrow.Transfer `json:",omitempty"`
}

// Journal stores the records of one holder.
type Journal interface {
	// Append returns nil once the record is durable. After an error the record
	// may have been stored, or may still be stored later.
	Append(ctx context.Context, r Record) error
}

// ledger is an account with its individual charges.
type ledger struct {
	account *caescrow.Account
	charges map[ChargeID]Charge
}

// restoreLedger replays the records. For example, a charge of 4 cores, its
// release and a late copy of the charge leave nothing charged.
func restoreLedger(self cawork.ShardID, records []Record) ledger {
	l := ledger{account: caescrow.NewAccount(self), charges: map[ChargeID]Charge{}}
	releasedIDs := map[ChargeID]bool{}
	for _, r := range records {
		switch {
		case r.Mint != nil:
			// An error means that the record is older than the current mint.
			_ = l.setMint(*r.Mint)
		case r.Charged != nil:
			l.charges[r.Charged.ID] = *r.Charged
		case r.Released != "":
			releasedIDs[r.Released] = true
		case r.Sent != nil:
			l.restoreSent(*r.Sent)
		case r.Received != nil:
			_, _ = l.account.Receive(*r.Received)
		}
	}
	maps.DeleteFunc(l.charges, func(id ChargeID, _ Charge) bool { return releasedIDs[id] })
	for _, c := range l.charges {
		balance := l.balance(c.Team)
		balance.Charged = balance.Charged.Plus(c.Amount)
	}
	return l
}

// setMint replaces the mint share of the team unless checkMint refuses it.
func (l ledger) setMint(s caescrow.MintShare) error {
	if err := l.checkMint(s); err != nil {
		return err
	}
	return l.account.SetMint(s)
}

// checkMint refuses an older mint share than the current one. Under one version
// the amount may only rise, so that the order of the records does not matter.
func (l ledger) checkMint(s caescrow.MintShare) error {
	current := l.balance(s.Team).Mint
	if s.Version < current.Version || s.Version == current.Version && !current.Amount.Fits(s.Amount) {
		return cakind.New(cakind.KindStaleVersion,
			"team %s: mint share of version %d, %v cannot replace version %d, %v", s.Team, s.Version, s.Amount, current.Version, current.Amount)
	}
	return nil
}

// restoreSent debits the highest amounts of any record. A process that crashed
// may have recorded a transfer that it never sent, and its successor may have
// used the same number for another transfer.
func (l ledger) restoreSent(t caescrow.Transfer) {
	sent := l.balance(t.Team).Sent
	current := sent[t.To]
	sent[t.To] = caescrow.Counter{
		Number: max(current.Number, t.Number),
		Total:  current.Total.Plus(t.Total.Minus(current.Total).Floor()),
	}
}

// balance returns the balance of the team. It creates a missing one.
func (l ledger) balance(team cawork.TeamName) *caescrow.Balance {
	if _, ok := l.account.Teams[team]; !ok {
		l.account.Teams[team] = &caescrow.Balance{
			Received: map[cawork.ShardID]caescrow.Counter{},
			Sent:     map[cawork.ShardID]caescrow.Counter{},
			Acked:    map[cawork.ShardID]int64{},
		}
	}
	return l.account.Teams[team]
}

// records returns records that describe the ledger, in a deterministic order.
func (l ledger) records() []Record {
	var records []Record
	for _, team := range slices.Sorted(maps.Keys(l.account.Teams)) {
		balance := l.account.Teams[team]
		if balance.Mint.Version > 0 {
			mint := balance.Mint
			records = append(records, Record{Mint: &mint})
		}
		for _, from := range slices.Sorted(maps.Keys(balance.Received)) {
			records = append(records, Record{Received: newTransfer(from, l.account.Shard, team, balance.Received[from])})
		}
		for _, to := range slices.Sorted(maps.Keys(balance.Sent)) {
			records = append(records, Record{Sent: newTransfer(l.account.Shard, to, team, balance.Sent[to])})
		}
	}
	for _, c := range l.sortedCharges() {
		records = append(records, Record{Charged: &c})
	}
	return records
}

// sortedCharges returns the charges ordered by id.
func (l ledger) sortedCharges() []Charge {
	return slices.SortedFunc(maps.Values(l.charges), func(x, y Charge) int { return cmp.Compare(x.ID, y.ID) })
}

func newTransfer(from, to cawork.ShardID, team cawork.TeamName, c caescrow.Counter) *caescrow.Transfer {
	return &caescrow.Transfer{From: from, To: to, Team: team, Number: c.Number, Total: c.Total}
}
