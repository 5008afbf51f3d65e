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
	// maxBodyBytes bounds the body of a request in bytes.
	maxBodyBytes = 64 << 20
	// maxBufferedBytes is the length of a body in bytes up to which it is kept, so
	// that it can be sent again.
	maxBufferedBytes = 16 << 10
	// prefixTimeout bounds the time in which a caller sends the kept part.
	prefixTimeout = 10 * time.Second
	maxKeyBytes   = 255
)

// call is one request of a caller.
type call struct {
	team       cawork.TeamName
	key        string
	idempotent bool
	arrived    time.Time
	deadline   time.Time
	header     http.Header
	query      string
	// prefix is the start of the body, the whole body if rest is nil.
	prefix []byte
	rest   io.Reader
	length int64
	// tried lists the upstreams of former attempts.
	tried    []cawork.UpstreamID
	attempts int
	// notStarted counts the attempts that are known not to have started.
	notStarted int
	// maxAttempts bounds the others, zero for no bound.
	maxAttempts int
	// mayHaveRun is set when the end of a former attempt is not known, ran
	// when one is known to have run.
	mayHaveRun bool
	hasRun     bool
	// session holds the idempotency key, nil without one.
	session *cadedupe.Session
}

// newCall reads the header and the start of the body of a request.
func newCall(w http.ResponseWriter, r *http.Request, team cawork.TeamName, now time.Time) (*call, error) {
	c := &call{
		team:    team,
		key:     r.Header.Get(caforward.HeaderKey),
		arrived: now,
		header:  r.Header,
		query:   r.URL.RawQuery,
		length:  r.ContentLength,
	}
	if !r.ProtoAtLeast(1, 1) {
		// An answer over HTTP/1.0 cannot show that it was cut.
		return nil, cakind.New(cakind.KindInvalid, "HTTP/1.1 is required")
	}
	if len(c.key) > maxKeyBytes {
		return nil, cakind.New(cakind.KindInvalid, "idempotency key longer than %d bytes", maxKeyBytes)
	}
	if r.ContentLength > maxBodyBytes {
		return nil, cakind.New(cakind.KindTooLarge, "body longer than %d bytes", maxBodyBytes)
	}
	if err := c.readOptions(r.Header, now); err != nil {
		return nil, err
	}
	return c, c.readPrefix(w, r)
}

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

// readPrefix reads the body up to replaySize. The server notices that a
// caller hangs up only once the body has been read.
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
		return cakind.New(cakind.KindInvalid, "the body is shorter than announced")
	}
	if int64(n) > maxBufferedBytes {
		c.rest = body
		// An upstream may answer before it has read the body. Without this the
		// server would read the rest of the body first.
		_ = ctl.EnableFullDuplex()
		return ctl.SetReadDeadline(c.deadline)
	}
	c.length = int64(n)
	_ = ctl.SetReadDeadline(time.Time{})
	return nil
}

// trackAttemptError remembers what an attempt that ended with an error tells of the work.
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

// finalError returns the error that is true of all attempts together: work that
// ran once is never reported as not run.
func (c *call) finalError(err error) error {
	kind := cakind.Of(err)
	switch {
	case c.mayHaveRun && OutcomeOf(kind) != cawork.OutcomeUnknown:
		kind = cakind.KindUnknown
	case c.hasRun && OutcomeOf(kind) == cawork.OutcomeNotRun:
		kind = cakind.KindFailed
	}
	retryAfter := cakind.RetryAfterOf(err)
	// To come back is safe for these, whatever became of the attempts.
	if retryAfter == 0 && (c.idempotent || c.key != "") {
		retryAfter = cakind.DefaultRetryAfter
	}
	if kind == cakind.Of(err) && retryAfter == cakind.RetryAfterOf(err) {
		return err
	}
	return cakind.Wrap(kind, err, "after %d attempts", c.attempts).WithRetryAfter(retryAfter)
}

// retryableAfter reports whether the request may be sent again after an attempt
// that ended with an error of the kind.
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

// bodyBuffered reports whether the body can be sent once more.
func (c *call) bodyBuffered() bool { return c.rest == nil }

// requestContext returns the context of the request, without its deadline: waiting
// requests are expired together, which spares a timer for each. A request that
// runs at most once under a key goes on when its caller hangs up, so that a
// second submission learns the outcome.
func (c *call) requestContext(r *http.Request) context.Context {
	if c.key != "" && !c.idempotent && c.bodyBuffered() {
		return context.WithoutCancel(r.Context())
	}
	return r.Context()
}
