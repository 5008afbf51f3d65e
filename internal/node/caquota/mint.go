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

// SettledCall asks the leader of a minting shard whether it has applied a
// version of the configuration for a team and owes nothing.
type SettledCall struct {
	Shard   cawork.ShardID
	Team    cawork.TeamName
	Version int64
}

// SettledReply answers a SettledCall.
type SettledReply struct {
	Settled bool
}

// mint sets the part of each limit that the zone mints. Where a new division
// among the zones lets this zone rise and another fall, the rise waits until
// the others have fallen: else the sum would pass the limit for a while, or
// for as long as a zone is cut off.
func (p *Part) mint(ctx context.Context, shard cawork.ShardID, view caactive.View) {
	version := int64(view.Version)
	complete := true
	for _, team := range view.Config.Teams() {
		wanted := caescrow.MintShare{Team: team.Name, Version: version, Amount: view.Config.Mint(team.Name, p.Zone)}
		current := p.mintOf(shard, team.Name)
		if current.Version >= version && current.Amount == wanted.Amount {
			continue
		}
		changed := !wanted.Amount.Fits(current.Amount) && p.othersMayFall(team.Name, view.Config)
		next := caescrow.NextMint(current, wanted, changed, changed && p.settledElsewhere(ctx, team.Name, view))
		complete = complete && next.Amount == wanted.Amount
		if current.Version == next.Version && current.Amount == next.Amount {
			continue
		}
		if err := p.append(ctx, shard, cajob.Record{Type: cajob.RecordMintSet, MintSet: &next}); err != nil {
			return
		}
		caevent.Info(p.Logger, caevent.AllowanceMinted).Str("team", string(team.Name)).Str("shard", string(shard)).
			Int64("version", version).Str("amount", next.Amount.String()).Bool("waits", next.Amount != wanted.Amount).Send()
	}
	if complete {
		p.applied = view.Config
	}
}

// othersMayFall reports whether another zone may mint more of the limit now
// than the configuration gives it. What this entry has not seen may be so.
func (p *Part) othersMayFall(team cawork.TeamName, next cacell.Config) bool {
	if p.applied.IsZero() {
		return true
	}
	for _, zone := range p.applied.ZoneNames() {
		if zone != p.Zone && !p.applied.Mint(team, zone).Fits(next.Mint(team, zone)) {
			return true
		}
	}
	return false
}

// settledElsewhere reports whether all other minting shards have applied the
// version and owe nothing.
func (p *Part) settledElsewhere(ctx context.Context, team cawork.TeamName, view caactive.View) bool {
	p.mu.Lock()
	claims := p.claims.All()
	p.mu.Unlock()
	for _, holder := range claims {
		if holder.Zone == p.Zone {
			continue
		}
		call := SettledCall{Shard: holder.Shard, Team: team, Version: int64(view.Version)}
		reply, err := p.askSettled(ctx, call)
		if err != nil || !reply.Settled {
			return false
		}
	}
	return true
}

func (p *Part) askSettled(ctx context.Context, call SettledCall) (SettledReply, error) {
	return askLeader(ctx, p, call.Shard, call, p.HandleSettled, p.Peers.Settled)
}

// HandleSettled answers for a shard that is led here. A shard that has minted
// nothing yet is settled.
func (p *Part) HandleSettled(_ context.Context, call SettledCall) (SettledReply, error) {
	var reply SettledReply
	found := p.readState(call.Shard, func(s *cajob.State) {
		b, ok := s.Account().Teams[call.Team]
		reply.Settled = !ok || b.Mint.Version == 0 || s.Account().IsMintSettled(call.Team, call.Version)
	})
	if !found {
		return reply, cakind.New(cakind.KindNotFound, "shard %s is not led here", call.Shard)
	}
	return reply, nil
}

func (p *Part) mintOf(shard cawork.ShardID, team cawork.TeamName) caescrow.MintShare {
	var share caescrow.MintShare
	p.readState(shard, func(s *cajob.State) {
		if b, ok := s.Account().Teams[team]; ok {
			share = b.Mint
		}
	})
	return share
}
