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

// Divide splits the limit evenly among the zones. The remainder goes to the
// zone whose name is first, so that the parts add up to the limit exactly. For
// example, 10 accelerators among zones a, b and c become 4, 3 and 3.
func Divide(limit cawork.Resources, zones []cawork.ZoneName) []ZoneShare {
	names := slices.Clone(zones)
	slices.Sort(names)
	names = slices.Compact(names)
	if len(names) == 0 {
		return nil
	}
	part := split(limit, int64(len(names)))
	shares := make([]ZoneShare, 0, len(names))
	for _, z := range names {
		shares = append(shares, ZoneShare{Zone: z, Amount: part})
	}
	rest := limit.Minus(part.Times(int64(len(names))))
	shares[0].Amount = shares[0].Amount.Plus(rest)
	return shares
}

// Net returns the closing of one that had the dealings with a lost shard.
func (d Dealings) Net(lost cawork.ShardID) Closing {
	c := Closing{By: d.By, Lost: lost}
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

// NextMint returns the share to mint on the way from the current share to the
// wanted one. When the zones among which the limit is divided have changed,
// some zones rise while others fall; a rise then waits until the sum cannot
// exceed the limit. settledByAll reports that IsMintSettled holds at every
// minting shard for the version of wanted: a shard that fell may have sent
// what it no longer mints, and that is used until the debt is paid.
func NextMint(current, wanted MintShare, zonesChanged, settledByAll bool) MintShare {
	if !zonesChanged || settledByAll {
		return wanted
	}
	next := wanted
	next.Amount = smaller(current.Amount, wanted.Amount)
	return next
}

// IsMintSettled reports whether the account has applied exactly the version
// and owes nothing, so that other zones may rise as far as it is concerned.
func (a *Account) IsMintSettled(team cawork.TeamName, version int64) bool {
	b, ok := a.Teams[team]
	return ok && b.Mint.Version == version && a.Excess(team).IsZero()
}

// Claim asks for the mint of a zone. Claims are read from the platform's log.
type Claim struct {
	Zone       cawork.ZoneName
	Generation int64
	Shard      cawork.ShardID
	// Lost are the former holders that are lost for good. The holder mints once it
	// has inherited from all of them.
	Lost []cawork.ShardID `cbor:",omitempty"`
}

// Claims folds the claims in the order of the log.
type Claims struct {
	holders map[cawork.ZoneName]Claim
}

// NewClaims returns an empty fold.
func NewClaims() *Claims { return &Claims{holders: map[cawork.ZoneName]Claim{}} }

// Apply takes the next claim of the log. The first claim of a generation
// wins; a higher generation replaces a lower one.
func (c *Claims) Apply(claim Claim) {
	if held, ok := c.holders[claim.Zone]; ok && claim.Generation <= held.Generation {
		return
	}
	c.holders[claim.Zone] = claim
}

// Holder returns the claim in force for the zone.
func (c *Claims) Holder(z cawork.ZoneName) (Claim, bool) {
	claim, ok := c.holders[z]
	return claim, ok
}

// Closing is what one account tells about a shard that was lost with both
// replicas: the net amount that it received from that shard.
type Closing struct {
	By   cawork.ShardID
	Lost cawork.ShardID
	Net  []TeamAmount
}

// TeamAmount is an amount of one team.
type TeamAmount struct {
	Team   cawork.TeamName
	Amount cawork.Resources
}

// Close ends all dealings with a lost shard: later transfers of it are
// refused. It returns the net amounts for the heir of its allowance.
func (a *Account) Close(lost cawork.ShardID) Closing {
	a.Closed[lost] = true
	return a.ClosingWith(lost)
}

// ClosingWith returns the net amounts that came from a shard. They are final
// once it is closed.
func (a *Account) ClosingWith(lost cawork.ShardID) Closing {
	c := Closing{By: a.Shard, Lost: lost}
	for team, b := range a.Teams {
		net := b.Received[lost].Total.Minus(b.Sent[lost].Total)
		if !net.IsZero() {
			c.Net = append(c.Net, TeamAmount{Team: team, Amount: net})
		}
	}
	slices.SortFunc(c.Net, func(x, y TeamAmount) int { return cmp.Compare(x.Team, y.Team) })
	return c
}

// Inherit credits what a lost shard still held, from the closings of all other
// shards. The caller vouches that every shard has closed and that every lease
// granted by the lost shard has lapsed. The heir also takes over the mint, if
// the lost shard had one, through SetMint, and inherits again from each shard
// whose heir the lost shard was.
func (a *Account) Inherit(lost cawork.ShardID, closings []Closing) error {
	if a.HeirOf[lost] {
		return nil
	}
	seen := map[cawork.ShardID]bool{a.Shard: true}
	nets := a.Close(lost).Net
	for _, c := range closings {
		if c.Lost != lost {
			return cakind.New(cakind.KindInvalid, "closing of %s among those of %s", c.Lost, lost)
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
