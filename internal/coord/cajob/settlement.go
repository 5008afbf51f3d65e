package cajob

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// LostRefused refuses the transfers that a shard sent before it was rebuilt in
// the epoch and that have not arrived.
type LostRefused struct {
	Shard cawork.ShardID
	Epoch int64
}

// PartnerSettled is what another shard tells one that was rebuilt from the log
// and may lack what it gave to the other and got from it.
type PartnerSettled struct {
	Allowances caescrow.Dealings
	// Held are open jobs of the rebuilt shard that the other one holds.
	Held []cawork.JobID
	// Taken counts the jobs that the other shard took from the rebuilt one, Given
	// those that it gave to the rebuilt one and that were acknowledged.
	Taken int64
	Given int64
}

// SettlementFor returns what a rebuilt shard has to know of this one, after
// RecordLostRefused. Jobs are the open ones of the rebuilt shard.
func (s *State) SettlementFor(rebuilt cawork.ShardID, jobs []cawork.JobID) PartnerSettled {
	settled := PartnerSettled{
		Allowances: s.account.DealingsWith(rebuilt), Taken: s.handedFrom[rebuilt], Given: s.handedTo[rebuilt],
	}
	for _, id := range jobs {
		if j, ok := s.jobs[id]; ok && j.HandedTo == "" {
			settled.Held = append(settled.Held, id)
		}
	}
	for _, h := range s.Handovers() {
		if h.To == rebuilt {
			settled.Given = min(settled.Given, h.Accepted.Number-1)
		}
	}
	return settled
}

// partnerSettled folds what another shard told.
func (s *State) partnerSettled(r PartnerSettled, at time.Time) error {
	if err := s.account.Settle(r.Allowances); err != nil {
		return err
	}
	by := r.Allowances.By
	for _, id := range r.Held {
		if j, ok := s.jobs[id]; ok && j.IsOpen() && !j.HasOpenAttempt() {
			j.HandedTo, j.HandoverAcked = by, true
			s.open--
			s.keepEnded(j, at)
		}
	}
	s.handedTo[by] = max(s.handedTo[by], r.Taken)
	s.handedFrom[by] = max(s.handedFrom[by], r.Given)
	return nil
}
