package cateams_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/soak/cateams"
)

// TestChangesOfTeams guards against changes after which a key is refused, and against teams that do not get their names
// back.
func TestChangesOfTeams(t *testing.T) {
	p := caspec.Policy{Teams: []caspec.Team{{Name: "a", Keys: []string{"ka"}}, {Name: "b", Keys: []string{"kb"}}}}
	var teams cateams.Teams
	var got []map[string]cawork.TeamName
	for _, change := range append(cateams.ChangeValues(), cateams.ChangeMerge) {
		teams.Begin(change)
		got = append(got, ownersOf(teams.Apply(p)))
	}
	teams.End()
	got = append(got, ownersOf(teams.Apply(p)))
	want := []map[string]cawork.TeamName{
		{"ka": "a-1", "kb": "b"},
		{"ka": "b", "kb": "a"},
		{"ka": "b", "kb": "b"},
		{"ka": "b-4", "kb": "b-4"},
		{"ka": "a", "kb": "b"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("teams of the keys after each change (-want +got):\n%s", diff)
	}
}

// ownersOf returns the teams of the keys of a policy.
func ownersOf(p caspec.Policy) map[string]cawork.TeamName {
	owners := make(map[string]cawork.TeamName)
	for _, t := range p.Teams {
		for _, key := range t.Keys {
			owners[key] = t.Name
		}
	}
	return owners
}
