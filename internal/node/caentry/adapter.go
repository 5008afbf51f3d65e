package caentry

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/caactive"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/node/caapi"
	"celeryarch.example/celeryarch/internal/node/calaunch"
)

// crossZoneRTT is the round-trip time to another availability zone.
const crossZoneRTT = 3 * time.Millisecond

// authorizer checks API keys and queues against the active configuration.
type authorizer struct{ activeConfig *caactive.Tracker }

// AuthorizeKey implements caapi.Authorizer.
func (a authorizer) AuthorizeKey(key string) (cawork.TeamName, error) {
	principal, err := a.activeConfig.Authenticate(key)
	return principal.Team, err
}

// AuthorizeQueue implements caapi.Authorizer.
func (a authorizer) AuthorizeQueue(queue string, kind cawork.WorkKind) (cawork.TeamName, error) {
	return a.activeConfig.AuthorizeQueue(cacell.QueueName(queue), kind)
}

// jobs adapts the launcher to caapi.Jobs.
type jobs struct{ launcher *calaunch.Launcher }

// Submit implements caapi.Jobs.
func (j jobs) Submit(ctx context.Context, team cawork.TeamName, spec cawork.JobSpec, key string) (cawork.JobID, error) {
	return j.launcher.Submit(ctx, team, spec, key)
}

// Get implements caapi.Jobs.
func (j jobs) Get(ctx context.Context, id cawork.JobID) (caapi.JobStatus, error) {
	view, err := j.launcher.Get(ctx, id)
	return newJobAnswer(view), err
}

// Wait implements caapi.Jobs.
func (j jobs) Wait(ctx context.Context, id cawork.JobID) (caapi.JobStatus, error) {
	view, err := j.launcher.Wait(ctx, id)
	return newJobAnswer(view), err
}

// Cancel implements caapi.Jobs.
func (j jobs) Cancel(ctx context.Context, who caapi.Principal, id cawork.JobID) error {
	return j.launcher.Cancel(ctx, calaunch.CancelCall{Team: who.Team, Queue: who.Queue, Job: id})
}

func newJobAnswer(v calaunch.JobView) caapi.JobStatus {
	answer := caapi.JobStatus{
		JobID: v.Job, Team: v.Team, Queue: v.Queue, Kind: v.Kind, Outcome: v.Outcome, Reason: v.Reason, Accepted: v.Accepted,
		Tasks: make([]caapi.TaskStatus, 0, len(v.Tasks)),
	}
	for i, t := range v.Tasks {
		answer.Tasks = append(answer.Tasks, caapi.TaskStatus{
			Index: i, Outcome: t.Outcome, Running: t.Running, Attempts: t.Attempts,
			Upstream: t.Upstream, Result: string(t.Result),
		})
	}
	return answer
}

// fencer fences attempts of requests whose entry is dead.
type fencer struct{ launcher *calaunch.Launcher }

// FenceAttempt implements cadedupe.Fencer.
func (f fencer) FenceAttempt(ctx context.Context, u cawork.UpstreamID, id cawork.AttemptID) (cawork.TaskState, error) {
	return f.launcher.FenceAttempt(ctx, u, id)
}
