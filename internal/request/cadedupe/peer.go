package cadedupe

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// OpenRequest claims a key at its keeper. Claim carries the record of the new
// claim. Wait asks the keeper to hold the call for a while when the request of
// another claim is in progress.
type OpenRequest struct {
	Claim Record `cbor:"claim"`
	Wait  bool   `cbor:"wait"`
}

// IntendRequest records an attempt at the keeper before it is sent.
type IntendRequest struct {
	Key      Key               `cbor:"key"`
	Claim    ClaimID           `cbor:"claim"`
	Attempt  cawork.AttemptID  `cbor:"attempt"`
	Upstream cawork.UpstreamID `cbor:"upstream"`
}

// SettleRequest records the outcome of a request at the keeper.
type SettleRequest struct {
	Key     Key            `cbor:"key"`
	Claim   ClaimID        `cbor:"claim"`
	Outcome cawork.Outcome `cbor:"outcome"`
	Answer  StoredAnswer   `cbor:"answer"`
}

// Peers carries calls to another entry of the zone. Open and Replicate return
// the record that the callee holds afterwards.
type Peers interface {
	Open(ctx context.Context, to cawork.VMID, q OpenRequest) (Record, error)
	Intend(ctx context.Context, to cawork.VMID, q IntendRequest) error
	Settle(ctx context.Context, to cawork.VMID, q SettleRequest) error
	Replicate(ctx context.Context, to cawork.VMID, r Record) (Record, error)
}

// Fencer makes sure that an attempt has ended: one that never started never
// will, one that runs is stopped. It returns the final state.
type Fencer interface {
	FenceAttempt(ctx context.Context, up cawork.UpstreamID, id cawork.AttemptID) (cawork.TaskState, error)
}
