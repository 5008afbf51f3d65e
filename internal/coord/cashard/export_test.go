package cashard

import (
	"fmt"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// SetBeforeStep sets a function that is called before each step of a replica.
func (p *ReplicaManager) SetBeforeStep(beforeStep func()) { p.beforeStep = beforeStep }

// DescribePrimary returns the state of the primary of a shard for the message of a
// failed test.
func (p *ReplicaManager) DescribePrimary(s cawork.ShardID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[s]
	if !ok || r.primary == nil {
		return ""
	}
	out := fmt.Sprintf("possible %+v settled %d change %+v", r.primary.possibleViews, r.primary.settledView.Number, r.primary.change)
	for u, reg := range r.primary.registers {
		out += fmt.Sprintf("\n    %s %+v", u, *reg)
	}
	for m, q := range r.primary.peers {
		out += fmt.Sprintf("\n    %v %+v", m, *q)
	}
	return out
}
