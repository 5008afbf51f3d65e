package caforward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

const (
	// bufferSize is the buffer of a response in bytes. A response that fits is
	// read completely before any of it is sent to the caller, so that a slow
	// caller does not hold the slot.
	bufferSize = 32 << 10
	// RelayBufferBytes is the buffer memory of a Relay in bytes.
	RelayBufferBytes = bufferSize
	// callerWriteTimeout bounds the time for writing one buffer to the caller.
	callerWriteTimeout = 20 * time.Second
)

var bufferPool = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Relay relays a response to the caller through a buffer. It must be closed.
type Relay struct {
	response *Response
	buffer   *[bufferSize]byte
	filled   int
	complete bool
}

// NewRelay reads the start of the response. When that fails, nothing has been
// sent to the caller.
func NewRelay(res *Response) (*Relay, error) {
	r := &Relay{response: res, buffer: bufferPool.Get().(*[bufferSize]byte)}
	if err := r.fill(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// fill reads until the buffer is full or the response ends. If the declared
// length of the response exceeds the buffer, it makes only one read.
func (r *Relay) fill() error {
	for r.filled < bufferSize {
		n, err := r.response.Body.Read(r.buffer[r.filled:])
		r.filled += n
		if errors.Is(err, io.EOF) {
			r.complete = true
			return nil
		}
		if err != nil {
			return err
		}
		if r.response.Length > bufferSize {
			return nil
		}
	}
	return nil
}

// Complete reports whether the response has been read to its end.
func (r *Relay) Complete() bool { return r.complete }

// Status returns the status code of the response.
func (r *Relay) Status() int { return r.response.Status }

// Header returns the header of the response.
func (r *Relay) Header() http.Header { return r.response.Header }

// Bytes returns the start of the body, as read by NewRelay.
func (r *Relay) Bytes() []byte { return r.buffer[:r.filled] }

// Close closes the body of the response and releases the buffer.
func (r *Relay) Close() {
	r.response.Body.Close()
	if r.buffer != nil {
		bufferPool.Put(r.buffer)
		r.buffer = nil
	}
}

// Write sends the response to the caller. When it fails, the caller's
// connection must be aborted, because part of the response may have been sent.
// The error is of KindUnknown when reading from the upstream failed, and of
// KindCanceled when writing to the caller failed.
func (r *Relay) Write(w http.ResponseWriter) error {
	copyHeader(w.Header(), r.response.Header)
	r.setFraming(w.Header())
	w.WriteHeader(r.response.Status)
	ctl := http.NewResponseController(w)
	if err := writeChunk(w, ctl, r.Bytes()); err != nil {
		return err
	}
	if !r.complete {
		if err := r.stream(w, ctl); err != nil {
			return err
		}
	}
	r.setTrailers(w.Header())
	return flushAndClearDeadline(ctl)
}

// flushAndClearDeadline sends buffered data and clears the write deadline, which
// would otherwise apply to the next request on the connection.
func flushAndClearDeadline(ctl *http.ResponseController) error {
	if err := ctl.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return cakind.Wrap(cakind.KindCanceled, err, "writing the response to the caller failed")
	}
	_ = ctl.SetWriteDeadline(time.Time{})
	return nil
}

func (r *Relay) setFraming(h http.Header) {
	if len(r.response.Trailer) > 0 {
		h.Del("Content-Length")
		for k := range r.response.Trailer {
			h.Add("Trailer", k)
		}
		return
	}
	switch {
	case r.complete && bodyAllowed(r.response.Status):
		h.Set("Content-Length", strconv.Itoa(r.filled))
	case r.response.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(r.response.Length, 10))
	}
}

func (r *Relay) setTrailers(h http.Header) {
	for k, values := range r.response.Trailer {
		h[k] = values
	}
}

func (r *Relay) stream(w http.ResponseWriter, ctl *http.ResponseController) error {
	for {
		n, err := r.response.Body.Read(r.buffer[:])
		if n > 0 {
			if werr := writeChunk(w, ctl, r.buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return cakind.Wrap(cakind.KindUnknown, err, "reading the response from the upstream failed")
		}
		// A short read means that the upstream produces data slowly, so it is
		// sent on at once.
		if n < bufferSize/4 {
			if ferr := ctl.Flush(); ferr != nil {
				return cakind.Wrap(cakind.KindCanceled, ferr, "writing the response to the caller failed")
			}
		}
	}
}

func writeChunk(w io.Writer, ctl *http.ResponseController, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	// Connections support deadlines. The error is ignored because the writers of
	// tests may not.
	_ = ctl.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := w.Write(b); err != nil {
		return cakind.Wrap(cakind.KindCanceled, err, "writing the response to the caller failed")
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
