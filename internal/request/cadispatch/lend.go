package cadispatch

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// BorrowRequest asks the owner of upstreams for slots.
type BorrowRequest struct {
	Borrower cawork.VMID         `cbor:"borrower"`
	Wanted   caroute.LendRequest `cbor:"wanted"`
}

// BorrowGrant answers a BorrowRequest. Granted is false when the owner has no
// free slot.
type BorrowGrant struct {
	Granted bool          `cbor:"granted"`
	Grant   caroute.Grant `cbor:"grant"`
}

// SlotLender reaches the owners of upstreams.
type SlotLender interface {
	Borrow(ctx context.Context, owner cawork.VMID, q BorrowRequest) (BorrowGrant, error)
	Return(ctx context.Context, owner cawork.VMID, id caroute.GrantID) error
}
