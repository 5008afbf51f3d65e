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

// crossingDelay is the round trip to another availability zone.
const crossingDelay = 3 * time.Millisecond

// authorizer checks keys and queues against the configuration in force.
type authorizer struct{ active *caactive.Active }

// AuthorizeKey implements caapi.Authorizer.
func (a authorizer) AuthorizeKey(key string) (cawork.TeamName, error) {
	principal, err := a.active.Authenticate(key)
	return principal.Team, err
}

// AuthorizeQueue implements caapi.Authorizer.
func (a authorizer) AuthorizeQueue(queue string, kind cawork.WorkKind) (cawork.TeamName, error) {
	return a.active.OpenQueue(cacell.QueueName(queue), kind)
}

// jobs shows the launcher to the API.
type jobs struct{ launcher *calaunch.Launcher }

// Submit implements caapi.Jobs.
func (j jobs) Submit(ctx context.Context, team cawork.TeamName, spec cawork.JobSpec, key string) (cawork.JobID, error) {
	return j.launcher.Submit(ctx, team, spec, key)
}

// Get implements caapi.Jobs.
func (j jobs) Get(ctx context.Context, id cawork.JobID) (caapi.JobAnswer, error) {
	view, err := j.launcher.Get(ctx, id)
	return jobAnswer(view), err
}

// Wait implements caapi.Jobs.
func (j jobs) Wait(ctx context.Context, id cawork.JobID) (caapi.JobAnswer, error) {
	view, err := j.launcher.Wait(ctx, id)
	return jobAnswer(view), err
}

// Cancel implements caapi.Jobs.
func (j jobs) Cancel(ctx context.Context, who caapi.Principal, id cawork.JobID) error {
	return j.launcher.Cancel(ctx, calaunch.CancelCall{Team: who.Team, Queue: who.Queue, Job: id})
}

func jobAnswer(v calaunch.JobView) caapi.JobAnswer {
	answer := caapi.JobAnswer{
		JobID: v.Job, Team: v.Team, Queue: v.Queue, Kind: v.Kind, Outcome: v.Outcome, Reason: v.Reason, Accepted: v.Accepted,
		Tasks: make([]caapi.TaskAnswer, 0, len(v.Tasks)),
	}
	for i, t := range v.Tasks {
		answer.Tasks = append(answer.Tasks, caapi.TaskAnswer{
			Index: i, Outcome: t.Outcome, Running: t.Running, Attempts: t.Attempts,
			Upstream: t.Upstream, Result: string(t.Result),
		})
	}
	return answer
}

// fencer ends the attempts of requests of dead entries.
type fencer struct{ launcher *calaunch.Launcher }

// FenceAttempt implements cadedupe.Fencer.
func (f fencer) FenceAttempt(ctx context.Context, u cawork.UpstreamID, id cawork.AttemptID) (cawork.TaskState, error) {
	return f.launcher.FenceAttempt(ctx, u, id)
}
