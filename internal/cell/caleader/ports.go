// Package caleader runs a cell as its leader: it stores what the board
// decides, keeps the leases of upstreams, and carries orders out. Its right to
// lead is its claim in the log of the cell: it appends only at the end that it
// knows, so that an append after a later claim fails.
package caleader

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// Entry is a record of the log with the key that it replaces. A nil value
// removes the key.
type Entry struct {
	Key   string
	Value []byte
	// Offset is where the entry stands, when it was read.
	Offset int64
}

// Page is a part of the newest records of all keys.
type Page struct {
	Entries []Entry
	// Next is the key to continue after, empty on the last page.
	Next string
	// End is the offset after the last record of the log.
	End int64
}

// Log is the log of a cell, which keeps the newest record of each key.
type Log interface {
	// Append adds the entries if the log ends at the offset. An error of
	// KindConflict means that it does not, KindUnavailable that nothing was
	// done, and KindUnknown that they may be added, now or later.
	Append(ctx context.Context, at int64, entries []Entry) (end int64, err error)
	// Read returns entries from the offset on, and the end of the log. It waits
	// up to the time for one.
	Read(ctx context.Context, from int64, wait time.Duration) (entries []Entry, end int64, err error)
	// Newest returns the page of newest entries after the key.
	Newest(ctx context.Context, after string) (Page, error)
}

// Upstreams carries orders to upstreams, under the token of the leader.
type Upstreams interface {
	Start(ctx context.Context, token int64, order caboard.StartOrder) (outcome caboard.StartOutcome, clockMS int64)
	Stop(ctx context.Context, token int64, order caboard.StopOrder) error
	// Renew renews the lease and returns the report of the upstream. It waits
	// up to the time for a run to end. KindFenced means that the upstream obeys
	// a later leader, KindNotFound that its incarnation is gone.
	Renew(ctx context.Context, token int64, lease caboard.Lease, wait time.Duration) (caboard.Report, error)
}

// Registry lists the upstreams.
type Registry interface {
	List(ctx context.Context) ([]caspec.Upstream, error)
}

// Advisor asks which upstreams may run a step.
type Advisor interface {
	Advise(ctx context.Context, ask caboard.Ask) ([]caboard.Approval, error)
}

// Advisers are the entries that can ask the advisor at this time.
type Advisers interface {
	Names() []cawork.VMID
	// AdviseThrough asks through the entry.
	AdviseThrough(ctx context.Context, entry cawork.VMID, ask caboard.Ask) ([]caboard.Approval, error)
}
