// Package caallowance runs the escrowed allowances of one holder: it charges
// work to them, moves them between holders over the calls of the embedder, and
// keeps each change in a journal of the embedder before it takes effect.
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

// ChargeID identifies a charge. It is never used again.
type ChargeID string

// Charge is allowance that work of a team takes until it is released.
type Charge struct {
	ID     ChargeID
	Team   cawork.TeamName
	Amount cawork.Resources
}

// Record is a change of an account. Exactly one field is set. An account is
// the same whatever the order and number of copies of its records.
type Record struct {
	Mint     *caescrow.MintShare `json:",omitempty"`
	Charged  *Charge             `json:",omitempty"`
	Released ChargeID            `json:",omitempty"`
	// Sent and Received hold cumulative counters, so that the record with the
	// highest number tells all.
	Sent     *caescrow.Transfer `json:",omitempty"`
	Received *caescrow.Transfer `json:",omitempty"`
}

// Journal keeps the records of one holder.
type Journal interface {
	// Append returns once the record cannot be lost. After an error the record
	// may still be kept, also later.
	Append(ctx context.Context, r Record) error
}

// book is an account with the charges that make up what is charged.
type book struct {
	account *caescrow.Account
	charges map[ChargeID]Charge
}

// restore returns the book that the records describe. For example, a charge
// of 4 cores, its release, and a late copy of the charge leave nothing
// charged.
func restore(self cawork.ShardID, records []Record) book {
	b := book{account: caescrow.NewAccount(self), charges: map[ChargeID]Charge{}}
	released := map[ChargeID]bool{}
	for _, r := range records {
		switch {
		case r.Mint != nil:
			// What is older than the mint that is known changes nothing.
			_ = b.setMint(*r.Mint)
		case r.Charged != nil:
			b.charges[r.Charged.ID] = *r.Charged
		case r.Released != "":
			released[r.Released] = true
		case r.Sent != nil:
			b.restoreSent(*r.Sent)
		case r.Received != nil:
			_, _ = b.account.Receive(*r.Received)
		}
	}
	maps.DeleteFunc(b.charges, func(id ChargeID, _ Charge) bool { return released[id] })
	for _, c := range b.charges {
		balance := b.balance(c.Team)
		balance.Charged = balance.Charged.Plus(c.Amount)
	}
	return b
}

// setMint takes over a mint that is newer than the one that is known.
func (b book) setMint(s caescrow.MintShare) error {
	if err := b.checkMint(s); err != nil {
		return err
	}
	return b.account.SetMint(s)
}

// checkMint refuses an older mint. Under one version the amount may only rise,
// so that the order of the records does not matter.
func (b book) checkMint(s caescrow.MintShare) error {
	known := b.balance(s.Team).Mint
	if s.Version < known.Version || s.Version == known.Version && !known.Amount.Fits(s.Amount) {
		return cakind.New(cakind.KindStaleVersion,
			"team %s: mint of version %d, %v after version %d, %v", s.Team, s.Version, s.Amount, known.Version, known.Amount)
	}
	return nil
}

// restoreSent debits at least what any record tells. A process that was lost
// may have left a record of a transfer that it never sent, and the next one
// used its number for another.
func (b book) restoreSent(t caescrow.Transfer) {
	sent := b.balance(t.Team).Sent
	known := sent[t.To]
	sent[t.To] = caescrow.Counter{
		Number: max(known.Number, t.Number),
		Total:  known.Total.Plus(t.Total.Minus(known.Total).Floor()),
	}
}

// balance returns the balance of the team, which it creates if need be.
func (b book) balance(team cawork.TeamName) *caescrow.Balance {
	if _, ok := b.account.Teams[team]; !ok {
		b.account.Teams[team] = &caescrow.Balance{
			Received: map[cawork.ShardID]caescrow.Counter{},
			Sent:     map[cawork.ShardID]caescrow.Counter{},
			Acked:    map[cawork.ShardID]int64{},
		}
	}
	return b.account.Teams[team]
}

// records returns records that describe the book, in a fixed order.
func (b book) records() []Record {
	var out []Record
	for _, team := range slices.Sorted(maps.Keys(b.account.Teams)) {
		balance := b.account.Teams[team]
		if balance.Mint.Version > 0 {
			mint := balance.Mint
			out = append(out, Record{Mint: &mint})
		}
		for _, from := range slices.Sorted(maps.Keys(balance.Received)) {
			out = append(out, Record{Received: transfer(from, b.account.Shard, team, balance.Received[from])})
		}
		for _, to := range slices.Sorted(maps.Keys(balance.Sent)) {
			out = append(out, Record{Sent: transfer(b.account.Shard, to, team, balance.Sent[to])})
		}
	}
	for _, c := range b.list() {
		out = append(out, Record{Charged: &c})
	}
	return out
}

// list returns the charges, ordered by id.
func (b book) list() []Charge {
	return slices.SortedFunc(maps.Values(b.charges), func(x, y Charge) int { return cmp.Compare(x.ID, y.ID) })
}

func transfer(from, to cawork.ShardID, team cawork.TeamName, c caescrow.Counter) *caescrow.Transfer {
	return &caescrow.Transfer{From: from, To: to, Team: team, Number: c.Number, Total: c.Total}
}
