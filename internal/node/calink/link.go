// Package calink connects the parts of an entry with those of other entries:
// it implements the peer interfaces of the parts over capeer and exposes their
// handlers.
package calink

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

// The calls between entries.
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

// AddressBook tells the peer address of an entry.
type AddressBook interface {
	Address(vm cawork.VMID) (string, bool)
}

// Link calls other entries.
type Link struct {
	client  *capeer.Client
	book    AddressBook
	timeout time.Duration
}

// NewLink returns a link whose calls end after the timeout unless their
// context ends before.
func NewLink(client *capeer.Client, book AddressBook, timeout time.Duration) *Link {
	return &Link{client: client, book: book, timeout: timeout}
}

// call sends a message to an entry.
func call[In, Out any](ctx context.Context, l *Link, to cawork.VMID, name string, in In) (Out, error) {
	address, ok := l.book.Address(to)
	if !ok {
		var out Out
		return out, cakind.New(cakind.KindUnavailable, "the address of entry %s is not known", to)
	}
	return callAt[In, Out](ctx, l, address, name, in)
}

// callAt sends a message to an address.
func callAt[In, Out any](ctx context.Context, l *Link, address, name string, in In) (Out, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.timeout)
		defer cancel()
	}
	return capeer.Call[In, Out](ctx, l.client, address, name, in)
}

// notify sends a message whose answer has no fields.
func notify[In any](ctx context.Context, l *Link, to cawork.VMID, name string, in In) error {
	_, err := call[In, Empty](ctx, l, to, name, in)
	return err
}

// answerEmpty adapts a handler that answers with an error alone.
func answerEmpty[In any](handle func(ctx context.Context, in In) error) func(context.Context, In) (Empty, error) {
	return func(ctx context.Context, in In) (Empty, error) { return Empty{}, handle(ctx, in) }
}
