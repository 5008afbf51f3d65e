package cadispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
	"celeryarch.example/celeryarch/internal/request/caforward"
)

const (
	defaultDeadline = 30 * time.Second
	maxDeadline     = 10 * time.Minute
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 64 << 20
	// maxBufferedBytes is the maximum size of a body that is buffered whole, so
	// that a retry can send it again.
	maxBufferedBytes = 16 << 10
	// prefixTimeout bounds the time in which a caller must send the buffered
	// part of the body.
	prefixTimeout = 10 * time.Second
	maxKeyBytes   = 255
)

// call is the state of one request of a caller, across all its attempts.
type call struct {
	team       cawork.TeamName
	key        string
	idempotent bool
	arrived    time.Time
	deadline   time.Time
	header     http.Header
	query      string
	// prefix is the buffered start of the body. If rest is nil, it is the whole
	// body.
	prefix []byte
	rest   io.Reader
	length int64
	// tried lists the upstreams of all attempts so far.
	tried    []cawork.UpstreamID
	attempts int
	// notStarted counts the attempts known not to have started.
	notStarted int
	// maxAttempts bounds the attempts that may have started. Zero means no
	// bound.
	maxAttempts int
	// mayHaveRun is set when an attempt had an unknown outcome, hasRun when an
	// attempt is known to have run.
	mayHaveRun bool
	hasRun     bool
	// session is the claim on the idempotency key, nil when the call has no key
	// or its outcome has been stored.
	session *cadedupe.Session
}

// newCall validates the header of a request and reads the start of its body.
func newCall(w http.ResponseWriter, r *http.Request, team cawork.TeamName, now time.Time) (*call, error) {
	c := &call{
		team:    team,
		key:     r.Header.Get(caforward.HeaderIdempotencyKey),
		arrived: now,
		header:  r.Header,
		query:   r.URL.RawQuery,
		length:  r.ContentLength,
	}
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunked encoding, so that a caller could not detect a
		// truncated response.
		return nil, cakind.New(cakind.KindInvalid, "HTTP/1.1 is required")
	}
	if len(c.key) > maxKeyBytes {
		return nil, cakind.New(cakind.KindInvalid, "the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	if r.ContentLength > maxBodyBytes {
		return nil, cakind.New(cakind.KindTooLarge, "the body is longer than %d bytes", maxBodyBytes)
	}
	if err := c.readOptions(r.Header, now); err != nil {
		return nil, err
	}
	return c, c.readPrefix(w, r)
}

// readOptions reads the deadline and the idempotency mark from the header.
func (c *call) readOptions(h http.Header, now time.Time) error {
	c.deadline = now.Add(defaultDeadline)
	if v := h.Get(caplatform.HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return cakind.New(cakind.KindInvalid, "%s must be a positive number of milliseconds", caplatform.HeaderDeadline)
		}
		c.deadline = now.Add(min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline))
	}
	if v := h.Get(caplatform.HeaderIdempotent); v != "" {
		idempotent, err := strconv.ParseBool(v)
		if err != nil {
			return cakind.New(cakind.KindInvalid, "%s must be true or false", caplatform.HeaderIdempotent)
		}
		c.idempotent = idempotent
	}
	return nil
}

// readPrefix buffers the body up to maxBufferedBytes. It runs before the wait
// for a slot, because net/http detects that a caller has disconnected only once
// the body has been read.
func (c *call) readPrefix(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	ctl := http.NewResponseController(w)
	_ = ctl.SetReadDeadline(time.Now().Add(prefixTimeout))
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	size := int64(maxBufferedBytes + 1)
	if r.ContentLength > 0 {
		size = min(r.ContentLength, size)
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(body, buf)
	c.prefix = buf[:n]
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		return cakind.Wrap(cakind.KindInvalid, err, "read the body")
	}
	if r.ContentLength > 0 && int64(n) < size {
		return cakind.New(cakind.KindInvalid, "the body is shorter than its Content-Length")
	}
	if int64(n) > maxBufferedBytes {
		c.rest = body
		// An upstream may respond before it has read the body. Without full
		// duplex, net/http would read the rest of the body before it sends the
		// response.
		_ = ctl.EnableFullDuplex()
		return ctl.SetReadDeadline(c.deadline)
	}
	c.length = int64(n)
	_ = ctl.SetReadDeadline(time.Time{})
	return nil
}

// trackAttemptError records whether the attempt that ended with err ran, may
// have run or did not start.
func (c *call) trackAttemptError(err error) {
	if cakind.Of(err) == cakind.KindNotStarted {
		c.notStarted++
	}
	switch OutcomeOf(cakind.Of(err)) {
	case cawork.OutcomeUnknown:
		c.mayHaveRun = true
	case cawork.OutcomeFailed:
		c.hasRun = true
	}
}

// finalError turns the error of the last attempt into the error for the caller,
// which covers all attempts: work that ran in an earlier attempt is never
// reported as not run.
func (c *call) finalError(err error) error {
	kind := cakind.Of(err)
	switch {
	case c.mayHaveRun && OutcomeOf(kind) != cawork.OutcomeUnknown:
		kind = cakind.KindUnknown
	case c.hasRun && OutcomeOf(kind) == cawork.OutcomeNotRun:
		kind = cakind.KindFailed
	}
	retryAfter := cakind.RetryAfterOf(err)
	// The caller may safely resubmit these requests, whatever the outcome of the
	// attempts.
	if retryAfter == 0 && (c.idempotent || c.key != "") {
		retryAfter = cakind.DefaultRetryAfter
	}
	if kind == cakind.Of(err) && retryAfter == cakind.RetryAfterOf(err) {
		return err
	}
	return cakind.Wrap(kind, err, "after %d attempts", c.attempts).WithRetryAfter(retryAfter)
}

// retryableAfter reports whether the request may be sent again after an attempt
// that ended with an error of kind k.
func (c *call) retryableAfter(k cakind.Kind) bool {
	switch {
	case c.attempts == 0 || !c.bodyBuffered():
		return false
	case k == cakind.KindNotStarted:
		return true
	}
	if c.maxAttempts > 0 && c.attempts-c.notStarted >= c.maxAttempts {
		return false
	}
	return c.idempotent && (k == cakind.KindUnknown || k == cakind.KindFailed)
}

// bodyBuffered reports whether the whole body is buffered, so that it can be
// sent again.
func (c *call) bodyBuffered() bool { return c.rest == nil }

// requestContext returns the context for the attempts of the request. It does
// not carry the deadline of the request: the tick expires all waiting requests
// together, which avoids a timer for each. A request with an idempotency key
// that runs at most once continues after its caller disconnects, so that a
// second submission receives the outcome.
func (c *call) requestContext(r *http.Request) context.Context {
	if c.key != "" && !c.idempotent && c.bodyBuffered() {
		return context.WithoutCancel(r.Context())
	}
	return r.Context()
}
