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
	// Leaving is set while the upstream drains: it gets no new tasks.
	Leaving bool
}

// Admits reports whether the upstream satisfies the constraints.
func (u Upstream) Admits(c cawork.Constraints) bool {
	if c.Zone != "" && c.Zone != u.Zone {
		return false
	}
	if c.Rack != "" && c.Rack != u.Rack {
		return false
	}
	return c.AcceleratorKind == "" || c.AcceleratorKind == u.AcceleratorKind
}

// TeamUse is what is charged to a team for its tasks.
type TeamUse struct {
	Team cawork.TeamName
	Use  cawork.Resources
}

// RemoteUse is what the other entries reported: the capacity of their upstreams
// and what is charged for their jobs. It is zero while the entry is partitioned
// from the others.
type RemoteUse struct {
	Capacity cawork.Resources
	Teams    []TeamUse
	// Shapes has one upstream of each distinct shape that other entries own. It
	// shows which jobs could ever fit. Slots and Connections are not used.
	Shapes []Upstream
}

// Of returns what is charged to the team.
func (r RemoteUse) Of(team cawork.TeamName) cawork.Resources {
	for _, t := range r.Teams {
		if t.Team == team {
			return t.Use
		}
	}
	return cawork.Resources{}
}
