package cadispatch

import (
	"net/http"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/caforward"
)

const (
	// ownConnectionBytes is the memory of a request in progress without its
	// body: the buffers and stacks of its connection, its header and its call
	// (docs/measures/request.md).
	ownConnectionBytes = 28 << 10
	// sharedConnectionBytes is the same for a connection of HTTP/2, which many
	// requests share.
	sharedConnectionBytes = 16 << 10
	// attemptBytes is what a request takes besides while it is at an upstream.
	attemptBytes = 24 << 10
	// copyBytes is the buffer through which a longer body goes to an upstream.
	copyBytes = 32 << 10
	// defaultMaxBytes holds defaultMaxInProgress requests with small bodies,
	// and some 300 of them at upstreams.
	defaultMaxBytes = 38 << 20
	// minMaxBytes is the lowest bound under which every request can be
	// attempted.
	minMaxBytes = 192 << 10
	// attemptParts is the number of parts of the memory of which one is kept
	// for attempts. Otherwise waiting requests could fill all of it, and none
	// could start and end any more.
	attemptParts = 4
)

var errNoMemory = caadmit.NewRefusal("the memory for requests is in use", cakind.DefaultRetryAfter)

// StreamBytes is the part of a longer body that a server of HTTP/2 takes before
// it is read. Callers may send 64 KiB before they know of less.
const StreamBytes = 64 << 10

// memory counts what requests in progress take, in bytes. Answers are counted
// when they come, so that the bound may be passed by one buffer for each
// request at an upstream.
type memory struct {
	most     int64
	requests int64
	attempts int64
}

// bytesOf returns what a request takes while it is in progress.
func bytesOf(r *http.Request) int64 {
	shared := r.ProtoAtLeast(2, 0)
	bytes := int64(ownConnectionBytes)
	if shared {
		bytes = sharedConnectionBytes
	}
	if r.ContentLength >= 0 && r.ContentLength <= replaySize {
		return bytes + r.ContentLength
	}
	if shared {
		bytes += StreamBytes
	}
	return bytes + replaySize
}

// admits reports whether one more request fits.
func (m *memory) admits(bytes int64) bool {
	return m.requests+bytes <= m.most-m.most/attemptParts && m.used()+bytes <= m.most
}

func (m *memory) used() int64 { return m.requests + m.attempts }

// admitsAttempt reports whether one more request may be at an upstream.
func (m *memory) admitsAttempt() bool { return m.used()+attemptBytes <= m.most }

// mostAttempts is the number of requests that may be at upstreams.
func (m *memory) mostAttempts() int { return int((m.most - m.requests) / attemptBytes) }

func (m *memory) addRequest(bytes int64) {
	m.requests += bytes
	m.assert()
}

func (m *memory) addAttempt(bytes int64) {
	m.attempts += bytes
	m.assert()
}

// assert stops the request when more was given back than taken.
func (m *memory) assert() {
	if m.requests < 0 || m.attempts < 0 {
		panic(cakind.New(cakind.KindInternal, "memory below zero: %d B of requests, %d B of attempts", m.requests, m.attempts))
	}
}

// assertFree stops the request when memory is in use without requests.
func (m *memory) assertFree(inProgress int) {
	if inProgress == 0 && m.used() != 0 {
		panic(cakind.New(cakind.KindInternal, "%d B are in use without requests", m.used()))
	}
}

// attemptMemory is what one attempt takes.
type attemptMemory struct {
	d     *Dispatcher
	bytes int64
}

// memoryOfAttempt returns the memory of an attempt whose route has been
// chosen, with the buffer of a body that is streamed.
func (d *Dispatcher) memoryOfAttempt(c *call) *attemptMemory {
	m := &attemptMemory{d: d, bytes: attemptBytes}
	if !c.replayable() {
		m.add(copyBytes)
	}
	return m
}

// answered counts the buffer of the answer.
func (m *attemptMemory) answered() { m.add(caforward.BufferBytes) }

func (m *attemptMemory) add(bytes int64) {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	m.bytes += bytes
	m.d.memory.addAttempt(bytes)
}

// release gives the memory back and starts requests that waited for it.
func (m *attemptMemory) release() { m.d.releaseAttempt(m.bytes) }

func (d *Dispatcher) releaseAttempt(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memory.addAttempt(-bytes)
	d.pump(d.config.Timer.Now())
}
