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
	// settleTimeout bounds the delivery of an outcome to a replica. When it
	// fails, the record stays unsettled for Bounds.UnsettledTimeout.
	settleTimeout = 30 * time.Second
	settleBackoff = 50 * time.Millisecond
	// maxClaims bounds the claims that one submission makes.
	maxClaims = 4
)

// Session is the result of claiming a key for one submission. When Execute is
// set, the submission has to execute the request. Otherwise Record has the
// outcome of an earlier submission.
type Session struct {
	Record  Record
	Execute bool

	service  *Service
	replicas []cawork.VMID
}

// Begin claims the key for a request. It waits while another submission
// executes the request. It fails with KindConflict when the key was used for a
// different request, with KindUnavailable when the replicas cannot be reached,
// and with KindUnknown when the context ends first.
func (s *Service) Begin(ctx context.Context, k Key, digest uint64, idempotent bool) (*Session, error) {
	wait := false
	for claims := 0; claims < maxClaims; {
		proposed := Record{
			Key:        k,
			Digest:     digest,
			Claim:      ClaimID(uuid.NewString()),
			Executor:   s.config.Self,
			Idempotent: idempotent,
		}
		r, err := s.requestClaim(ctx, ClaimRequest{Claim: proposed, Wait: wait})
		switch {
		case err != nil:
			return nil, err
		case r.Digest != digest:
			return nil, cakind.New(cakind.KindConflict, "the idempotency key was used for a different request")
		case r.Claim == proposed.Claim:
			return &Session{Record: r, Execute: true, service: s, replicas: s.replicas(k)}, nil
		case r.claimable():
			claims++
		case r.Settled():
			return &Session{Record: r, service: s}, nil
		}
		// Only a primary that has just answered gets a long poll, so that an
		// unreachable one is noticed within the shorter timeout.
		wait = !r.Settled()
		if ctx.Err() != nil {
			return nil, cakind.New(cakind.KindUnknown, "the first submission of the idempotency key is still in progress")
		}
	}
	return nil, cakind.New(cakind.KindUnavailable, "the idempotency key could not be claimed")
}

// requestClaim claims the key at its primary. When the call fails, the claim may
// have been stored. It is settled as not run, because this entry will not
// execute the request.
func (s *Service) requestClaim(ctx context.Context, req ClaimRequest) (Record, error) {
	proposed := req.Claim
	primary := s.replicas(proposed.Key)[0]
	if primary == s.config.Self.ID {
		return s.HandleClaim(ctx, req)
	}
	timeout := 2 * callTimeout
	if req.Wait {
		timeout += longPollTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := s.config.Peers.Claim(callCtx, primary, req)
	if err == nil {
		return r, nil
	}
	abandoned := &Session{Record: proposed, service: s, replicas: []cawork.VMID{primary}}
	abandoned.Settle(cawork.OutcomeNotRun, StoredAnswer{})
	kind := cakind.Of(err)
	if kind != cakind.KindOverloaded {
		kind = cakind.KindUnavailable
	}
	return Record{}, cakind.Wrap(kind, err, "the idempotency key could not be claimed at %s", primary)
}

// RecordAttempt records an attempt before the attempt is sent. After an error the
// attempt must not be sent.
func (s *Session) RecordAttempt(ctx context.Context, id cawork.AttemptID, up cawork.UpstreamID) error {
	req := RecordAttemptRequest{Key: s.Record.Key, Claim: s.Record.Claim, Attempt: id, Upstream: up}
	primary := s.service.replicas(req.Key)[0]
	if primary == s.service.config.Self.ID {
		return s.service.HandleRecordAttempt(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return s.service.config.Peers.RecordAttempt(ctx, primary, req)
}

// Settle records the outcome. It returns at once and retries in the background
// until a replica has accepted the outcome or settleTimeout has passed. The
// caller limits the size of the body.
func (s *Session) Settle(o cawork.Outcome, a StoredAnswer) {
	req := SettleRequest{Key: s.Record.Key, Claim: s.Record.Claim, Outcome: o, Answer: a}
	s.service.deliveries.Go(func() { s.service.deliverOutcome(req, s.replicas) })
}

// Flush waits until each outcome of this entry has been accepted by a replica or
// its delivery has timed out.
func (s *Service) Flush() { s.deliveries.Wait() }

// deliverOutcome delivers an outcome to a current replica or, when none accepts
// it, to a former one.
func (s *Service) deliverOutcome(req SettleRequest, formerReplicas []cawork.VMID) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = settleBackoff
	_, _ = backoff.Retry(context.Background(), func() (struct{}, error) {
		var err error
		for _, id := range union(s.replicas(req.Key), formerReplicas) {
			if err = s.settleAt(context.Background(), id, req); err == nil {
				return struct{}{}, nil
			}
		}
		return struct{}{}, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(settleTimeout))
}

func (s *Service) settleAt(ctx context.Context, id cawork.VMID, req SettleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if id == s.config.Self.ID {
		return s.HandleSettle(ctx, req)
	}
	return s.config.Peers.Settle(ctx, id, req)
}

func union(a, b []cawork.VMID) []cawork.VMID {
	merged := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(merged, id) {
			merged = append(merged, id)
		}
	}
	return merged
}
