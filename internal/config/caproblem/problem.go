// Package caproblem describes the problems of a settings or configuration
// file: the position of each and the reason why the file is rejected.
package caproblem

import (
	"fmt"
	"strings"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// Position is a position in a file. Line and Column count from 1, the column in
// bytes. The zero value means that the position is unknown.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column, or only the file when the line is unknown.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one reason to reject a document.
type Problem struct {
	At Position
	// Path is the path of the value, for example "teams.knitwear.share".
	Path   string
	Reason string
}

// String returns the position, the path and the reason.
func (p Problem) String() string {
	parts := make([]string, 0, 3)
	for _, s := range []string{p.At.String(), p.Path, p.Reason} {
		if s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, ": ")
}

// List holds all problems of a document. A non-empty list is an error.
type List []Problem

// Error returns one line for each problem.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error of KindInvalid, or nil when it is empty.
// errors.As finds the list in that error.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return cakind.Wrap(cakind.KindInvalid, l, "refused")
}
