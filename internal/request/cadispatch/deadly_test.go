package cadispatch_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

// TestDeadlyRequestCrashesFewUpstreams guards against a request that crashes each upstream that
// gets it and is sent to one after the other. The retry budget would allow all of them.
func TestDeadlyRequestCrashesFewUpstreams(t *testing.T) {
	const upstreams, warmUpRequests, maxAttempts = 6, 120, 2
	tests := map[string]struct {
		headers []string
		want    int
	}{
		"idempotent":           {[]string{caplatform.HeaderIdempotent, "true"}, maxAttempts},
		"replayable by header": {[]string{caplatform.HeaderIdempotent, "true", "X-Idempotency-Key", "k"}, maxAttempts},
		"not idempotent":       {nil, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, func(c *cadispatch.Config) { c.Policy = c.Policy.WithMaxAttempts(maxAttempts) })
			var crashed atomic.Int64
			for i := range upstreams {
				up := newFakeUpstream(t, echo)
				up.setHandler(func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("X-Work") != "deadly" {
						echo(w, r)
						return
					}
					crashed.Add(1)
					_ = up.server.Listener.Close()
					go up.server.CloseClientConnections()
					panic(http.ErrAbortHandler)
				})
				e.PutUpstream(up.upstream(fmt.Sprint("u", i)))
			}
			for range warmUpRequests {
				e.post(t, "work", caplatform.HeaderIdempotent, "true")
			}
			res, _ := e.post(t, "work", append(test.headers, "X-Work", "deadly")...)
			if diff := cmp.Diff(http.StatusGatewayTimeout, res.StatusCode); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(int64(test.want), crashed.Load()); diff != "" {
				t.Errorf("crashed upstreams (-want +got):\n%s", diff)
			}
		})
	}
}
