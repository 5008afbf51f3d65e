// Package cabudget decides which connections of callers an entry closes while they occupy more than it
// has for them. It answers a crowd of callers that begin requests and do not end them: these must not keep
// memory and descriptors from others. It does no input or output and reads no clock.
package cabudget

import (
	"container/list"
	"time"
)

// stallTime is how long a caller that has begun a request may send nothing before its connection is closed
// in preference to an idle one.
const stallTime = time.Second

// Limits are what callers may occupy together.
type Limits struct {
	// Bytes bounds the memory of their connections and requests, as charged.
	Bytes int64
	// Connections bounds the number of their connections.
	Connections int
}

// ID identifies a connection.
type ID uint64

// phase is what a connection is in the middle of.
type phase int

const (
	// phaseIdle means that no request has begun.
	phaseIdle phase = iota
	// phaseReading means that a request has begun and is not complete.
	phaseReading
	// phaseServing means that a request is complete and not answered. Such a connection is not closed.
	phaseServing
)

// account is what one connection occupies.
type account struct {
	id    ID
	bytes int64
	phase phase
	// progressAt is when it was opened, last sent something or was answered.
	progressAt time.Time
	// place is its place in the list of its phase, nil while a request is served.
	place *list.Element
}

// Budget accounts for what the connections of callers occupy. It is not safe for concurrent use.
type Budget struct {
	limits   Limits
	accounts map[ID]*account
	bytes    int64
	// idle and reading are the accounts in these phases, those without progress for longest first.
	idle, reading *list.List
}

// New returns a budget without connections.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, accounts: make(map[ID]*account), idle: list.New(), reading: list.New()}
}

// Open adds a connection that occupies so many bytes by itself. It returns the connections to close, and
// whether the new one is kept: it is not if all others are in the middle of being answered.
func (b *Budget) Open(id ID, bytes int64, now time.Time) (closing []ID, kept bool) {
	a := &account{id: id, bytes: bytes}
	b.accounts[id] = a
	b.bytes += bytes
	b.enter(a, phaseIdle, now)
	closing = b.makeRoom(a, now)
	_, kept = b.accounts[id]
	return closing, kept
}

// Read records that a connection has sent a part of a request that occupies so many bytes more. It returns
// the connections to close.
func (b *Budget) Read(id ID, bytes int64, now time.Time) (closing []ID) {
	a, ok := b.accounts[id]
	if !ok {
		return nil
	}
	a.bytes += bytes
	b.bytes += bytes
	if a.phase != phaseServing {
		b.enter(a, phaseReading, now)
	}
	return b.makeRoom(a, now)
}

// Serve records that the request of a connection is complete.
func (b *Budget) Serve(id ID) {
	if a, ok := b.accounts[id]; ok {
		b.leave(a)
		a.phase = phaseServing
	}
}

// AwaitBody records that the header of a request is complete and its body is not.
func (b *Budget) AwaitBody(id ID, now time.Time) {
	if a, ok := b.accounts[id]; ok {
		b.enter(a, phaseReading, now)
	}
}

// Answer records that a request was answered, and that its connection occupies so many bytes again.
func (b *Budget) Answer(id ID, bytes int64, now time.Time) {
	a, ok := b.accounts[id]
	if !ok {
		return
	}
	b.bytes += bytes - a.bytes
	a.bytes = bytes
	b.enter(a, phaseIdle, now)
}

// Close removes a connection.
func (b *Budget) Close(id ID) {
	a, ok := b.accounts[id]
	if !ok {
		return
	}
	b.leave(a)
	b.bytes -= a.bytes
	delete(b.accounts, id)
}

// Use returns how many bytes are charged and how many connections there are.
func (b *Budget) Use() (bytes int64, connections int) { return b.bytes, len(b.accounts) }

// enter moves an account to the end of the list of a phase in which it may be closed.
func (b *Budget) enter(a *account, p phase, now time.Time) {
	b.leave(a)
	a.phase, a.progressAt = p, now
	a.place = b.listOf(p).PushBack(a)
}

// leave takes an account out of the list that it is in.
func (b *Budget) leave(a *account) {
	if a.place != nil {
		b.listOf(a.phase).Remove(a.place)
		a.place = nil
	}
}

func (b *Budget) listOf(p phase) *list.List {
	if p == phaseIdle {
		return b.idle
	}
	return b.reading
}

// makeRoom removes connections until the others keep within the limits, as far as some may be closed. The
// newest goes last.
func (b *Budget) makeRoom(newest *account, now time.Time) (closing []ID) {
	for b.bytes > b.limits.Bytes || len(b.accounts) > b.limits.Connections {
		a := b.next(newest, now)
		if a == nil {
			return closing
		}
		b.Close(a.id)
		closing = append(closing, a.id)
	}
	return closing
}

// next returns the connection to close first: one that has stalled in the middle of a request, then an idle
// one, then any that is in the middle of one, each time that without progress for longest. It returns nil if
// all are being answered.
func (b *Budget) next(newest *account, now time.Time) *account {
	reading, idle := first(b.reading), first(b.idle)
	switch {
	case reading != nil && now.Sub(reading.progressAt) >= stallTime:
		return reading
	case idle != nil && (idle != newest || reading == nil):
		return idle
	default:
		return reading
	}
}

func first(l *list.List) *account {
	if l.Len() == 0 {
		return nil
	}
	return l.Front().Value.(*account)
}
