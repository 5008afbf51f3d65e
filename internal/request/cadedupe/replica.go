package cadedupe

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// replicate sends the record to the other holders. It returns the record that
// differs from it, if any of them holds another, and fails unless all answer.
func (s *Service) replicate(ctx context.Context, r Record) (Record, error) {
	for _, id := range s.others(r.Key) {
		held, err := s.sendReplica(ctx, id, r)
		if err != nil {
			return Record{}, cakind.Wrap(cakind.KindUnavailable, err, "replicate to %s", id)
		}
		if held.Claim != r.Claim || held.newerThan(r) {
			return held, nil
		}
	}
	return r, nil
}

func (s *Service) sendReplica(ctx context.Context, id cawork.VMID, r Record) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Peers.Replicate(ctx, id, r)
}

// repair sends the dirty records to their holders again, and forgets those
// that this entry need not hold any more.
func (s *Service) repair(ctx context.Context) {
	for _, r := range s.dirtyRecords() {
		held, err := s.replicate(ctx, r)
		if err != nil {
			return
		}
		s.repaired(r, held)
	}
}

func (s *Service) repaired(r, held Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dirty, r.Key)
	s.table.Merge(s.now(), held)
	if !slices.Contains(holders(s.members, r.Key), s.config.Self.ID) {
		s.table.Forget(r.Key)
	}
}

func (s *Service) dirtyRecords() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Record
	for k := range s.dirty {
		r, ok := s.table.Get(s.now(), k)
		if !ok {
			delete(s.dirty, k)
			continue
		}
		all = append(all, r)
		if len(all) == repairBatch {
			break
		}
	}
	return all
}

func (s *Service) markDirty(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dirty[k] = struct{}{}
}
