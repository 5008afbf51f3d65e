package cadedupe

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// ClaimRequest claims a key at its primary. It carries the record of the new
// claim. When Wait is set, the primary delays its answer for up to
// longPollTimeout while the request of another claim is in progress.
type ClaimRequest struct {
	Claim Record `cbor:"claim"`
	Wait  bool   `cbor:"wait"`
}

// RecordAttemptRequest records an attempt at the primary before the attempt is sent.
type RecordAttemptRequest struct {
	Key      Key               `cbor:"key"`
	Claim    ClaimID           `cbor:"claim"`
	Attempt  cawork.AttemptID  `cbor:"attempt"`
	Upstream cawork.UpstreamID `cbor:"upstream"`
}

// SettleRequest records the outcome of a request at a replica.
type SettleRequest struct {
	Key     Key            `cbor:"key"`
	Claim   ClaimID        `cbor:"claim"`
	Outcome cawork.Outcome `cbor:"outcome"`
	Answer  StoredAnswer   `cbor:"answer"`
}

// Peers is the client for calls to other entries of the zone. A returned Record
// is the one that the callee stores after the call.
type Peers interface {
	Claim(ctx context.Context, to cawork.VMID, req ClaimRequest) (Record, error)
	RecordAttempt(ctx context.Context, to cawork.VMID, req RecordAttemptRequest) error
	Settle(ctx context.Context, to cawork.VMID, req SettleRequest) error
	Replicate(ctx context.Context, to cawork.VMID, r Record) (Record, error)
}

// Fencer ends an attempt: an attempt that has not started is prevented from
// starting, a running one is stopped. It returns the final state.
type Fencer interface {
	FenceAttempt(ctx context.Context, up cawork.UpstreamID, id cawork.AttemptID) (cawork.TaskState, error)
}
