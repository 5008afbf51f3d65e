package cadedupe

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// unknownExecutorGrace is the age from which the request of an executor that was
// never a member counts as orphaned.
const unknownExecutorGrace = 30 * time.Second

// settleOrphans settles the requests whose executor is not a member.
func (s *Service) settleOrphans(ctx context.Context) {
	for _, r := range s.orphans() {
		settled, ok := s.resolveOrphan(ctx, r)
		if !ok {
			continue
		}
		// The other replica is updated first. Otherwise an executor that was only
		// paused could still record an attempt there.
		if stored, err := s.replicate(ctx, settled); err != nil || stored.Claim != r.Claim {
			continue
		}
		_, _ = s.update(r.Key, r.Claim, func(Record) Record { return settled })
		caevent.Info(s.config.Logger, caevent.RequestAnswered).
			Str("team", string(r.Key.Team)).
			Str("executor", string(r.Executor.ID)).
			Str("attempt", string(r.Attempt)).
			Str("outcome", settled.Outcome.String()).
			Send()
	}
}

// orphans returns unsettled records whose primary is this entry and whose
// executor is not a member.
func (s *Service) orphans() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	orphaned := s.table.Select(now, func(r Record) bool {
		return !r.Settled() && !slices.Contains(s.members, r.Executor) && chooseReplicas(s.members, r.Key)[0] == s.config.Self.ID
	})
	// An executor that was never a member may be about to join.
	orphaned = slices.DeleteFunc(orphaned, func(r Record) bool {
		_, former := s.formerMembers[r.Executor]
		return !former && s.config.Bounds.UnsettledTimeout-r.Remaining < unknownExecutorGrace
	})
	return orphaned[:min(len(orphaned), maxRecordsPerTick)]
}

// resolveOrphan returns the settled record of an orphaned request. It reports
// false while the outcome cannot be determined.
func (s *Service) resolveOrphan(ctx context.Context, r Record) (Record, bool) {
	switch {
	case r.Idempotent:
		return r.WithOutcome(cawork.OutcomeUnknown, StoredAnswer{}), true
	case r.Attempt == "":
		return r.WithOutcome(cawork.OutcomeNotRun, StoredAnswer{}), true
	case s.config.Fencer == nil:
		return r, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := s.config.Fencer.FenceAttempt(ctx, r.Upstream, r.Attempt)
	if err != nil {
		return r, false
	}
	switch state {
	case cawork.TaskStateFenced:
		return r.WithOutcome(cawork.OutcomeNotRun, StoredAnswer{}), true
	case cawork.TaskStateDone:
		return r.WithOutcome(cawork.OutcomeDone, StoredAnswer{Dropped: true}), true
	case cawork.TaskStateAbsent, cawork.TaskStateRunning:
		return r, false
	default:
		return r.WithOutcome(cawork.OutcomeFailed, StoredAnswer{Dropped: true}), true
	}
}
