package cadedupe

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// callTimeout bounds a call to another entry.
	callTimeout = 500 * time.Millisecond
	// longPollTimeout bounds how long a primary delays its answer to a
	// duplicate submission while the first one is in progress.
	longPollTimeout = 2 * time.Second
	tickPeriod      = 500 * time.Millisecond
	// maxRecordsPerTick bounds the dirty records that one tick replicates, and
	// the orphaned ones that it settles.
	maxRecordsPerTick = 256
	// maxFormerMembers bounds the set of former members. A larger set is
	// cleared at the next change of the members.
	maxFormerMembers = 1024
)

// Config holds the dependencies and the limits of a Service.
type Config struct {
	Self   Member
	Timer  *catimer.Service
	Logger zerolog.Logger
	Peers  Peers
	// Fencer ends the attempts of dead entries. Without one, the records of
	// such attempts stay unsettled for Bounds.UnsettledTimeout.
	Fencer Fencer
	Bounds Bounds
}

// Service stores records of idempotency keys for the zone, and claims keys for
// the requests that its own entry receives.
type Service struct {
	config Config
	done   chan struct{}
	// deliveries counts the outcomes whose delivery to a replica is in progress.
	deliveries sync.WaitGroup

	mu      sync.Mutex
	table   *Table
	members []Member
	// formerMembers holds entries that are no longer members.
	formerMembers map[Member]struct{}
	// dirty holds the keys whose record may be missing at another replica.
	dirty map[Key]struct{}
}

// New returns a service whose own entry is the only member.
func New(c Config) *Service {
	return &Service{
		config:        c,
		done:          make(chan struct{}),
		table:         NewTable(c.Bounds),
		members:       []Member{c.Self},
		formerMembers: map[Member]struct{}{},
		dirty:         map[Key]struct{}{},
	}
}

// SetMembers replaces the live entries of the zone. Later ticks send the records
// whose replicas changed to the new replicas, and settle the requests of former
// members.
func (s *Service) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.members
	s.members = append([]Member{s.config.Self}, membersExcept(members, s.config.Self.ID)...)
	slices.SortFunc(s.members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if slices.Equal(previous, s.members) {
		return
	}
	if len(s.formerMembers) > maxFormerMembers {
		clear(s.formerMembers)
	}
	for _, m := range previous {
		if !slices.Contains(s.members, m) {
			s.formerMembers[m] = struct{}{}
		}
	}
	moved := s.table.Select(s.now(), func(r Record) bool {
		return !slices.Equal(chooseReplicas(previous, r.Key), chooseReplicas(s.members, r.Key))
	})
	for _, r := range moved {
		s.dirty[r.Key] = struct{}{}
	}
}

// Run replicates dirty records, settles the requests of dead entries and
// removes expired records until the context ends.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.done)
	s.config.Timer.Repeat(ctx, tickPeriod, s.Tick)
	return nil
}

// Done returns a channel that is closed when Run has ended.
func (s *Service) Done() <-chan struct{} { return s.done }

// Tick runs one round of the periodic work of Run.
func (s *Service) Tick(ctx context.Context) {
	s.mu.Lock()
	s.table.Expire(s.now())
	s.mu.Unlock()
	s.settleOrphans(ctx)
	s.repair(ctx)
}

// HandleClaim serves Peers.Claim.
func (s *Service) HandleClaim(ctx context.Context, req ClaimRequest) (Record, error) {
	r, err := s.claimAndReplicate(ctx, req.Claim)
	if err != nil || !req.Wait || r.Settled() || r.Claim == req.Claim.Claim {
		return r, err
	}
	return s.awaitChange(ctx, r), nil
}

// HandleRecordAttempt serves Peers.RecordAttempt.
func (s *Service) HandleRecordAttempt(ctx context.Context, req RecordAttemptRequest) error {
	r, err := s.update(req.Key, req.Claim, func(r Record) Record { return r.WithAttempt(req.Attempt, req.Upstream) })
	if err != nil {
		return err
	}
	stored, err := s.replicate(ctx, r)
	if err != nil {
		return err
	}
	if stored.Claim != req.Claim || stored.Settled() {
		return cakind.New(cakind.KindFenced, "the claim of the idempotency key has ended")
	}
	return nil
}

// HandleSettle serves Peers.Settle.
func (s *Service) HandleSettle(ctx context.Context, req SettleRequest) error {
	r, err := s.update(req.Key, req.Claim, func(r Record) Record { return r.WithOutcome(req.Outcome, req.Answer) })
	if err != nil {
		return err
	}
	if _, err := s.replicate(ctx, r); err != nil {
		s.markDirty(req.Key)
	}
	return nil
}

// HandleReplicate serves Peers.Replicate.
func (s *Service) HandleReplicate(_ context.Context, r Record) (Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Merge(s.now(), r), nil
}

// claimAndReplicate stores a claim at this entry and at the other replica. The
// claim takes effect only after both have accepted it.
func (s *Service) claimAndReplicate(ctx context.Context, proposed Record) (Record, error) {
	s.mu.Lock()
	r, err := s.table.Claim(s.now(), proposed)
	s.mu.Unlock()
	if err != nil || r.Claim != proposed.Claim {
		return r, err
	}
	stored, err := s.replicate(ctx, r)
	if err != nil {
		s.abortClaim(proposed)
		return Record{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored.Claim != proposed.Claim {
		s.table.Adopt(s.now(), stored)
		return stored, nil
	}
	if !s.table.Confirm(proposed.Key, proposed.Claim) {
		current, _ := s.table.Get(s.now(), proposed.Key)
		return current, nil
	}
	return r, nil
}

// abortClaim settles a claim that not every replica accepted. The outcome is
// not run, because the claimant gets an error and does not execute the request.
func (s *Service) abortClaim(proposed Record) {
	_, err := s.update(proposed.Key, proposed.Claim, func(r Record) Record {
		return r.WithOutcome(cawork.OutcomeNotRun, StoredAnswer{})
	})
	if err == nil {
		s.markDirty(proposed.Key)
	}
}

// awaitChange waits for a change of the record, at most for longPollTimeout, and
// returns the current record.
func (s *Service) awaitChange(ctx context.Context, r Record) Record {
	s.mu.Lock()
	changed := s.table.Changed(r.Key)
	s.mu.Unlock()
	timer := s.config.Timer.After(longPollTimeout)
	defer timer.Close()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.table.Get(s.now(), r.Key); ok {
		return current
	}
	return r
}

func (s *Service) update(k Key, c ClaimID, change func(Record) Record) (Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Update(s.now(), k, c, change)
}

func (s *Service) replicas(k Key) []cawork.VMID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return chooseReplicas(s.members, k)
}

func (s *Service) otherReplicas(k Key) []cawork.VMID {
	var ids []cawork.VMID
	for _, id := range s.replicas(k) {
		if id != s.config.Self.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *Service) now() time.Time { return s.config.Timer.Now() }

func membersExcept(members []Member, id cawork.VMID) []Member {
	var rest []Member
	for _, m := range members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}
