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
	// pollTimeout bounds the time for which a keeper holds a call of a second
	// submission.
	pollTimeout = 2 * time.Second
	tickPeriod  = 500 * time.Millisecond
	// repairBatch bounds the records that are sent again or settled in a tick.
	repairBatch = 256
	// maxGone bounds the former members that are remembered.
	maxGone = 1024
)

// Config holds what a service needs.
type Config struct {
	Self   Member
	Timer  *catimer.Service
	Logger zerolog.Logger
	Peers  Peers
	// Fencer ends the attempts of dead entries. Without one their records stay
	// open until MaxOpen.
	Fencer Fencer
	Bounds Bounds
}

// Service keeps the records of keys for the zone and claims keys for the
// requests of its own entry.
type Service struct {
	config Config
	done   chan struct{}
	// settling counts the outcomes that are on their way to a holder.
	settling sync.WaitGroup

	mu      sync.Mutex
	table   *Table
	members []Member
	// gone holds former members.
	gone map[Member]struct{}
	// dirty holds the keys whose record may be missing at another holder.
	dirty map[Key]struct{}
}

// New returns a service that knows itself as the only member.
func New(c Config) *Service {
	return &Service{
		config:  c,
		done:    make(chan struct{}),
		table:   NewTable(c.Bounds),
		members: []Member{c.Self},
		gone:    map[Member]struct{}{},
		dirty:   map[Key]struct{}{},
	}
}

// SetMembers replaces the live entries of the zone. Records whose holders
// changed are sent to the new ones, and requests of entries that are gone are
// settled.
func (s *Service) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.members
	s.members = append([]Member{s.config.Self}, without(members, s.config.Self.ID)...)
	slices.SortFunc(s.members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if slices.Equal(former, s.members) {
		return
	}
	if len(s.gone) > maxGone {
		clear(s.gone)
	}
	for _, m := range former {
		if !slices.Contains(s.members, m) {
			s.gone[m] = struct{}{}
		}
	}
	moved := s.table.Select(s.now(), func(r Record) bool {
		return !slices.Equal(holders(former, r.Key), holders(s.members, r.Key))
	})
	for _, r := range moved {
		s.dirty[r.Key] = struct{}{}
	}
}

// Run repairs replicas, settles the requests of dead entries and forgets old
// records until the context ends.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.done)
	s.config.Timer.Repeat(ctx, tickPeriod, s.Tick)
	return nil
}

// Done returns a channel that is closed when Run has ended.
func (s *Service) Done() <-chan struct{} { return s.done }

// Tick does one round of the work of Run.
func (s *Service) Tick(ctx context.Context) {
	s.mu.Lock()
	s.table.Expire(s.now())
	s.mu.Unlock()
	s.settleDead(ctx)
	s.repair(ctx)
}

// HandleOpen serves Peers.Open.
func (s *Service) HandleOpen(ctx context.Context, q OpenRequest) (Record, error) {
	r, err := s.claim(ctx, q.Claim)
	if err != nil || !q.Wait || r.Settled() || r.Claim == q.Claim.Claim {
		return r, err
	}
	return s.await(ctx, r), nil
}

// HandleIntend serves Peers.Intend.
func (s *Service) HandleIntend(ctx context.Context, q IntendRequest) error {
	r, err := s.update(q.Key, q.Claim, func(r Record) Record { return r.WithAttempt(q.Attempt, q.Upstream) })
	if err != nil {
		return err
	}
	held, err := s.replicate(ctx, r)
	if err != nil {
		return err
	}
	if held.Claim != q.Claim || held.Settled() {
		return cakind.New(cakind.KindFenced, "the claim of the idempotency key has ended")
	}
	return nil
}

// HandleSettle serves Peers.Settle.
func (s *Service) HandleSettle(ctx context.Context, q SettleRequest) error {
	r, err := s.update(q.Key, q.Claim, func(r Record) Record { return r.WithOutcome(q.Outcome, q.Answer) })
	if err != nil {
		return err
	}
	if _, err := s.replicate(ctx, r); err != nil {
		s.markDirty(q.Key)
	}
	return nil
}

// HandleReplicate serves Peers.Replicate.
func (s *Service) HandleReplicate(_ context.Context, r Record) (Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Merge(s.now(), r), nil
}

// claim stores a claim here and at the other holder. Only then does it count.
func (s *Service) claim(ctx context.Context, own Record) (Record, error) {
	s.mu.Lock()
	r, err := s.table.Claim(s.now(), own)
	s.mu.Unlock()
	if err != nil || r.Claim != own.Claim {
		return r, err
	}
	held, err := s.replicate(ctx, r)
	if err != nil {
		s.disclaim(own)
		return Record{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held.Claim != own.Claim {
		s.table.Adopt(s.now(), held)
		return held, nil
	}
	if !s.table.Confirm(own.Key, own.Claim) {
		now, _ := s.table.Get(s.now(), own.Key)
		return now, nil
	}
	return r, nil
}

// disclaim settles a claim that was not accepted everywhere. Its executor
// never learns of it, so that it has not run.
func (s *Service) disclaim(own Record) {
	_, err := s.update(own.Key, own.Claim, func(r Record) Record {
		return r.WithOutcome(cawork.OutcomeNotRun, StoredAnswer{})
	})
	if err == nil {
		s.markDirty(own.Key)
	}
}

// await returns the record once it has changed, or as it is after a while.
func (s *Service) await(ctx context.Context, r Record) Record {
	s.mu.Lock()
	changed := s.table.Changed(r.Key)
	s.mu.Unlock()
	timer := s.config.Timer.After(pollTimeout)
	defer timer.Close()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now, ok := s.table.Get(s.now(), r.Key); ok {
		return now
	}
	return r
}

func (s *Service) update(k Key, c ClaimID, change func(Record) Record) (Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Update(s.now(), k, c, change)
}

func (s *Service) holders(k Key) []cawork.VMID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return holders(s.members, k)
}

func (s *Service) others(k Key) []cawork.VMID {
	var ids []cawork.VMID
	for _, id := range s.holders(k) {
		if id != s.config.Self.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *Service) now() time.Time { return s.config.Timer.Now() }

func without(members []Member, id cawork.VMID) []Member {
	var rest []Member
	for _, m := range members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}
