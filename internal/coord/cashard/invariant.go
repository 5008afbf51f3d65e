package cashard

import (
	"celeryarch.example/celeryarch/internal/base/cakind"
)

// verify asserts the invariants of the lead. A violation ends the right to
// act, as a stopped shard does less harm than one that is led twice.
func (p *primary) verify() error {
	if len(p.possible) == 0 {
		return cakind.New(cakind.KindInternal, "no view is possible")
	}
	shard := p.possible[0].Shard
	for i, v := range p.possible {
		if v.Primary != p.self || v.Shard != shard {
			return cakind.New(cakind.KindInternal, "view %d of shard %s belongs to %v", v.Number, v.Shard, v.Primary)
		}
		if i > 0 && v.Number <= p.possible[i-1].Number {
			return cakind.New(cakind.KindInternal, "shard %s: view %d follows view %d", shard, v.Number, p.possible[i-1].Number)
		}
	}
	if p.committed < p.log.base || p.committed > p.log.last() {
		return cakind.New(cakind.KindInternal, "shard %s: record %d took effect, the log holds %d to %d",
			shard, p.committed, p.log.base, p.log.last())
	}
	return p.verifyChange()
}

// verifyChange asserts that a view which is or may be registered does not let
// its backup take over beside the backup of an older one.
func (p *primary) verifyChange() error {
	c := p.change
	if c == nil || c.stage != stageExclude {
		return nil
	}
	if blockers := p.blockers(); len(blockers) > 0 {
		return cakind.New(cakind.KindInternal, "shard %s: view %d is registered while view %d may be in force",
			c.view.Shard, c.view.Number, blockers[0].Number)
	}
	return nil
}
