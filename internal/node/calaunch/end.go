package calaunch

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// lostView is the view that a shard which is lost for good is fenced with. No
// lead of it comes after.
const lostView = 1 << 62

// EndShard implements caquota.Ender. It stops what runs of a shard that nobody
// leads and reports whether every upstream of the zone told that nothing does.
func (l *Launcher) EndShard(ctx context.Context, s cawork.ShardID) bool {
	upstreams := l.Directory.ZoneUpstreams()
	answers := l.fenceAll(s, lostView, upstreams)
	ended := len(answers) == len(upstreams)
	for _, a := range answers {
		for _, t := range a.Tasks {
			if t.State == cawork.TaskStateRunning {
				ended = false
				l.ask(ctx, func() { l.stopAt(a.Upstream, t.Attempt, caplatform.StopModeStop) })
			}
		}
	}
	return ended
}
