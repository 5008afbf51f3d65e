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
	deadline time.Time
	gone     bool
}

func newCaller() *caller { return &caller{ResponseRecorder: httptest.NewRecorder()} }

func (c *caller) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *caller) Write(p []byte) (int, error) {
	if c.gone {
		return 0, errors.New("gone")
	}
	return c.ResponseRecorder.Write(p)
}

func answer(body io.Reader, length int64) *caforward.Answer {
	return &caforward.Answer{
		Status: http.StatusOK,
		Header: http.Header{"X-Kept": {"1"}, "Connection": {"X-Dropped"}, "X-Dropped": {"1"}},
		Body:   io.NopCloser(body),
		Length: length,
	}
}

func TestReplyPassesTheAnswerOn(t *testing.T) {
	for _, size := range []int{0, 10, 100_000} {
		body := strings.Repeat("x", size)
		p, err := caforward.NewReply(answer(strings.NewReader(body), int64(size)))
		if err != nil {
			t.Fatal(err)
		}
		c := newCaller()
		if err := p.Write(c); err != nil {
			t.Fatal(err)
		}
		p.Close()
		if diff := cmp.Diff(body, c.Body.String()); diff != "" {
			t.Errorf("body of %d bytes (-want +got):\n%s", size, diff)
		}
		kept := []string{c.Header().Get("X-Kept"), c.Header().Get("X-Dropped")}
		if diff := cmp.Diff([]string{"1", ""}, kept); diff != "" {
			t.Errorf("header (-want +got):\n%s", diff)
		}
		if !c.deadline.IsZero() {
			t.Error("the deadline of the answer holds for the next request")
		}
	}
}

func TestReplyTellsWhoFailed(t *testing.T) {
	cut := io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), iotest.ErrReader(errors.New("cut")))
	p, err := caforward.NewReply(answer(cut, 200_000))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(cakind.KindUnknown, cakind.Of(p.Write(newCaller()))); diff != "" {
		t.Errorf("cut by the upstream (-want +got):\n%s", diff)
	}
	if _, err := caforward.NewReply(answer(iotest.ErrReader(errors.New("cut")), 10)); err == nil {
		t.Error("an answer that is cut at once is accepted")
	}
	p, _ = caforward.NewReply(answer(strings.NewReader("short"), 5))
	c := newCaller()
	c.gone = true
	if diff := cmp.Diff(cakind.KindCanceled, cakind.Of(p.Write(c))); diff != "" {
		t.Errorf("not taken by the caller (-want +got):\n%s", diff)
	}
}
