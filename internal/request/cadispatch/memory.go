package cadispatch

import (
	"net/http"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/caforward"
)

const (
	// http1RequestBytes is the memory of an HTTP/1.1 request in progress without
	// its body: the buffers and stacks of its connection, its header and its
	// call (docs/measures/request.md).
	http1RequestBytes = 28 << 10
	// http2RequestBytes is the same for an HTTP/2 request, whose connection is
	// shared by many requests.
	http2RequestBytes = 16 << 10
	// attemptBytes is the additional memory of a request while an attempt is in
	// progress.
	attemptBytes = 24 << 10
	// copyBufferBytes is the size of the buffer that streams a body longer than
	// maxBufferedBytes to an upstream.
	copyBufferBytes = 32 << 10
	// defaultMaxMemoryBytes fits defaultMaxInProgress requests with small
	// bodies, about 300 of which have an attempt in progress.
	defaultMaxMemoryBytes = 38 << 20
	// minMaxMemoryBytes is the lowest limit under which an attempt of any request
	// fits.
	minMaxMemoryBytes = 192 << 10
	// attemptReserveDivisor sets the fraction of the memory that is reserved for
	// attempts: one divided by it. Without the reservation, waiting requests
	// could fill the memory, and none of them could start and complete.
	attemptReserveDivisor = 4
)

var errNoMemory = caadmit.NewRefusal("the memory limit for requests is reached", cakind.DefaultRetryAfter)

// StreamBufferBytes is the size of the receive buffer of an HTTP/2 stream. It is
// 64 KiB, because a caller may send this much before it receives the settings
// of the server.
const StreamBufferBytes = 64 << 10

// memory accounts for the memory of the requests in progress, in bytes. The
// buffer of a response is counted when the response arrives, so that the limit
// may be exceeded by one buffer for each attempt in progress.
type memory struct {
	limit    int64
	requests int64
	attempts int64
}

// memoryOfRequest returns the memory of a request in progress, without its
// attempts.
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
		bytes += StreamBufferBytes
	}
	return bytes + maxBufferedBytes
}

// admitsRequest reports whether one more request of the given size fits.
func (m *memory) admitsRequest(bytes int64) bool {
	return m.requests+bytes <= m.limit-m.limit/attemptReserveDivisor && m.used()+bytes <= m.limit
}

func (m *memory) used() int64 { return m.requests + m.attempts }

// admitsAttempt reports whether one more attempt fits.
func (m *memory) admitsAttempt() bool { return m.used()+attemptBytes <= m.limit }

// attemptCapacity returns the number of concurrent attempts that fit.
func (m *memory) attemptCapacity() int { return int((m.limit - m.requests) / attemptBytes) }

func (m *memory) addRequest(bytes int64) {
	m.requests += bytes
	m.assertNonNegative()
}

func (m *memory) addAttempt(bytes int64) {
	m.attempts += bytes
	m.assertNonNegative()
}

// assertNonNegative panics if more memory was released than acquired.
func (m *memory) assertNonNegative() {
	if m.requests < 0 || m.attempts < 0 {
		panic(cakind.New(cakind.KindInternal, "negative memory count: %d B of requests, %d B of attempts", m.requests, m.attempts))
	}
}

// assertEmpty panics if memory is in use while no requests are in progress.
func (m *memory) assertEmpty(inProgress int) {
	if inProgress == 0 && m.used() != 0 {
		panic(cakind.New(cakind.KindInternal, "%d B are in use while no requests are in progress", m.used()))
	}
}

// attemptMemory is the memory of one attempt.
type attemptMemory struct {
	d     *Dispatcher
	bytes int64
}

// newAttemptMemory returns the memory of an attempt that has a slot. acquireSlot
// has already counted attemptBytes; newAttemptMemory adds the copy buffer of a
// streamed body.
func (d *Dispatcher) newAttemptMemory(c *call) *attemptMemory {
	m := &attemptMemory{d: d, bytes: attemptBytes}
	if !c.bodyBuffered() {
		m.add(copyBufferBytes)
	}
	return m
}

// addResponseBuffer counts the buffer of the response.
func (m *attemptMemory) addResponseBuffer() { m.add(caforward.RelayBufferBytes) }

func (m *attemptMemory) add(bytes int64) {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	m.bytes += bytes
	m.d.memory.addAttempt(bytes)
}

// release releases the memory and starts requests that waited for it.
func (m *attemptMemory) release() { m.d.releaseAttemptMemory(m.bytes) }

func (d *Dispatcher) releaseAttemptMemory(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memory.addAttempt(-bytes)
	d.dispatchQueued(d.config.Timer.Now())
}
