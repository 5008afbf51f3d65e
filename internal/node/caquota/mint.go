package caquota

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/caactive"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
)

// MintEffectiveCall asks the leader of a minting shard whether it has applied a
// version of the configuration for a team and has no debt.
type MintEffectiveCall struct {
	Shard   cawork.ShardID
	Team    cawork.TeamName
	Version int64
}

// MintEffectiveReply answers a MintEffectiveCall.
type MintEffectiveReply struct {
	Settled bool
}

// mint sets the share of each limit that the zone mints. When a new division
// among the zones raises this share and lowers another one, the raise waits until
// the other zones have lowered theirs. Otherwise the sum would exceed the limit
// for a while, or for as long as a zone is partitioned.
func (p *Manager) mint(ctx context.Context, shard cawork.ShardID, view caactive.View) {
	version := int64(view.Version)
	allApplied := true
	for _, team := range view.Config.Teams() {
		target := caescrow.MintShare{Team: team.Name, Version: version, Amount: view.Config.ZoneAllowance(team.Name, p.Zone)}
		current := p.currentMint(shard, team.Name)
		if current.Version >= version && current.Amount == target.Amount {
			continue
		}
		mustWait := !target.Amount.Fits(current.Amount) && p.otherZoneMayExceed(team.Name, view.Config)
		next := caescrow.NextMint(current, target, mustWait, mustWait && p.isMintEffectiveElsewhere(ctx, team.Name, view))
		allApplied = allApplied && next.Amount == target.Amount
		if current.Version == next.Version && current.Amount == next.Amount {
			continue
		}
		if err := p.append(ctx, shard, cajob.Record{Type: cajob.RecordMintSet, MintSet: &next}); err != nil {
			return
		}
		caevent.Info(p.Logger, caevent.AllowanceMinted).Str("team", string(team.Name)).Str("shard", string(shard)).
			Int64("version", version).Str("amount", next.Amount.String()).Bool("waits", next.Amount != target.Amount).Send()
	}
	if allApplied {
		p.mintedConfig = view.Config
	}
}

// otherZoneMayExceed reports whether another zone may currently mint more of the
// limit than the next configuration gives it. It returns true if the previous
// configuration is unknown.
func (p *Manager) otherZoneMayExceed(team cawork.TeamName, next cacell.Config) bool {
	if p.mintedConfig.IsZero() {
		return true
	}
	for _, zone := range p.mintedConfig.ZoneNames() {
		if zone != p.Zone && !p.mintedConfig.ZoneAllowance(team, zone).Fits(next.ZoneAllowance(team, zone)) {
			return true
		}
	}
	return false
}

// isMintEffectiveElsewhere reports whether the minting shards of all other zones
// have applied the version and have no debt.
func (p *Manager) isMintEffectiveElsewhere(ctx context.Context, team cawork.TeamName, view caactive.View) bool {
	p.mu.Lock()
	claims := p.claims.All()
	p.mu.Unlock()
	for _, holder := range claims {
		if holder.Zone == p.Zone {
			continue
		}
		call := MintEffectiveCall{Shard: holder.Shard, Team: team, Version: int64(view.Version)}
		reply, err := p.callSettled(ctx, call)
		if err != nil || !reply.Settled {
			return false
		}
	}
	return true
}

func (p *Manager) callSettled(ctx context.Context, call MintEffectiveCall) (MintEffectiveReply, error) {
	return callLeader(ctx, p, call.Shard, call, p.HandleMintEffective, p.Peers.MintEffective)
}

// HandleMintEffective answers a MintEffectiveCall for a shard that is led here. A shard that
// has not minted yet counts as settled.
func (p *Manager) HandleMintEffective(_ context.Context, call MintEffectiveCall) (MintEffectiveReply, error) {
	var reply MintEffectiveReply
	found := p.readState(call.Shard, func(s *cajob.State) {
		b, ok := s.Account().Teams[call.Team]
		reply.Settled = !ok || b.Mint.Version == 0 || s.Account().IsMintEffective(call.Team, call.Version)
	})
	if !found {
		return reply, cakind.New(cakind.KindNotFound, "shard %s is not led here", call.Shard)
	}
	return reply, nil
}

func (p *Manager) currentMint(shard cawork.ShardID, team cawork.TeamName) caescrow.MintShare {
	var share caescrow.MintShare
	p.readState(shard, func(s *cajob.State) {
		if b, ok := s.Account().Teams[team]; ok {
			share = b.Mint
		}
	})
	return share
}
