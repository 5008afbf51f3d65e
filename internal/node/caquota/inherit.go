package caquota

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
)

// ClosePartnerCall asks a shard to end its transfers with one that is permanently lost.
type ClosePartnerCall struct {
	Shard cawork.ShardID
	Lost  cawork.ShardID
}

// successionClaim returns a claim to the mint of the zone if the shard that holds
// it is permanently lost: no entry has a replica and the log does not contain it.
// The claim names the lost shards, and the log decides between concurrent claims.
func (p *Manager) successionClaim(ctx context.Context, holder caescrow.Claim) (caescrow.Claim, bool) {
	if _, led := p.Leaders.Leader(holder.Shard); led || !p.Leaders.HasLowestIDInZone() || !p.leads(p.ownShard()) {
		return caescrow.Claim{}, false
	}
	shards, err := p.allShards(ctx)
	if err != nil || slices.Contains(shards, holder.Shard) {
		return caescrow.Claim{}, false
	}
	lost := append(slices.Clone(holder.Lost), holder.Shard)
	return caescrow.Claim{Zone: p.Zone, Generation: holder.Generation + 1, Shard: p.ownShard(), Lost: lost}, true
}

// inherit takes over the allowance of the lost holders of the mint, after every
// other shard has ended its transfers with them and none of their attempts runs
// any more. It reports whether the holder may mint.
func (p *Manager) inherit(ctx context.Context, holder caescrow.Claim) bool {
	for _, lost := range holder.Lost {
		done := false
		p.readState(holder.Shard, func(s *cajob.State) { done = s.Account().HeirOf[lost] })
		if !done && !p.inheritFrom(ctx, holder.Shard, lost) {
			return false
		}
	}
	return true
}

func (p *Manager) inheritFrom(ctx context.Context, heir, lost cawork.ShardID) bool {
	shards, err := p.allShards(ctx)
	if err != nil || slices.Contains(shards, lost) || !p.Ender.StopLostShard(ctx, lost) {
		return false
	}
	inherited := cajob.Inherited{Lost: lost}
	for _, s := range shards {
		if s == heir {
			continue
		}
		closing, err := p.callClose(ctx, ClosePartnerCall{Shard: s, Lost: lost})
		if err != nil {
			return false
		}
		inherited.Closings = append(inherited.Closings, closing)
	}
	retired, err := p.Archive.RetiredTransferCounters(ctx, lost)
	if err != nil {
		return false
	}
	for _, d := range retired {
		inherited.Closings = append(inherited.Closings, d.ClosingBalance(lost))
	}
	err = p.append(ctx, heir, cajob.Record{Type: cajob.RecordInherited, Inherited: &inherited})
	caevent.Info(p.Logger, caevent.AllowanceInherited).Str("shard", string(heir)).Str("lost", string(lost)).
		Int("closings", len(inherited.Closings)).AnErr("error", err).Send()
	return err == nil
}

func (p *Manager) callClose(ctx context.Context, call ClosePartnerCall) (caescrow.ClosingBalance, error) {
	return callLeader(ctx, p, call.Shard, call, p.HandleClosePartner, p.Peers.ClosePartner)
}

// HandleClosePartner ends the transfers of a led shard with a lost one. It fails while a
// rebuilt shard is not settled, since records of received allowance may be missing
// until then.
func (p *Manager) HandleClosePartner(ctx context.Context, call ClosePartnerCall) (caescrow.ClosingBalance, error) {
	closed := cajob.PartnerClosed{Lost: call.Lost}
	rebuilding := false
	p.readState(call.Shard, func(s *cajob.State) { rebuilding = s.IsRebuilding() })
	if rebuilding {
		return caescrow.ClosingBalance{}, cakind.New(cakind.KindUnavailable, "rebuilt shard %s is not settled yet", call.Shard)
	}
	if err := p.append(ctx, call.Shard, cajob.Record{Type: cajob.RecordPartnerClosed, PartnerClosed: &closed}); err != nil {
		return caescrow.ClosingBalance{}, err
	}
	var closing caescrow.ClosingBalance
	if !p.readState(call.Shard, func(s *cajob.State) { closing = s.Account().ClosingBalanceWith(call.Lost) }) {
		return closing, cakind.New(cakind.KindNotFound, "shard %s is not led here", call.Shard)
	}
	return closing, nil
}

// fetchClaims applies the claims to mints that the other entries have read, for
// use when the log has dropped some.
func (p *Manager) fetchClaims(ctx context.Context) {
	for _, vm := range p.Leaders.RunningEntries() {
		held, err := p.Peers.HeldShards(ctx, vm)
		if err != nil {
			continue
		}
		p.mu.Lock()
		for _, c := range held.Claims {
			p.claims.Apply(c)
		}
		p.mu.Unlock()
	}
}
