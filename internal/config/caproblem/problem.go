// Package caproblem describes what is wrong with a settings or configuration
// file: where it stands and why it is refused.
package caproblem

import (
	"fmt"
	"strings"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// Position is a place in a file. Line and Column count from 1, the column in
// bytes. The zero value means that the place is not known.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column, or "" when the place is not known.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one reason to refuse a document.
type Problem struct {
	At Position
	// Path names the value, for example "teams.knitwear.share".
	Path   string
	Reason string
}

// String returns the place, the path and the reason.
func (p Problem) String() string {
	parts := make([]string, 0, 3)
	for _, s := range []string{p.At.String(), p.Path, p.Reason} {
		if s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, ": ")
}

// List is all that is wrong with a document. A non-empty list is an error.
type List []Problem

// Error returns one line for each problem.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error of KindInvalid, nil when it is empty. The
// list is found again by errors.As.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return cakind.Wrap(cakind.KindInvalid, l, "refused")
}
