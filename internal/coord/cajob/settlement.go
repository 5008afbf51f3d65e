package cajob

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// LostRefused refuses the transfers that Shard sent before it was rebuilt in
// Epoch and that have not arrived.
type LostRefused struct {
	Shard cawork.ShardID
	Epoch int64
}

// PartnerSettled is the settlement that another shard sends to one that was
// rebuilt from the log. The rebuilt shard may lack records of what it sent to
// and received from the other one.
type PartnerSettled struct {
	Allowances caescrow.TransferCounters
	// Held lists jobs that are open in the rebuilt shard, but belong to the other
	// one.
	Held []cawork.JobID
	// Taken counts the handovers from the rebuilt shard that the other shard has
	// accepted. Given counts those to the rebuilt shard that were acknowledged.
	Taken int64
	Given int64
}

// SettlementFor returns the settlement of this shard for a rebuilt one. It may
// be called only after RecordLostRefused was applied. The jobs are those that
// are open in the rebuilt shard.
func (s *State) SettlementFor(rebuilt cawork.ShardID, jobs []cawork.JobID) PartnerSettled {
	settlement := PartnerSettled{
		Allowances: s.account.TransferCountersWith(rebuilt), Taken: s.handedFrom[rebuilt], Given: s.handedTo[rebuilt],
	}
	for _, id := range jobs {
		if j, ok := s.jobs[id]; ok && j.HandedTo == "" {
			settlement.Held = append(settlement.Held, id)
		}
	}
	for _, h := range s.Handovers() {
		if h.To == rebuilt {
			settlement.Given = min(settlement.Given, h.Accepted.Number-1)
		}
	}
	return settlement
}

// applyPartnerSettled merges the settlement of another shard into this rebuilt
// one.
func (s *State) applyPartnerSettled(r PartnerSettled, at time.Time) error {
	if err := s.account.Settle(r.Allowances); err != nil {
		return err
	}
	partner := r.Allowances.By
	for _, id := range r.Held {
		if j, ok := s.jobs[id]; ok && j.IsOpen() && !j.HasOpenAttempt() {
			j.HandedTo, j.HandoverAcked = partner, true
			s.openCount--
			s.retainEnded(j, at)
		}
	}
	s.handedTo[partner] = max(s.handedTo[partner], r.Taken)
	s.handedFrom[partner] = max(s.handedFrom[partner], r.Given)
	return nil
}
