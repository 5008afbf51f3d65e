package cadedupe

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// settleTimeout bounds the time in which an outcome is brought to a
	// holder. After it the record stays open until MaxOpen.
	settleTimeout = 30 * time.Second
	settleBackoff = 50 * time.Millisecond
	// maxClaims bounds the claims of one submission.
	maxClaims = 4
)

// Session is the hold of one submission on its key. Either it executes the
// request, or Record holds the outcome of a former submission.
type Session struct {
	Record  Record
	Execute bool

	service *Service
	holders []cawork.VMID
}

// Begin claims the key for a request. It waits while another submission
// executes, and fails with KindConflict when the key belongs to a different
// request, with KindUnavailable when the holders cannot be reached, and with
// KindUnknown when the context ends first.
func (s *Service) Begin(ctx context.Context, k Key, digest uint64, idempotent bool) (*Session, error) {
	wait := false
	for claims := 0; claims < maxClaims; {
		own := Record{
			Key:        k,
			Digest:     digest,
			Claim:      ClaimID(uuid.NewString()),
			Executor:   s.config.Self,
			Idempotent: idempotent,
		}
		r, err := s.open(ctx, OpenRequest{Claim: own, Wait: wait})
		switch {
		case err != nil:
			return nil, err
		case r.Digest != digest:
			return nil, cakind.New(cakind.KindConflict, "the idempotency key belongs to a different request")
		case r.Claim == own.Claim:
			return &Session{Record: r, Execute: true, service: s, holders: s.holders(k)}, nil
		case r.claimable():
			claims++
		case r.Settled():
			return &Session{Record: r, service: s}, nil
		}
		// Only a keeper that has just answered is trusted with a long call.
		wait = !r.Settled()
		if ctx.Err() != nil {
			return nil, cakind.New(cakind.KindUnknown, "the first submission of the idempotency key is still in progress")
		}
	}
	return nil, cakind.New(cakind.KindUnavailable, "the idempotency key could not be claimed")
}

// open claims the key at its keeper. A claim whose answer is lost is settled
// as not run, because this entry will not execute it.
func (s *Service) open(ctx context.Context, q OpenRequest) (Record, error) {
	own := q.Claim
	keeper := s.holders(own.Key)[0]
	if keeper == s.config.Self.ID {
		return s.HandleOpen(ctx, q)
	}
	timeout := 2 * callTimeout
	if q.Wait {
		timeout += pollTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := s.config.Peers.Open(call, keeper, q)
	if err == nil {
		return r, nil
	}
	lost := &Session{Record: own, service: s, holders: []cawork.VMID{keeper}}
	lost.Settle(cawork.OutcomeNotRun, StoredAnswer{})
	kind := cakind.Of(err)
	if kind != cakind.KindOverloaded {
		kind = cakind.KindUnavailable
	}
	return Record{}, cakind.Wrap(kind, err, "the idempotency key could not be claimed at %s", keeper)
}

// Intend records an attempt before it is sent. When it fails, the attempt must
// not be sent.
func (n *Session) Intend(ctx context.Context, id cawork.AttemptID, up cawork.UpstreamID) error {
	q := IntendRequest{Key: n.Record.Key, Claim: n.Record.Claim, Attempt: id, Upstream: up}
	keeper := n.service.holders(q.Key)[0]
	if keeper == n.service.config.Self.ID {
		return n.service.HandleIntend(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return n.service.config.Peers.Intend(ctx, keeper, q)
}

// Settle records the outcome. It returns at once and retries until a holder
// has accepted it. A body is stored up to the size that the caller has chosen.
func (n *Session) Settle(o cawork.Outcome, a StoredAnswer) {
	q := SettleRequest{Key: n.Record.Key, Claim: n.Record.Claim, Outcome: o, Answer: a}
	n.service.settling.Go(func() { n.service.settleLater(q, n.holders) })
}

// Flush waits until the outcomes of this entry have been accepted or given up.
func (s *Service) Flush() { s.settling.Wait() }

// settleLater brings an outcome to a holder, present or former.
func (s *Service) settleLater(q SettleRequest, former []cawork.VMID) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = settleBackoff
	_, _ = backoff.Retry(context.Background(), func() (struct{}, error) {
		var err error
		for _, id := range union(s.holders(q.Key), former) {
			if err = s.settleAt(context.Background(), id, q); err == nil {
				return struct{}{}, nil
			}
		}
		return struct{}{}, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(settleTimeout))
}

func (s *Service) settleAt(ctx context.Context, id cawork.VMID, q SettleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if id == s.config.Self.ID {
		return s.HandleSettle(ctx, q)
	}
	return s.config.Peers.Settle(ctx, id, q)
}

func union(a, b []cawork.VMID) []cawork.VMID {
	all := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}
