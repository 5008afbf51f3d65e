package caescrow

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// ZoneShare is the part of a limit that is minted in a zone.
type ZoneShare struct {
	Zone   cawork.ZoneName
	Amount cawork.Resources
}

// Divide splits the limit evenly among the zones. The remainder goes to the zone
// whose name sorts first, so that the shares add up to the limit exactly. For
// example, 10 accelerators among zones a, b and c become 4, 3 and 3.
func Divide(limit cawork.Resources, zones []cawork.ZoneName) []ZoneShare {
	names := slices.Clone(zones)
	slices.Sort(names)
	names = slices.Compact(names)
	if len(names) == 0 {
		return nil
	}
	part := divFloor(limit, int64(len(names)))
	shares := make([]ZoneShare, 0, len(names))
	for _, z := range names {
		shares = append(shares, ZoneShare{Zone: z, Amount: part})
	}
	rest := limit.Minus(part.Times(int64(len(names))))
	shares[0].Amount = shares[0].Amount.Plus(rest)
	return shares
}

// ClosingBalance returns the closing balance that results from the counters if the other
// shard is lost.
func (d TransferCounters) ClosingBalance(lost cawork.ShardID) ClosingBalance {
	c := ClosingBalance{By: d.By, Lost: lost}
	for _, r := range d.Received {
		c.Net = append(c.Net, TeamAmount{Team: r.Team, Amount: r.Counter.Total})
	}
	for _, s := range d.Sent {
		c.Net = append(c.Net, TeamAmount{Team: s.Team, Amount: cawork.Resources{}.Minus(s.Counter.Total)})
	}
	return c
}

// IsHeirOf reports whether the account has inherited from all of the shards.
func (a *Account) IsHeirOf(lost []cawork.ShardID) bool {
	return !slices.ContainsFunc(lost, func(s cawork.ShardID) bool { return !a.HeirOf[s] })
}

// NextMint returns the share to mint next on the way from the current share to the
// wanted one. When the set of zones that divide the limit changes, some shares
// grow while others shrink; a share then grows only once the sum cannot exceed the
// limit. effectiveEverywhere means that IsMintEffective holds on every minting
// shard for the version of wanted: a shard whose share shrank may have sent the
// allowance that it no longer mints, and other shards use it until the debt is
// repaid.
func NextMint(current, wanted MintShare, zonesChanged, effectiveEverywhere bool) MintShare {
	if !zonesChanged || effectiveEverywhere {
		return wanted
	}
	next := wanted
	next.Amount = minResources(current.Amount, wanted.Amount)
	return next
}

// IsMintEffective reports whether the account has applied exactly the version and
// has no debt. The shares of other zones may grow once this holds everywhere.
func (a *Account) IsMintEffective(team cawork.TeamName, version int64) bool {
	b, ok := a.Teams[team]
	return ok && b.Mint.Version == version && a.Debt(team).IsZero()
}

// Claim is the claim of a shard to mint the share of a zone. The order of claims in
// the platform's log decides between shards.
type Claim struct {
	Zone       cawork.ZoneName
	Generation int64
	Shard      cawork.ShardID
	// Lost lists the former holders that are permanently lost. The holder mints once
	// it has inherited from all of them.
	Lost []cawork.ShardID `cbor:",omitempty"`
}

// Claims holds the claims in force, built by applying claims in log order.
type Claims struct {
	holders map[cawork.ZoneName]Claim
}

// NewClaims returns a set without claims.
func NewClaims() *Claims { return &Claims{holders: map[cawork.ZoneName]Claim{}} }

// Apply applies the next claim of the log. The first claim of a generation wins;
// a higher generation replaces a lower one.
func (c *Claims) Apply(claim Claim) {
	if current, ok := c.holders[claim.Zone]; ok && claim.Generation <= current.Generation {
		return
	}
	c.holders[claim.Zone] = claim
}

// Holder returns the claim in force for the zone.
func (c *Claims) Holder(z cawork.ZoneName) (Claim, bool) {
	claim, ok := c.holders[z]
	return claim, ok
}

// ClosingBalance is the closing balance of one account with a shard that lost both
// replicas: the net amounts that the account received from that shard.
type ClosingBalance struct {
	By   cawork.ShardID
	Lost cawork.ShardID
	Net  []TeamAmount
}

// TeamAmount is an amount of one team.
type TeamAmount struct {
	Team   cawork.TeamName
	Amount cawork.Resources
}

// ClosePartner marks a lost shard as closed, so that later transfers from and to it are
// refused. It returns the closing balance, for the heir of the lost shard.
func (a *Account) ClosePartner(lost cawork.ShardID) ClosingBalance {
	a.Closed[lost] = true
	return a.ClosingBalanceWith(lost)
}

// ClosingBalanceWith returns the net amounts received from a shard. They are final once
// the shard is closed.
func (a *Account) ClosingBalanceWith(lost cawork.ShardID) ClosingBalance {
	c := ClosingBalance{By: a.Shard, Lost: lost}
	for team, b := range a.Teams {
		net := b.Received[lost].Total.Minus(b.Sent[lost].Total)
		if !net.IsZero() {
			c.Net = append(c.Net, TeamAmount{Team: team, Amount: net})
		}
	}
	slices.SortFunc(c.Net, func(x, y TeamAmount) int { return cmp.Compare(x.Team, y.Team) })
	return c
}

// Inherit credits the allowance that a lost shard still held, computed from the
// closing balances of all other shards. The caller must ensure that every shard
// has closed the lost one and that every lease granted by it has lapsed. The heir
// must also take over the mint of the lost shard, if any, through SetMint, and
// inherit from each shard whose heir the lost shard was.
func (a *Account) Inherit(lost cawork.ShardID, closings []ClosingBalance) error {
	if a.HeirOf[lost] {
		return nil
	}
	seen := map[cawork.ShardID]bool{a.Shard: true}
	nets := a.ClosePartner(lost).Net
	for _, c := range closings {
		if c.Lost != lost {
			return cakind.New(cakind.KindInvalid, "closing balance is for lost shard %s, not %s", c.Lost, lost)
		}
		if seen[c.By] {
			continue
		}
		seen[c.By] = true
		nets = append(nets, c.Net...)
	}
	for _, n := range nets {
		b := a.balance(n.Team)
		b.Inherited = b.Inherited.Minus(n.Amount)
	}
	a.HeirOf[lost] = true
	return nil
}
