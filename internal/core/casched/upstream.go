package casched

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Upstream describes an upstream that the entry owns.
type Upstream struct {
	ID              cawork.UpstreamID
	Zone            cawork.ZoneName
	Rack            cawork.RackName
	Capacity        cawork.Resources
	AcceleratorKind string
	Slots           int
	Connections     int
	// Leaving upstreams get no new tasks.
	Leaving bool
}

// Admits reports whether the constraints allow the upstream.
func (u Upstream) Admits(c cawork.Constraints) bool {
	if c.Zone != "" && c.Zone != u.Zone {
		return false
	}
	if c.Rack != "" && c.Rack != u.Rack {
		return false
	}
	return c.AcceleratorKind == "" || c.AcceleratorKind == u.AcceleratorKind
}

// TeamUse is what a team uses.
type TeamUse struct {
	Team cawork.TeamName
	Use  cawork.Resources
}

// RemoteUse is what the other entries reported: the capacity of their
// upstreams and the charges of their jobs. It is zero when the entry is cut
// off.
type RemoteUse struct {
	Capacity cawork.Resources
	Teams    []TeamUse
	// Shapes holds one upstream of each shape that other entries own, to tell
	// what could ever fit. Slots and Connections of it are not used.
	Shapes []Upstream
}

// Of returns the use of the team.
func (r RemoteUse) Of(team cawork.TeamName) cawork.Resources {
	for _, t := range r.Teams {
		if t.Team == team {
			return t.Use
		}
	}
	return cawork.Resources{}
}
