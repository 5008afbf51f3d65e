package caquota

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// askLeader calls the leader of a shard: here, or there at another entry. It
// fails with KindUnavailable when no entry is known to lead it.
func askLeader[Call, Reply any](
	ctx context.Context, p *Part, shard cawork.ShardID, call Call,
	here func(context.Context, Call) (Reply, error),
	there func(context.Context, cawork.VMID, Call) (Reply, error),
) (Reply, error) {
	if p.leads(shard) {
		return here(ctx, call)
	}
	leader, ok := p.Leaders.Leader(shard)
	if !ok {
		var none Reply
		return none, cakind.New(cakind.KindUnavailable, "no entry leads shard %s", shard)
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return there(ctx, leader, call)
}
