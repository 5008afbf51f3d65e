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

// caller records an answer and the deadlines of its connection.
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
		return 0, errors.New("gone")
	}
	return c.ResponseRecorder.Write(p)
}

func newResponse(body io.Reader, length int64) *caforward.Answer {
	return &caforward.Answer{
		Status: http.StatusOK,
		Header: http.Header{"X-Kept": {"1"}, "Connection": {"X-Dropped"}, "X-Dropped": {"1"}},
		Body:   io.NopCloser(body),
		Length: length,
	}
}

func TestRelayForwardsResponse(t *testing.T) {
	for _, size := range []int{0, 10, 100_000} {
		body := strings.Repeat("x", size)
		r, err := caforward.NewReply(newResponse(strings.NewReader(body), int64(size)))
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
			t.Error("the deadline of the answer holds for the next request")
		}
	}
}

func TestRelayDistinguishesUpstreamAndCallerErrors(t *testing.T) {
	cut := io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), iotest.ErrReader(errors.New("cut")))
	r, err := caforward.NewReply(newResponse(cut, 200_000))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(cakind.KindUnknown, cakind.Of(r.Write(newCaller()))); diff != "" {
		t.Errorf("cut by the upstream (-want +got):\n%s", diff)
	}
	if _, err := caforward.NewReply(newResponse(iotest.ErrReader(errors.New("cut")), 10)); err == nil {
		t.Error("an answer that is cut at once is accepted")
	}
	r, _ = caforward.NewReply(newResponse(strings.NewReader("short"), 5))
	c := newCaller()
	c.disconnected = true
	if diff := cmp.Diff(cakind.KindCanceled, cakind.Of(r.Write(c))); diff != "" {
		t.Errorf("not taken by the caller (-want +got):\n%s", diff)
	}
}
