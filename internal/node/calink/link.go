// Package calink connects the components of an entry with those of other
// entries. It implements the Peers interfaces of the components over capeer and
// registers their handlers.
package calink

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

// The names of the calls between entries.
const (
	callExchange      = "member.exchange"
	callProbe         = "member.probe"
	callReplicate     = "shard.replicate"
	callStanding      = "shard.standing"
	callFetchConfig   = "config.fetch"
	callBorrow        = "slot.borrow"
	callReturn        = "slot.return"
	callKeyOpen       = "key.open"
	callKeyIntend     = "key.intend"
	callKeySettle     = "key.settle"
	callKeyReplicate  = "key.replicate"
	callPoll          = "task.poll"
	callReserve       = "task.reserve"
	callRelease       = "task.release"
	callStartReserved = "task.start_reserved"
	callAct           = "task.act"
	callSilence       = "task.silence"
	callGetJob        = "job.get"
	callSubmitJob     = "job.submit"
	callCancelJob     = "job.cancel"
	callFindKey       = "job.find_key"
	callHandover      = "job.hand_over"
	callAsk           = "allowance.ask"
	callTransfer      = "allowance.transfer"
	callHeldShards    = "shard.held"
	callSettle        = "shard.settle"
	callClose         = "allowance.close"
	callSettled       = "allowance.settled"
)

// Empty is a message without fields.
type Empty struct{}

// AddressBook looks up the peer address of an entry.
type AddressBook interface {
	Address(vm cawork.VMID) (string, bool)
}

// Link calls other entries.
type Link struct {
	client    *capeer.Client
	addresses AddressBook
	timeout   time.Duration
}

// NewLink returns a link. The timeout applies to calls whose context has no
// deadline.
func NewLink(client *capeer.Client, addresses AddressBook, timeout time.Duration) *Link {
	return &Link{client: client, addresses: addresses, timeout: timeout}
}

// call sends a message to an entry.
func call[In, Out any](ctx context.Context, l *Link, to cawork.VMID, name string, in In) (Out, error) {
	address, ok := l.addresses.Address(to)
	if !ok {
		var out Out
		return out, cakind.New(cakind.KindUnavailable, "no address is known for entry %s", to)
	}
	return callAt[In, Out](ctx, l, address, name, in)
}

// callAt sends a message to an address.
func callAt[In, Out any](ctx context.Context, l *Link, address, name string, in In) (Out, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.timeout)
		defer cancel()
	}
	return capeer.Call[In, Out](ctx, l.client, address, name, in)
}

// notify sends a message to an entry and discards the empty reply.
func notify[In any](ctx context.Context, l *Link, to cawork.VMID, name string, in In) error {
	_, err := call[In, Empty](ctx, l, to, name, in)
	return err
}

// replyEmpty adapts a handler that returns only an error.
func replyEmpty[In any](handle func(ctx context.Context, in In) error) func(context.Context, In) (Empty, error) {
	return func(ctx context.Context, in In) (Empty, error) { return Empty{}, handle(ctx, in) }
}
