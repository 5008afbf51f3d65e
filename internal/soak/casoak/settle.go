package casoak

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/platform"
)

const (
	// settleTimeout bounds the time until the phases of all jobs agree with their
	// outcomes, once all faults have ended.
	settleTimeout = 40 * time.Second
	// settlePollInterval is the time between two checks of the remaining jobs.
	settlePollInterval = 500 * time.Millisecond
)

// settle ends all faults, waits until the phases of all jobs agree with the
// outcomes reported to callers, and records the jobs where they do not. It returns the
// number of jobs without a deadly task that were given up.
func (c *cell) settle(ctx context.Context, l *outcomeLog) (givenUp int) {
	c.endFaults(l)
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	caller := c.newCaller(teamKey)
	unmatched := l.snapshot()
	for {
		for id, o := range unmatched {
			mismatch, phase := c.outcomeMismatch(ctx, caller, id, o)
			if mismatch != "" {
				continue
			}
			delete(unmatched, id)
			if phase == castate.PhaseFailed && !c.load.isDeadly(id) {
				givenUp++
			}
		}
		if len(unmatched) == 0 || c.timer.Pause(ctx, settlePollInterval) != nil {
			break
		}
	}
	ids := make([]cawork.JobID, 0, len(unmatched))
	for id := range unmatched {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		mismatch, _ := c.outcomeMismatch(context.WithoutCancel(ctx), caller, id, unmatched[id])
		l.recordViolation("job %s %s", id, mismatch)
	}
	return givenUp
}

// outcomeMismatch asks the nodes in turn for the phase of a job. It describes how
// the phase contradicts the outcome, or returns an empty string and the phase if they
// agree.
func (c *cell) outcomeMismatch(ctx context.Context, caller *platform.Caller, id cawork.JobID, o outcome) (string, castate.Phase) {
	for _, n := range c.nodes {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer := caller.Phase(callCtx, n.address(portFront), queueSpec(), id)
		cancel()
		if !answer.IsAccepted() && !answer.IsGone() {
			continue
		}
		if c.load.isDeadly(id) {
			return o.deadlyMismatch(answer.Phase, !answer.IsGone(), c.crashesOf(id)), answer.Phase
		}
		return o.mismatch(answer.Phase, !answer.IsGone(), c.crashesOf(id)), answer.Phase
	}
	return "is not reported by any node", castate.PhaseQueued
}
