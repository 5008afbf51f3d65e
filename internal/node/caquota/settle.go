package caquota

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
)

// SettleCall asks a shard for the changes that a shard rebuilt from the log may
// lack.
type SettleCall struct {
	Shard   cawork.ShardID
	Rebuilt cawork.ShardID
	Epoch   int64
	// Jobs are the open jobs of the rebuilt shard.
	Jobs []cawork.JobID
}

// ShardLog reads the shards in the log.
type ShardLog interface {
	// LoggedShards returns the shards that are not retired, and the retired ones,
	// which never have a leader again.
	LoggedShards(ctx context.Context) (kept, retired []cawork.ShardID, err error)
	// RetiredTransferCounters returns the counters of the transfers between a shard
	// and each retired shard.
	RetiredTransferCounters(ctx context.Context, with cawork.ShardID) ([]caescrow.TransferCounters, error)
}

// settleRebuilt settles the led shards that were rebuilt from the log with all
// other shards. Records missing from the log may have sent allowance or handed
// over jobs, which the rebuilt shard must not use again.
func (p *Manager) settleRebuilt(ctx context.Context) {
	for _, shard := range p.ledShards() {
		needsSettlement := false
		p.readState(shard, func(s *cajob.State) { needsSettlement = s.NeedsSettlement() })
		if needsSettlement {
			p.settleShard(ctx, shard)
		}
	}
}

func (p *Manager) settleShard(ctx context.Context, shard cawork.ShardID) {
	others, err := p.allShards(ctx)
	if err != nil {
		return
	}
	for _, other := range others {
		if other != shard && !p.settleWith(ctx, shard, other) {
			return
		}
	}
	if p.settleRetired(ctx, shard) {
		_ = p.append(ctx, shard, cajob.Record{Type: cajob.RecordThawed, Thawed: &cajob.Thawed{}})
	}
}

// allShards returns the shards that any entry holds or the log contains, without
// the retired ones: an entry that missed the retirement of a shard may keep its
// replica forever. It fails unless every entry that may be running has answered.
func (p *Manager) allShards(ctx context.Context) ([]cawork.ShardID, error) {
	shards, retired, err := p.Archive.LoggedShards(ctx)
	if err != nil {
		return nil, err
	}
	for _, vm := range p.Leaders.RunningEntries() {
		held, err := p.Peers.HeldShards(ctx, vm)
		if err != nil {
			return nil, err
		}
		shards = append(shards, held.Shards...)
	}
	held, _ := p.HandleHeldShards(ctx, struct{}{})
	shards = append(shards, held.Shards...)
	shards = slices.DeleteFunc(shards, func(s cawork.ShardID) bool { return slices.Contains(retired, s) })
	slices.Sort(shards)
	return slices.Compact(shards), nil
}

// HeldShardsReply lists the shards that an entry leads or backs up, and the claims to
// mints that it has read.
type HeldShardsReply struct {
	Shards []cawork.ShardID
	Claims []caescrow.Claim
}

// HandleHeldShards returns the shards and claims of this entry to another one.
func (p *Manager) HandleHeldShards(context.Context, struct{}) (HeldShardsReply, error) {
	var reply HeldShardsReply
	for _, s := range p.Shards.Statuses() {
		reply.Shards = append(reply.Shards, s.Shard)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reply.Claims = p.claims.All()
	return reply, nil
}

// settleWith settles a rebuilt shard with another one, unless already done. It
// reports whether the two are settled.
func (p *Manager) settleWith(ctx context.Context, shard, other cawork.ShardID) bool {
	call := SettleCall{Shard: other, Rebuilt: shard}
	done := false
	p.readState(shard, func(s *cajob.State) {
		done = s.Account().Settled[other]
		call.Epoch = s.Account().Epoch
		for _, j := range s.OpenJobs() {
			call.Jobs = append(call.Jobs, j.Job.ID)
		}
	})
	if done {
		return true
	}
	settled, err := p.callSettle(ctx, call)
	if err != nil {
		return false
	}
	return p.append(ctx, shard, cajob.Record{Type: cajob.RecordPartnerSettled, PartnerSettled: &settled}) == nil
}

func (p *Manager) callSettle(ctx context.Context, call SettleCall) (cajob.PartnerSettled, error) {
	return callLeader(ctx, p, call.Shard, call, p.HandleSettle, p.Peers.Settle)
}

// HandleSettle makes a led shard refuse the earlier transfers of a rebuilt shard
// and returns the changes that the rebuilt shard may lack.
func (p *Manager) HandleSettle(ctx context.Context, call SettleCall) (cajob.PartnerSettled, error) {
	refused := cajob.LostRefused{Shard: call.Rebuilt, Epoch: call.Epoch}
	if err := p.append(ctx, call.Shard, cajob.Record{Type: cajob.RecordLostRefused, LostRefused: &refused}); err != nil {
		return cajob.PartnerSettled{}, err
	}
	var settled cajob.PartnerSettled
	if !p.readState(call.Shard, func(s *cajob.State) { settled = s.SettlementFor(call.Rebuilt, call.Jobs) }) {
		return settled, cakind.New(cakind.KindNotFound, "shard %s is not led here", call.Shard)
	}
	return settled, nil
}

// settleRetired settles a rebuilt shard with the retired shards.
func (p *Manager) settleRetired(ctx context.Context, shard cawork.ShardID) bool {
	dealings, err := p.Archive.RetiredTransferCounters(ctx, shard)
	if err != nil {
		return false
	}
	for _, d := range dealings {
		p.readState(shard, func(s *cajob.State) { d.Epoch = s.Account().Epoch })
		settled := cajob.PartnerSettled{Allowances: d}
		if p.append(ctx, shard, cajob.Record{Type: cajob.RecordPartnerSettled, PartnerSettled: &settled}) != nil {
			return false
		}
	}
	return true
}
