package calaunch

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// lostShardView is the view with which a permanently lost shard is fenced. It
// is higher than the view of any leader.
const lostShardView = 1 << 62

// StopLostShard implements caquota.AttemptStopper. It stops the running attempts of a shard
// without a leader and reports whether every upstream of the zone confirmed
// that none is running.
func (l *Launcher) StopLostShard(ctx context.Context, s cawork.ShardID) bool {
	upstreams := l.Directory.ZoneUpstreams()
	answers := l.fenceAll(s, lostShardView, upstreams)
	ended := len(answers) == len(upstreams)
	for _, a := range answers {
		for _, t := range a.Tasks {
			if t.State == cawork.TaskStateRunning {
				ended = false
				l.runOnLoop(ctx, func() { l.stopByID(a.Upstream, t.Attempt, caplatform.StopModeStop) })
			}
		}
	}
	return ended
}
