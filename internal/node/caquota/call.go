package caquota

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// callLeader calls the leader of a shard, locally if this entry leads it. It fails
// with KindUnavailable when no entry is known to lead the shard.
func callLeader[Call, Reply any](
	ctx context.Context, p *Manager, shard cawork.ShardID, call Call,
	local func(context.Context, Call) (Reply, error),
	remote func(context.Context, cawork.VMID, Call) (Reply, error),
) (Reply, error) {
	if p.leads(shard) {
		return local(ctx, call)
	}
	leader, ok := p.Leaders.Leader(shard)
	if !ok {
		var none Reply
		return none, cakind.New(cakind.KindUnavailable, "no entry leads shard %s", shard)
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return remote(ctx, leader, call)
}
