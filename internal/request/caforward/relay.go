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
	// wholeSize is the length of an answer in bytes up to which it is read
	// whole before any of it goes to the caller, so that a slow caller does
	// not hold the slot.
	wholeSize = 32 << 10
	// BufferBytes is the memory of a Reply.
	BufferBytes = wholeSize
	// stallTimeout bounds the time in which a caller takes one buffer.
	stallTimeout = 20 * time.Second
)

var buffers = sync.Pool{New: func() any { return new([wholeSize]byte) }}

// Reply is an answer on its way to the caller. Close gives its buffer back.
type Reply struct {
	answer *Answer
	buffer *[wholeSize]byte
	filled int
	whole  bool
}

// NewReply reads the start of the answer. It fails when the answer is cut
// within it; nothing has gone to the caller then.
func NewReply(a *Answer) (*Reply, error) {
	p := &Reply{answer: a, buffer: buffers.Get().(*[wholeSize]byte)}
	if err := p.fill(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// fill reads until the buffer is full, the answer ends or, for an answer that
// does not fit, its first bytes have come.
func (p *Reply) fill() error {
	for p.filled < wholeSize {
		n, err := p.answer.Body.Read(p.buffer[p.filled:])
		p.filled += n
		if errors.Is(err, io.EOF) {
			p.whole = true
			return nil
		}
		if err != nil {
			return err
		}
		if p.answer.Length > wholeSize {
			return nil
		}
	}
	return nil
}

// Whole reports whether the whole answer has been read.
func (p *Reply) Whole() bool { return p.whole }

// Status returns the status of the answer.
func (p *Reply) Status() int { return p.answer.Status }

// Header returns the header of the answer.
func (p *Reply) Header() http.Header { return p.answer.Header }

// Bytes returns the part of the answer that has been read so far.
func (p *Reply) Bytes() []byte { return p.buffer[:p.filled] }

// Close ends the answer.
func (p *Reply) Close() {
	p.answer.Body.Close()
	if p.buffer != nil {
		buffers.Put(p.buffer)
		p.buffer = nil
	}
}

// Write sends the answer to the caller. When it fails, the caller's connection
// must be aborted, because part of the answer may have been sent. The error is
// of KindUnknown when the upstream cut the answer, and of KindCanceled when
// the caller did not take it.
func (p *Reply) Write(w http.ResponseWriter) error {
	copyHeader(w.Header(), p.answer.Header)
	p.announce(w.Header())
	w.WriteHeader(p.answer.Status)
	ctl := http.NewResponseController(w)
	if err := send(w, ctl, p.Bytes()); err != nil {
		return err
	}
	if !p.whole {
		if err := p.stream(w, ctl); err != nil {
			return err
		}
	}
	p.trailers(w.Header())
	return finish(ctl)
}

// finish sends what is buffered and ends the deadline, which would otherwise
// hold for the next request on the connection.
func finish(ctl *http.ResponseController) error {
	if err := ctl.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return cakind.Wrap(cakind.KindCanceled, err, "the caller took no more")
	}
	_ = ctl.SetWriteDeadline(time.Time{})
	return nil
}

func (p *Reply) announce(h http.Header) {
	if len(p.answer.Trailer) > 0 {
		h.Del("Content-Length")
		for k := range p.answer.Trailer {
			h.Add("Trailer", k)
		}
		return
	}
	switch {
	case p.whole && bodyAllowed(p.answer.Status):
		h.Set("Content-Length", strconv.Itoa(p.filled))
	case p.answer.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(p.answer.Length, 10))
	}
}

func (p *Reply) trailers(h http.Header) {
	for k, values := range p.answer.Trailer {
		h[k] = values
	}
}

func (p *Reply) stream(w http.ResponseWriter, ctl *http.ResponseController) error {
	for {
		n, err := p.answer.Body.Read(p.buffer[:])
		if n > 0 {
			if werr := send(w, ctl, p.buffer[:n]); werr != nil {
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
		if n < wholeSize/4 {
			if ferr := ctl.Flush(); ferr != nil {
				return cakind.Wrap(cakind.KindCanceled, ferr, "the caller took no more")
			}
		}
	}
}

func send(w io.Writer, ctl *http.ResponseController, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	// Writers of tests have no deadline; the bound is that of connections.
	_ = ctl.SetWriteDeadline(time.Now().Add(stallTimeout))
	if _, err := w.Write(b); err != nil {
		return cakind.Wrap(cakind.KindCanceled, err, "the caller took no more")
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
