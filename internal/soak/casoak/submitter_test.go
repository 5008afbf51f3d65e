package casoak

import (
	"math/rand"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/soak/caconn"
)

// TestCallersGiveUpWhileNodesAreDown guards against callers that have given up when the nodes are back, so
// that no load waits for them.
func TestCallersGiveUpWhileNodesAreDown(t *testing.T) {
	l := newOutcomeLog()
	c := &cell{isPatient: true, timer: catimer.NewService(), transport: &caconn.Transport{}, nodes: []*node{{name: "node", ip: loopbackIP(1, 0)}}}
	t.Cleanup(func() {
		for _, s := range c.servers {
			_ = s.Close()
		}
	})
	calls := submitter{cell: c, outcomes: l, caller: c.newCaller(teamKey), queue: queueSpec(), random: rand.New(rand.NewSource(1))}
	back := time.AfterFunc((maxAttempts+1)*retryDelay, func() {
		err := c.serve(c.nodes[0].ip, portFront, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
		if err != nil {
			t.Error(err)
		}
	})
	defer back.Stop()
	if !calls.submit(t.Context(), caspec.Submission{ID: "j"}) {
		t.Error("the job was not accepted")
	}
	if diff := cmp.Diff(map[cawork.JobID]outcome{"j": outcomeAccepted}, l.snapshot()); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
