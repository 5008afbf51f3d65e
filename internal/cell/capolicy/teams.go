package capolicy

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// KeyMove is a change of the team that some keys belong to.
type KeyMove struct {
	From, To cawork.TeamName
	Keys     int
	// Continues is set if the policy does not list From, and To continues it: of several teams with keys of it, the one
	// with the highest weight.
	Continues bool
}

// KeyMoves returns the moves of keys between teams, by the names of these.
func KeyMoves(inForce, p caspec.Policy) []KeyMove {
	var moves []KeyMove
	for _, from := range inForce.Teams {
		counts := make(map[cawork.TeamName]int)
		for _, key := range from.Keys {
			if to, listed := p.TeamForKey(key); listed && to != from.Name {
				counts[to]++
			}
		}
		var ofTeam []KeyMove
		for to, n := range counts {
			ofTeam = append(ofTeam, KeyMove{From: from.Name, To: to, Keys: n})
		}
		slices.SortFunc(ofTeam, func(x, y KeyMove) int {
			return cmp.Or(cmp.Compare(weightOf(p, y.To), weightOf(p, x.To)), cmp.Compare(x.To, y.To))
		})
		if _, listed := p.Team(from.Name); !listed && len(ofTeam) > 0 {
			ofTeam[0].Continues = true
		}
		moves = append(moves, ofTeam...)
	}
	return moves
}

func weightOf(p caspec.Policy, name cawork.TeamName) float64 {
	t, _ := p.Team(name)
	return t.Weight
}

// RemovedTeams returns the teams in force that a policy does not list and no other team continues.
func RemovedTeams(inForce, p caspec.Policy) []cawork.TeamName {
	continued := make(map[cawork.TeamName]bool)
	for _, m := range KeyMoves(inForce, p) {
		continued[m.From] = true
	}
	var removed []cawork.TeamName
	for _, t := range inForce.Teams {
		if _, listed := p.Team(t.Name); !listed && !continued[t.Name] {
			removed = append(removed, t.Name)
		}
	}
	return removed
}
