package cadispatch

import (
	"net/http"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/caforward"
)

const (
	// http1RequestBytes is the memory of a request in progress without its
	// body: the buffers and stacks of its connection, its header and its call
	// (docs/measures/request.md).
	http1RequestBytes = 28 << 10
	// http2RequestBytes is the same for a connection of HTTP/2, which many
	// requests share.
	http2RequestBytes = 16 << 10
	// attemptBytes is what a request takes besides while it is at an upstream.
	attemptBytes = 24 << 10
	// copyBufferBytes is the buffer through which a longer body goes to an upstream.
	copyBufferBytes = 32 << 10
	// defaultMaxMemoryBytes holds defaultMaxInProgress requests with small bodies,
	// and some 300 of them at upstreams.
	defaultMaxMemoryBytes = 38 << 20
	// minMaxMemoryBytes is the lowest bound under which every request can be
	// attempted.
	minMaxMemoryBytes = 192 << 10
	// attemptReserveDivisor is the number of parts of the memory of which one is kept
	// for attempts. Otherwise waiting requests could fill all of it, and none
	// could start and end any more.
	attemptReserveDivisor = 4
)

var errNoMemory = caadmit.NewRefusal("the memory for requests is in use", cakind.DefaultRetryAfter)

// StreamBytes is the part of a longer body that a server of HTTP/2 takes before
// it is read. Callers may send 64 KiB before they know of less.
const StreamBytes = 64 << 10

// memory counts what requests in progress take, in bytes. Answers are counted
// when they come, so that the bound may be passed by one buffer for each
// request at an upstream.
type memory struct {
	limit    int64
	requests int64
	attempts int64
}

// memoryOfRequest returns what a request takes while it is in progress.
func memoryOfRequest(r *http.Request) int64 {
	http2 := r.ProtoAtLeast(2, 0)
	bytes := int64(http1RequestBytes)
	if http2 {
		bytes = http2RequestBytes
	}
	if r.ContentLength >= 0 && r.ContentLength <= maxBufferedBytes {
		return bytes + r.ContentLength
	}
	if http2 {
		bytes += StreamBytes
	}
	return bytes + maxBufferedBytes
}

// admitsRequest reports whether one more request fits.
func (m *memory) admitsRequest(bytes int64) bool {
	return m.requests+bytes <= m.limit-m.limit/attemptReserveDivisor && m.used()+bytes <= m.limit
}

func (m *memory) used() int64 { return m.requests + m.attempts }

// admitsAttempt reports whether one more request may be at an upstream.
func (m *memory) admitsAttempt() bool { return m.used()+attemptBytes <= m.limit }

// attemptCapacity is the number of requests that may be at upstreams.
func (m *memory) attemptCapacity() int { return int((m.limit - m.requests) / attemptBytes) }

func (m *memory) addRequest(bytes int64) {
	m.requests += bytes
	m.assertNonNegative()
}

func (m *memory) addAttempt(bytes int64) {
	m.attempts += bytes
	m.assertNonNegative()
}

// assertNonNegative stops the request when more was given back than taken.
func (m *memory) assertNonNegative() {
	if m.requests < 0 || m.attempts < 0 {
		panic(cakind.New(cakind.KindInternal, "memory below zero: %d B of requests, %d B of attempts", m.requests, m.attempts))
	}
}

// assertEmpty stops the request when memory is in use without requests.
func (m *memory) assertEmpty(inProgress int) {
	if inProgress == 0 && m.used() != 0 {
		panic(cakind.New(cakind.KindInternal, "%d B are in use without requests", m.used()))
	}
}

// attemptMemory is what one attempt takes.
type attemptMemory struct {
	d     *Dispatcher
	bytes int64
}

// newAttemptMemory returns the memory of an attempt whose route has been
// chosen, with the buffer of a body that is streamed.
func (d *Dispatcher) newAttemptMemory(c *call) *attemptMemory {
	m := &attemptMemory{d: d, bytes: attemptBytes}
	if !c.bodyBuffered() {
		m.add(copyBufferBytes)
	}
	return m
}

// addResponseBuffer counts the buffer of the answer.
func (m *attemptMemory) addResponseBuffer() { m.add(caforward.BufferBytes) }

func (m *attemptMemory) add(bytes int64) {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	m.bytes += bytes
	m.d.memory.addAttempt(bytes)
}

// release gives the memory back and starts requests that waited for it.
func (m *attemptMemory) release() { m.d.releaseAttemptMemory(m.bytes) }

func (d *Dispatcher) releaseAttemptMemory(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memory.addAttempt(-bytes)
	d.dispatchQueued(d.config.Timer.Now())
}
