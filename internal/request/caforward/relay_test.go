package caforward_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/request/caforward"
)

// caller records a response and the write deadline of its connection.
type caller struct {
	*httptest.ResponseRecorder
	deadline     time.Time
	disconnected bool
}

func newCaller() *caller { return &caller{ResponseRecorder: httptest.NewRecorder()} }

func (c *caller) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *caller) Write(p []byte) (int, error) {
	if c.disconnected {
		return 0, errors.New("connection closed")
	}
	return c.ResponseRecorder.Write(p)
}

func newResponse(body io.Reader, length int64) *caforward.Response {
	return &caforward.Response{
		Status: http.StatusOK,
		Header: http.Header{"X-Kept": {"1"}, "Connection": {"X-Dropped"}, "X-Dropped": {"1"}},
		Body:   io.NopCloser(body),
		Length: length,
	}
}

// Responses below and above the size of the buffer are forwarded without their
// hop-by-hop headers, and leave no write deadline on the connection.
func TestRelayForwardsResponse(t *testing.T) {
	for _, size := range []int{0, 10, 100_000} {
		body := strings.Repeat("x", size)
		r, err := caforward.NewRelay(newResponse(strings.NewReader(body), int64(size)))
		if err != nil {
			t.Fatal(err)
		}
		c := newCaller()
		if err := r.Write(c); err != nil {
			t.Fatal(err)
		}
		r.Close()
		if diff := cmp.Diff(body, c.Body.String()); diff != "" {
			t.Errorf("body of %d bytes (-want +got):\n%s", size, diff)
		}
		got := []string{c.Header().Get("X-Kept"), c.Header().Get("X-Dropped")}
		if diff := cmp.Diff([]string{"1", ""}, got); diff != "" {
			t.Errorf("header (-want +got):\n%s", diff)
		}
		if !c.deadline.IsZero() {
			t.Error("the write deadline was not cleared for the next request")
		}
	}
}

// A failure to read from the upstream and a failure to write to the caller have
// different error kinds, because only the first counts against the upstream.
func TestRelayDistinguishesUpstreamAndCallerErrors(t *testing.T) {
	truncated := io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), iotest.ErrReader(errors.New("connection reset")))
	r, err := caforward.NewRelay(newResponse(truncated, 200_000))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(cakind.KindUnknown, cakind.Of(r.Write(newCaller()))); diff != "" {
		t.Errorf("read error from the upstream (-want +got):\n%s", diff)
	}
	if _, err := caforward.NewRelay(newResponse(iotest.ErrReader(errors.New("connection reset")), 10)); err == nil {
		t.Error("no error although the first read failed")
	}
	r, _ = caforward.NewRelay(newResponse(strings.NewReader("short"), 5))
	c := newCaller()
	c.disconnected = true
	if diff := cmp.Diff(cakind.KindCanceled, cakind.Of(r.Write(c))); diff != "" {
		t.Errorf("write error to the caller (-want +got):\n%s", diff)
	}
}
