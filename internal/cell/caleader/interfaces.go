// Package caleader implements the leader of one shard of a cell: it stores the
// decisions of the planner, renews the leases of upstreams, and executes orders.
// The shard's log elects the leader: each append names the expected end of the
// log, so that the appends of a leader fail once another one has appended its
// claim.
package caleader

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// LogEntry is a record of the log. It replaces earlier records with its key. A nil
// value removes the key.
type LogEntry struct {
	Key   string
	Value []byte
	// Offset is the offset of the record in the log, set when it is read.
	Offset int64
}

// Page is one page of the newest records of all keys.
type Page struct {
	Entries []LogEntry
	// Next is the key to continue after, empty on the last page.
	Next string
	// End is the offset after the last record of the log.
	End int64
}

// Log is the log of a shard, which keeps the newest record of each key.
type Log interface {
	// Append appends the entries if the log ends at the offset. An error of
	// KindConflict means that it does not, KindUnavailable that nothing was
	// appended, KindUnstorable that nothing was and that the same entries never will be, and KindUnknown
	// that the entries may be appended, now or later.
	Append(ctx context.Context, at int64, entries []LogEntry) (end int64, err error)
	// Read returns the entries from the offset on and the end of the log. It
	// waits up to the given time for an entry.
	Read(ctx context.Context, from int64, wait time.Duration) (entries []LogEntry, end int64, err error)
	// Newest returns the page of newest records that follows the key.
	Newest(ctx context.Context, after string) (Page, error)
}

// Upstreams sends orders to upstreams with the fencing token of the leader.
type Upstreams interface {
	Start(ctx context.Context, token int64, order caorder.StartOrder) (outcome caorder.StartOutcome, clockMS int64)
	Stop(ctx context.Context, token int64, order caorder.StopOrder) error
	// Renew renews the lease and returns the report of the upstream. The upstream
	// waits up to the given time for a run to end before it answers. KindFenced
	// means that the upstream has accepted a later token, KindNotFound that its
	// incarnation is gone.
	Renew(ctx context.Context, token int64, lease caorder.Lease, wait time.Duration) (caorder.Report, error)
}

// Registry lists the upstreams.
type Registry interface {
	List(ctx context.Context) ([]caspec.Upstream, error)
}

// Advisor decides which upstreams may run a step.
type Advisor interface {
	Advise(ctx context.Context, ask caorder.ApprovalRequest) ([]caorder.Approval, error)
}

// AdvisorProxies are the entries through which the advisor can currently be asked.
type AdvisorProxies interface {
	Names() []cawork.VMID
	// AdviseVia asks the advisor through the entry.
	AdviseVia(ctx context.Context, entry cawork.VMID, ask caorder.ApprovalRequest) ([]caorder.Approval, error)
}
