package cadedupe

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// replicate sends the record to the other replicas. It returns the first record
// of another claim or of a newer state that a replica answers with, otherwise r.
// It fails when a replica does not answer.
func (s *Service) replicate(ctx context.Context, r Record) (Record, error) {
	for _, id := range s.otherReplicas(r.Key) {
		stored, err := s.sendRecord(ctx, id, r)
		if err != nil {
			return Record{}, cakind.Wrap(cakind.KindUnavailable, err, "replicate to %s", id)
		}
		if stored.Claim != r.Claim || stored.newerThan(r) {
			return stored, nil
		}
	}
	return r, nil
}

func (s *Service) sendRecord(ctx context.Context, id cawork.VMID, r Record) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Peers.Replicate(ctx, id, r)
}

// repair sends the dirty records to their replicas, and removes those of which
// this entry is no longer a replica.
func (s *Service) repair(ctx context.Context) {
	for _, r := range s.dirtyRecords() {
		stored, err := s.replicate(ctx, r)
		if err != nil {
			return
		}
		s.finishRepair(r, stored)
	}
}

func (s *Service) finishRepair(r, stored Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dirty, r.Key)
	s.table.Merge(s.now(), stored)
	if !slices.Contains(chooseReplicas(s.members, r.Key), s.config.Self.ID) {
		s.table.Delete(r.Key)
	}
}

func (s *Service) dirtyRecords() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []Record
	for k := range s.dirty {
		r, ok := s.table.Get(s.now(), k)
		if !ok {
			delete(s.dirty, k)
			continue
		}
		records = append(records, r)
		if len(records) == maxRecordsPerTick {
			break
		}
	}
	return records
}

func (s *Service) markDirty(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dirty[k] = struct{}{}
}
