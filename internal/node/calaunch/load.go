package calaunch

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Load is the load that the entry reports to other entries and to operators.
type Load struct {
	Capacity     cawork.Resources
	Free         cawork.Resources
	LargestHole  cawork.Resources
	QueuedTasks  int
	TeamUses     []casched.TeamUse
	OpenAttempts int
}

// Load returns the present load, or the zero value if the context or the
// launcher ends first.
func (l *Launcher) Load(ctx context.Context) Load {
	var load Load
	answered := l.runOnLoop(ctx, func() {
		load = Load{
			Capacity:     l.Scheduler.Capacity(),
			Free:         l.Scheduler.Free(),
			LargestHole:  l.Scheduler.LargestFree(cawork.Constraints{}),
			TeamUses:     append([]casched.TeamUse(nil), l.Scheduler.TeamUses()...),
			OpenAttempts: len(l.attempts),
			QueuedTasks:  l.queuedTasks(),
		}
	})
	if !answered {
		return Load{}
	}
	return load
}

// FenceAttempt ensures that an attempt on an upstream has ended and returns its
// final state.
func (l *Launcher) FenceAttempt(ctx context.Context, u cawork.UpstreamID, id cawork.AttemptID) (cawork.TaskState, error) {
	call := ControlCall{Upstream: u, Attempt: id, Mode: caplatform.StopModeStop}
	status, err := l.HandleControl(ctx, call)
	if err != nil && cakind.Of(err) == cakind.KindFenced {
		status, err = l.controlRemote(ctx, l.Directory.ZoneOwners(), call)
	}
	return status.State, err
}
