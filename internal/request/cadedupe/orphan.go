package cadedupe

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// strangerPatience is the age from which the request of an entry that was
// never a member counts as abandoned.
const strangerPatience = 30 * time.Second

// settleDead settles the requests whose executor is gone.
func (s *Service) settleDead(ctx context.Context) {
	for _, r := range s.orphans() {
		settled, ok := s.fence(ctx, r)
		if !ok {
			continue
		}
		// The other holder learns first. Otherwise an executor that was only
		// paused could still intend an attempt there.
		if held, err := s.replicate(ctx, settled); err != nil || held.Claim != r.Claim {
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

// orphans returns open records that this entry keeps and whose executor is
// gone.
func (s *Service) orphans() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	all := s.table.Select(now, func(r Record) bool {
		return !r.Settled() && !slices.Contains(s.members, r.Executor) && holders(s.members, r.Key)[0] == s.config.Self.ID
	})
	// An executor that was never a member may be about to become one.
	all = slices.DeleteFunc(all, func(r Record) bool {
		_, gone := s.gone[r.Executor]
		return !gone && s.config.Bounds.MaxOpen-r.Remaining < strangerPatience
	})
	return all[:min(len(all), repairBatch)]
}

// fence returns the settled record of a request whose executor is gone. It
// reports false when the outcome cannot be told yet.
func (s *Service) fence(ctx context.Context, r Record) (Record, bool) {
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
