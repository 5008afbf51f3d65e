package cashard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// TestViolationRevokesRightToAct breaks each invariant and checks that the
// primary may not act afterwards.
func TestViolationRevokesRightToAct(t *testing.T) {
	self, b, c := Member{VM: "a"}, Member{VM: "b"}, Member{VM: "c"}
	solo := View{Shard: "s", Number: 3, Primary: self, Witness: "w"}
	for name, breakInvariant := range map[string]func(*primary){
		"order":   func(p *primary) { p.possibleViews = []View{solo, solo.WithNumber(2)} },
		"primary": func(p *primary) { p.possibleViews[0].Primary = b },
		"log":     func(p *primary) { p.commitIndex = 9 },
		"exclude": func(p *primary) {
			next := solo.WithNumber(5).WithBackup(c).WithWitness("x")
			p.possibleViews = []View{solo.WithBackup(b), next}
			p.change = &change{view: next, stage: stageExclude}
		},
	} {
		p := newPrimary(self, "z", DefaultConfig(), solo, nil, 0)
		_, before := p.mayAct(time.Unix(0, 0))
		breakInvariant(p)
		p.violation = p.verify()
		_, after := p.mayAct(time.Unix(0, 0))
		if diff := cmp.Diff([]bool{true, false}, []bool{before, after}); diff != "" {
			t.Errorf("%s: may act before and after (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff(cakind.KindInternal, cakind.Of(p.violation)); p.violation == nil || diff != "" {
			t.Errorf("%s: violation is %v, want an internal error", name, p.violation)
		}
	}
}
