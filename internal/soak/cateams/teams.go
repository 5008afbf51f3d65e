// Package cateams changes the teams of a policy as operators do who rename, swap, merge and bring them back while their
// jobs run. All keys stay listed, so that callers go on with theirs.
package cateams

import (
	"fmt"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

//go:generate go tool enumer -type=Change -trimprefix=Change -transform=snake -output=change_names.go

// Change is a change of teams that begins and ends. When it ends, the teams have their names and keys back.
type Change int

// The changes.
const (
	// ChangeRename gives the first team another name.
	ChangeRename Change = 1 + iota
	// ChangeSwap gives the first team the name of the second one, and the other way round.
	ChangeSwap
	// ChangeMerge gives the keys of the first team to the second one, which is renamed every other time.
	ChangeMerge
)

// Teams is how the teams in force differ from those of the policy. It is not safe for concurrent use.
type Teams struct {
	current Change
	// begun counts the changes, so that each renames a team to a name of its own.
	begun int
}

// Begin begins a change, in place of another one that goes on.
func (t *Teams) Begin(c Change) {
	t.current = c
	t.begun++
}

// End ends all changes.
func (t *Teams) End() { t.current = 0 }

// Apply returns the policy with its first two teams changed.
func (t *Teams) Apply(p caspec.Policy) caspec.Policy {
	if t.current == 0 || len(p.Teams) < 2 {
		return p
	}
	p.Teams = slices.Clone(p.Teams)
	first, second := &p.Teams[0], &p.Teams[1]
	switch t.current {
	case ChangeRename:
		first.Name = t.renamed(first.Name)
	case ChangeSwap:
		first.Name, second.Name = second.Name, first.Name
	case ChangeMerge:
		second.Keys = slices.Concat(second.Keys, first.Keys)
		if t.begun%2 == 0 {
			second.Name = t.renamed(second.Name)
		}
		p.Teams = p.Teams[1:]
	}
	return p
}

func (t *Teams) renamed(name cawork.TeamName) cawork.TeamName {
	return cawork.TeamName(fmt.Sprintf("%s-%d", name, t.begun))
}
