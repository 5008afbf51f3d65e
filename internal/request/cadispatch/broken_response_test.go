package cadispatch_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

// stoppedClock is a clock on which no time passes.
type stoppedClock struct{ now time.Time }

func (c stoppedClock) Now() time.Time { return c.now }

func (stoppedClock) Every(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

func (stoppedClock) After(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

func withStoppedClock(c *cadispatch.Config) {
	c.Timer = catimer.NewServiceWithClock(stoppedClock{time.Now()})
}

// An upstream may still run a request after its response broke off or was given
// up. If the slot were free at once, the next request would exceed the slots of
// the upstream. No time passes in this test, so that such a slot stays in use.
func TestSlotOfIncompleteResponseIsNotFreedAtOnce(t *testing.T) {
	const warmUpRequests = 20
	tests := map[string]struct {
		handler    http.HandlerFunc
		idempotent string
		wantFree   int
	}{
		"complete":         {echo, "false", 8},
		"complete failure": {respondStatus(http.StatusInternalServerError, false), "false", 8},
		"connection reset before the response": {
			func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }, "false", 7,
		},
		"connection closed in a small response":    {abortAfter(10, 5, false), "false", 7},
		"connection closed in a streamed response": {abortAfter(2<<20, 1<<20, false), "false", 7},
		"response to another attempt": {
			func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(caplatform.HeaderAttempt, "another")
				writePartialResponse(w, 5, 10)
				<-r.Context().Done()
			}, "false", 7,
		},
		"streamed failure that is retried": {failFirst(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "2097152")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write(make([]byte, 64<<10))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}), "true", 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			up := newFakeUpstream(t, echo)
			e := newEntry(t, withStoppedClock)
			e.PutUpstream(up.upstream("u1"))
			for range warmUpRequests {
				e.post(t, "work", caplatform.HeaderIdempotent, "true")
			}
			up.setHandler(tt.handler)
			if res, err := e.send("work", caplatform.HeaderIdempotent, tt.idempotent); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
			if diff := cmp.Diff(tt.wantFree, e.FreeSlots()); diff != "" {
				t.Errorf("free slots (-want +got):\n%s", diff)
			}
		})
	}
}

// failFirst returns a handler that serves the first request by fail and echoes
// the others.
func failFirst(fail http.HandlerFunc) http.HandlerFunc {
	var requests atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			fail(w, r)
			return
		}
		echo(w, r)
	}
}
