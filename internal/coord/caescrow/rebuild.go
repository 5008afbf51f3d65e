package caescrow

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// rebuildGap is the number by which transfer numbers skip ahead when a shard is
// rebuilt, so that none of its forgotten transfers is accepted as a new one.
const rebuildGap = 1 << 32

// RebuiltPartner holds the epoch in which a partner was rebuilt, and the number up
// to which its transfers are ignored.
type RebuiltPartner struct {
	Epoch int64
	Floor int64
}

// TeamCounter is a counter of one team.
type TeamCounter struct {
	Team    cawork.TeamName
	Counter Counter
}

// TransferCounters holds the counters of the transfers between By and a shard that was
// rebuilt in the epoch, as the account of By recorded them.
type TransferCounters struct {
	By    cawork.ShardID
	Epoch int64
	// Floor is the number that the next transfer to By must exceed.
	Floor int64
	// Received counts the transfers from the rebuilt shard to By, Sent those from
	// By to the rebuilt shard.
	Received []TeamCounter
	Sent     []TeamCounter
}

// Rebuild freezes an account whose latest records may be missing: it may have sent
// allowance that it still appears to hold. The caller applies the counters of
// every other account with Settle before it unfreezes the account. The epoch must
// be higher than the epochs of all earlier rebuilds.
func (a *Account) Rebuild(epoch int64) {
	a.Frozen = true
	a.Epoch = max(a.Epoch+1, epoch)
	a.Settled = map[cawork.ShardID]bool{}
}

// Unfreeze unfreezes the account and so makes its allowances available again.
func (a *Account) Unfreeze() { a.Frozen = false }

// RefuseOldTransfers makes Receive ignore the transfers that a partner sent before it was
// rebuilt in the epoch and that have not arrived yet.
func (a *Account) RefuseOldTransfers(from cawork.ShardID, epoch int64) {
	rebuilt := a.Rebuilt[from]
	if epoch <= rebuilt.Epoch {
		return
	}
	maxNumber := rebuilt.Floor
	for _, b := range a.Teams {
		maxNumber = max(maxNumber, b.Received[from].Number)
	}
	a.Rebuilt[from] = RebuiltPartner{Epoch: epoch, Floor: maxNumber + rebuildGap}
}

// TransferCountersWith returns the counters that a rebuilt partner passes to Settle. They
// are valid only once earlier transfers of that partner are refused.
func (a *Account) TransferCountersWith(partner cawork.ShardID) TransferCounters {
	rebuilt := a.Rebuilt[partner]
	d := TransferCounters{By: a.Shard, Epoch: rebuilt.Epoch, Floor: rebuilt.Floor}
	for team, b := range a.Teams {
		if c, ok := b.Received[partner]; ok {
			d.Received = append(d.Received, TeamCounter{Team: team, Counter: c})
		}
		if c, ok := b.Sent[partner]; ok {
			d.Sent = append(d.Sent, TeamCounter{Team: team, Counter: c})
		}
	}
	byTeam := func(x, y TeamCounter) int { return cmp.Compare(x.Team, y.Team) }
	slices.SortFunc(d.Received, byTeam)
	slices.SortFunc(d.Sent, byTeam)
	return d
}

// Settle corrects the counters of a frozen account by those that a partner
// recorded: what the partner received was sent by this account, and what it sent
// was received. It fails with KindStaleVersion for counters of another epoch.
func (a *Account) Settle(d TransferCounters) error {
	if !a.Frozen || d.Epoch != a.Epoch {
		return cakind.New(cakind.KindStaleVersion, "transfer counters of %s are of epoch %d, not %d", d.By, d.Epoch, a.Epoch)
	}
	for _, b := range a.Teams {
		if c, sent := b.Sent[d.By]; sent {
			b.Sent[d.By] = Counter{Number: max(c.Number, d.Floor)}
			b.Acked[d.By] = b.Sent[d.By].Number
		}
	}
	for _, r := range d.Received {
		b := a.balance(r.Team)
		b.Sent[d.By] = Counter{Number: max(b.Sent[d.By].Number, d.Floor, r.Counter.Number), Total: r.Counter.Total}
		b.Acked[d.By] = b.Sent[d.By].Number
	}
	for _, s := range d.Sent {
		b := a.balance(s.Team)
		if s.Counter.Number > b.Received[d.By].Number {
			b.Received[d.By] = s.Counter
		}
	}
	a.Floors[d.By] = max(a.Floors[d.By], d.Floor)
	a.Settled[d.By] = true
	return nil
}
