package caboard

import (
	"testing"

	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// TestDeclarationEndsWithAnswer covers an upstream that answers between two silences: its lease may have been
// extended, so that the second declaration must differ from the first.
func TestDeclarationEndsWithAnswer(t *testing.T) {
	s := newSilentUpstream(t)
	var declarations []int64
	declare := func() {
		batch, silent := s.silentBatch()
		s.planner.MarkStored(batch)
		for _, u := range silent {
			declarations = append(declarations, u.Declaration)
		}
	}
	declare()
	declare()
	s.report("up-00", runningRows(s.planner.upstreams["up-00"], caorder.RunID{}), nil)
	declare()
	s.planner.MarkRenewalUnanswered("up-00")
	declare()
	if len(declarations) != 3 || declarations[0] == 0 || declarations[0] != declarations[1] || declarations[2] == declarations[1] || declarations[2] == 0 {
		t.Errorf("declarations %v, want two equal ones and another", declarations)
	}
}
