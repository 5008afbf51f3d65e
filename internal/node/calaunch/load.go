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
	Capacity    cawork.Resources
	Free        cawork.Resources
	LargestHole cawork.Resources
	Queued      int
	Uses        []casched.TeamUse
	Open        int
}

// Load returns the present load, or the zero value if the context or the
// launcher ends first.
func (l *Launcher) Load(ctx context.Context) Load {
	var load Load
	answered := l.runOnLoop(ctx, func() {
		load = Load{
			Capacity:    l.Scheduler.Capacity(),
			Free:        l.Scheduler.Free(),
			LargestHole: l.Scheduler.LargestHole(cawork.Constraints{}),
			Uses:        append([]casched.TeamUse(nil), l.Scheduler.Uses()...),
			Open:        len(l.attempts),
			Queued:      l.queuedTasks(),
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
	call := ActCall{Upstream: u, Attempt: id, Mode: caplatform.StopModeStop}
	status, err := l.HandleAct(ctx, call)
	if err != nil && cakind.Of(err) == cakind.KindFenced {
		status, err = l.controlRemote(ctx, l.Directory.ZoneOwners(), call)
	}
	return status.State, err
}
