package caescrow

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// rebuildGap is how far the numbers of transfers go up when a shard is rebuilt,
// so that none of its lost transfers is taken for a new one.
const rebuildGap = 1 << 32

// RebuiltPartner is what an account keeps of a partner that was rebuilt: the
// epoch of the rebuild, and the number up to which transfers are refused.
type RebuiltPartner struct {
	Epoch int64
	Floor int64
}

// TeamCounter is a counter of one team.
type TeamCounter struct {
	Team    cawork.TeamName
	Counter Counter
}

// Dealings is what the account of By holds of its transfers with a shard that
// was rebuilt in the epoch.
type Dealings struct {
	By    cawork.ShardID
	Epoch int64
	// Floor is the number that the next transfer to By must exceed.
	Floor int64
	// Received is what By got from the shard, Sent what it gave to it.
	Received []TeamCounter
	Sent     []TeamCounter
}

// Rebuild freezes an account of which records may be missing: it may have sent
// what it still seems to hold. It is settled with every other account before
// Thaw. The epoch must be higher than that of any former rebuild.
func (a *Account) Rebuild(epoch int64) {
	a.Frozen = true
	a.Epoch = max(a.Epoch+1, epoch)
	a.Settled = map[cawork.ShardID]bool{}
}

// Thaw makes the balances available again.
func (a *Account) Thaw() { a.Frozen = false }

// RefuseLost refuses the transfers that a partner sent before it was rebuilt
// in the epoch and that have not arrived.
func (a *Account) RefuseLost(from cawork.ShardID, epoch int64) {
	known := a.Rebuilt[from]
	if epoch <= known.Epoch {
		return
	}
	highest := known.Floor
	for _, b := range a.Teams {
		highest = max(highest, b.Received[from].Number)
	}
	a.Rebuilt[from] = RebuiltPartner{Epoch: epoch, Floor: highest + rebuildGap}
}

// DealingsWith tells a partner that was rebuilt what it needs to settle. It
// holds only after RefuseLost.
func (a *Account) DealingsWith(partner cawork.ShardID) Dealings {
	known := a.Rebuilt[partner]
	d := Dealings{By: a.Shard, Epoch: known.Epoch, Floor: known.Floor}
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

// Settle takes over what a partner tells: what it received was sent, and what
// it sent was received. Dealings of another epoch are refused with
// KindStaleVersion.
func (a *Account) Settle(d Dealings) error {
	if !a.Frozen || d.Epoch != a.Epoch {
		return cakind.New(cakind.KindStaleVersion, "dealings with %s are of epoch %d, not %d", d.By, d.Epoch, a.Epoch)
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
