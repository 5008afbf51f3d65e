package caescrow

import (
	"cmp"
	"slices"
)

// All returns the claims in force, ordered by zone.
func (c *Claims) All() []Claim {
	var all []Claim
	for _, claim := range c.holders {
		all = append(all, claim)
	}
	slices.SortFunc(all, func(a, b Claim) int { return cmp.Compare(a.Zone, b.Zone) })
	return all
}
