package cashard

import (
	"celeryarch.example/celeryarch/internal/base/cakind"
)

// verify checks the invariants of the primary. After a violation the primary may
// not act, as a stopped shard does less harm than one with two primaries.
func (p *primary) verify() error {
	if len(p.possibleViews) == 0 {
		return cakind.New(cakind.KindInternal, "primary has no possible view")
	}
	shard := p.possibleViews[0].Shard
	for i, v := range p.possibleViews {
		if v.Primary != p.self || v.Shard != shard {
			return cakind.New(cakind.KindInternal, "view %d of shard %s belongs to %v", v.Number, v.Shard, v.Primary)
		}
		if i > 0 && v.Number <= p.possibleViews[i-1].Number {
			return cakind.New(cakind.KindInternal, "shard %s: view %d follows view %d", shard, v.Number, p.possibleViews[i-1].Number)
		}
	}
	if p.commitIndex < p.log.base || p.commitIndex > p.log.last() {
		return cakind.New(cakind.KindInternal, "shard %s: commit index %d is outside of the log, which holds %d to %d",
			shard, p.commitIndex, p.log.base, p.log.last())
	}
	return p.verifyChange()
}

// verifyChange checks that no older view with another backup may be in force once
// the view of the change is registered. Otherwise the backups of both views could
// take over.
func (p *primary) verifyChange() error {
	c := p.change
	if c == nil || c.stage != stageExclude {
		return nil
	}
	if conflicting := p.conflictingViews(); len(conflicting) > 0 {
		return cakind.New(cakind.KindInternal, "shard %s: view %d is registered while view %d may be in force",
			c.view.Shard, c.view.Number, conflicting[0].Number)
	}
	return nil
}
