package casched

import (
	"maps"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Teams returns the names of the teams in order.
func (p Policy) Teams() []cawork.TeamName { return slices.Sorted(maps.Keys(p.teams)) }
