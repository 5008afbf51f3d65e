package cacell

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"celeryarch.example/celeryarch/internal/config/cadocument"
	"celeryarch.example/celeryarch/internal/config/camerge"
)

// Change is one value that differs between two configurations. Before is
// empty for a value that was added, After for one that was removed.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns the differences between two configurations, sorted by path.
func Diff(before, after Config) []Change {
	oldValues, newValues := before.values(), after.values()
	paths := maps.Clone(oldValues)
	maps.Copy(paths, newValues)
	var changes []Change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if oldValues[path] != newValues[path] {
			changes = append(changes, Change{Path: path, Before: oldValues[path], After: newValues[path]})
		}
	}
	return changes
}

// values returns the scalar values of the configuration by path.
func (c Config) values() map[string]string {
	values := map[string]string{}
	if c.IsZero() {
		return values
	}
	n, problems := camerge.Parse("", c.encoded)
	if len(problems) > 0 {
		panic("cacell: canonical encoding cannot be read: " + problems.Error())
	}
	flatten(values, "", n)
	return values
}

func flatten(values map[string]string, path string, n camerge.Node) {
	for _, m := range n.Members {
		flatten(values, camerge.JoinPath(path, m.Name), m.Value)
	}
	for i, e := range n.Elements {
		flatten(values, camerge.JoinPath(path, strconv.Itoa(i)), e)
	}
	if n.Kind != camerge.KindObject && n.Kind != camerge.KindArray {
		values[path] = cadocument.Describe(n)
	}
}
