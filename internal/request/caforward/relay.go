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
	// bufferSize is the length of an answer in bytes up to which it is read
	// whole before any of it goes to the caller, so that a slow caller does
	// not hold the slot.
	bufferSize = 32 << 10
	// BufferBytes is the memory of a Reply.
	BufferBytes = bufferSize
	// callerWriteTimeout bounds the time in which a caller takes one buffer.
	callerWriteTimeout = 20 * time.Second
)

var bufferPool = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Reply is an answer on its way to the caller. Close gives its buffer back.
type Reply struct {
	response *Answer
	buffer   *[bufferSize]byte
	filled   int
	complete bool
}

// NewReply reads the start of the answer. It fails when the answer is cut
// within it; nothing has gone to the caller then.
func NewReply(res *Answer) (*Reply, error) {
	r := &Reply{response: res, buffer: bufferPool.Get().(*[bufferSize]byte)}
	if err := r.fill(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// fill reads until the buffer is full, the answer ends or, for an answer that
// does not fit, its first bytes have come.
func (r *Reply) fill() error {
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

// Whole reports whether the whole answer has been read.
func (r *Reply) Whole() bool { return r.complete }

// Status returns the status of the answer.
func (r *Reply) Status() int { return r.response.Status }

// Header returns the header of the answer.
func (r *Reply) Header() http.Header { return r.response.Header }

// Bytes returns the part of the answer that has been read so far.
func (r *Reply) Bytes() []byte { return r.buffer[:r.filled] }

// Close ends the answer.
func (r *Reply) Close() {
	r.response.Body.Close()
	if r.buffer != nil {
		bufferPool.Put(r.buffer)
		r.buffer = nil
	}
}

// Write sends the answer to the caller. When it fails, the caller's connection
// must be aborted, because part of the answer may have been sent. The error is
// of KindUnknown when the upstream cut the answer, and of KindCanceled when
// the caller did not take it.
func (r *Reply) Write(w http.ResponseWriter) error {
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

// flushAndClearDeadline sends what is buffered and ends the deadline, which would otherwise
// hold for the next request on the connection.
func flushAndClearDeadline(ctl *http.ResponseController) error {
	if err := ctl.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return cakind.Wrap(cakind.KindCanceled, err, "the caller took no more")
	}
	_ = ctl.SetWriteDeadline(time.Time{})
	return nil
}

func (r *Reply) setFraming(h http.Header) {
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

func (r *Reply) setTrailers(h http.Header) {
	for k, values := range r.response.Trailer {
		h[k] = values
	}
}

func (r *Reply) stream(w http.ResponseWriter, ctl *http.ResponseController) error {
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
			return cakind.Wrap(cakind.KindUnknown, err, "the answer was cut")
		}
		// A short read means that the upstream produces slowly; what has come
		// goes on at once.
		if n < bufferSize/4 {
			if ferr := ctl.Flush(); ferr != nil {
				return cakind.Wrap(cakind.KindCanceled, ferr, "the caller took no more")
			}
		}
	}
}

func writeChunk(w io.Writer, ctl *http.ResponseController, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	// Writers of tests have no deadline; the bound is that of connections.
	_ = ctl.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := w.Write(b); err != nil {
		return cakind.Wrap(cakind.KindCanceled, err, "the caller took no more")
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
