package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// longWaitLogInterval is the time between two scans for steps that wait long.
	longWaitLogInterval = 2 * time.Second
	// minLongWait is how long a ready step waits before it is logged.
	minLongWait = 2 * time.Second
	// maxLoggedWaits bounds the log lines of one scan.
	maxLoggedWaits = 12
)

// logLongWaits logs the state of steps with a ready task that has waited for long, in the
// order in which they are placed.
func (b *Planner) logLongWaits() {
	if b.now.Monotonic.Sub(b.longWaitsLoggedAt) < longWaitLogInterval {
		return
	}
	b.longWaitsLoggedAt = b.now.Monotonic
	b.logApprovalBacklog()
	logged, position := 0, 0
	for _, s := range b.steps {
		if !s.ready || s.waitingTasks == 0 || b.now.Monotonic.Sub(s.waitBegan()) < minLongWait {
			continue
		}
		position++
		if logged < maxLoggedWaits {
			logged++
			q, _ := b.queueOf(s.job)
			b.logLongWait(s, q, position)
		}
	}
}

func (b *Planner) logLongWait(s *step, q caspec.Queue, position int) {
	usable, permitted, fitting := 0, 0, 0
	freeShare, reservedShare := 0.0, 0.0
	var survey roomSurvey
	if p := b.pools[q.Pool]; p != nil {
		freeShare, reservedShare = float64(p.free.CPU)/float64(p.capacity), (p.reservedCPU+p.taskReservedCPU)/float64(p.capacity)
		for _, u := range b.usableUpstreams(s, q, p) {
			usable++
			if _, ok := b.mayPlace(s, q, u); ok {
				permitted++
				fitting += caroom.TasksIn(u.free(), s.spec)
			}
		}
		survey = b.surveyRoom(s, q, p)
	}
	caevent.Info(b.log, caevent.StepWaits).Str("job", string(s.job.Submission.ID)).Int("step", s.number).
		Str("queue", string(s.job.Submission.Queue)).Bool("listed", b.terms.IsListed(s.job.Submission.Queue)).Int64("listed_by", b.terms.QueueVersion(s.job.Submission.Queue)).Str("team", string(s.job.Submission.Team)).Int("position", position).
		Dur("since_ready", b.now.Monotonic.Sub(s.readyAt)).Dur("waits", b.now.Monotonic.Sub(s.waitBegan())).
		Int("lateness", s.lateness).Int("waiting", s.waitingTasks).
		Int("runs", s.liveRuns).Int("usable", usable).Int("permitted", permitted).Int("room", fitting).
		Bool("within_limit", b.withinLimit(s.job.Submission.Team, s.spec.Size())).Bool("asking", s.approvals.requestPending).
		Bool("held", s.hasReserved()).Bool("probation", s.job.onProbation).Bool("excess", s.job.OverRate).Float64("pool_free", freeShare).Float64("pool_held", reservedShare).
		Float64("pool_area", b.partitionOf(q.Pool).Share()).
		Int("with_room", survey.withRoom).Int("unasked", survey.undecided).Int("rejected", survey.rejected).Int("expired", survey.expired).
		Int("spread", survey.full).Int("kept", survey.reserved).Int("gang_area", survey.partition).
		Int("apart", survey.apart).Send()
}

// roomSurvey counts the upstreams with room for a task of a step, and of them those where it
// may not be placed, by the first cause that applies.
type roomSurvey struct {
	withRoom int
	// undecided upstreams were not asked about, rejected ones may not run the step, and for
	// expired ones there is no valid ticket.
	undecided, rejected, expired int
	// full upstreams run as many tasks of the step as they may, reserved ones are kept for
	// others, and partition counts those that are left to wide gangs.
	full, reserved, partition int
	// apart counts those that probation keeps the step from, whatever else applies to them.
	apart int
}

func (b *Planner) surveyRoom(s *step, q caspec.Queue, p *poolPlan) roomSurvey {
	var survey roomSurvey
	for _, u := range p.upstreams {
		if !u.info.HasLabel(s.spec.Label) || !s.spec.Size().Fits(u.free()) {
			continue
		}
		survey.withRoom++
		if !b.isApart(s, u) {
			survey.apart++
		}
		_, hasTicket := b.validTicket(s, u, b.now.Monotonic)
		switch {
		case q.Approval != nil && !s.approvals.isDecided(u):
			survey.undecided++
		case q.Approval != nil && !s.approvals.isApproved(u):
			survey.rejected++
		case s.spec.MaxPerUpstream > 0 && u.runCount(s) >= s.spec.MaxPerUpstream:
			survey.full++
		case !b.mayBackfill(s, u):
			survey.reserved++
		case !b.mayUsePartition(s, q, u):
			survey.partition++
		case q.Approval != nil && !hasTicket:
			survey.expired++
		}
	}
	return survey
}
