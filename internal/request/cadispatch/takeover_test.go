package cadispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/caroute"
	"celeryarch.example/celeryarch/internal/standin/castandup"
)

// agent is a stand-in upstream with its agent and a clock that the test
// advances.
type agent struct {
	*castandup.Upstream
	server *httptest.Server
	mu     sync.Mutex
	now    time.Time
}

func newAgent(t *testing.T) *agent {
	a := &agent{now: time.Now()}
	a.Upstream = castandup.NewUpstream(a.clock, caplatform.VM{ID: "u1", Slots: 8})
	a.server = httptest.NewServer(a.Upstream)
	t.Cleanup(a.server.Close)
	return a
}

func (a *agent) clock() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now
}

func (a *agent) advance(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.now = a.now.Add(d)
}

const agentTTL = time.Minute

// claim makes the VM the owner and returns the upstream as the claim describes
// it.
func (a *agent) claim(t *testing.T, vm cawork.VMID) caroute.Upstream {
	t.Helper()
	c, err := a.Claim(context.Background(), caplatform.Claim{Holder: vm, TTL: agentTTL})
	if err != nil || !c.Granted {
		t.Fatalf("claim of %s: %+v, %v", vm, c, err)
	}
	return a.upstream(c.Ownership.Epoch, c.FormerRequests)
}

// heartbeat sends a heartbeat of the owner and returns the upstream as the
// response describes it.
func (a *agent) heartbeat(t *testing.T, vm cawork.VMID, epoch caplatform.Epoch) caroute.Upstream {
	t.Helper()
	h, err := a.Heartbeat(context.Background(), caplatform.Heartbeat{Holder: vm, Epoch: epoch, TTL: agentTTL})
	if err != nil {
		t.Fatal(err)
	}
	return a.upstream(epoch, h.FormerRequests)
}

func (a *agent) upstream(epoch caplatform.Epoch, formerRequests int) caroute.Upstream {
	return caroute.Upstream{
		ID: "u1", Zone: "z1", Address: strings.TrimPrefix(a.server.URL, "http://"), Slots: 8, Connections: 64,
		Epoch: epoch, FormerRequests: formerRequests,
	}
}

// The ownership of an upstream expires while all of its slots are in use. The
// new owner must count the requests of the former owner that still run, so that
// it starts only as many requests as slots become free.
func TestNewOwnerCountsRequestsOfFormerOwner(t *testing.T) {
	up := newAgent(t)
	formerOwner, newOwner := newEntry(t, nil), newEntry(t, nil)
	formerOwner.PutUpstream(up.claim(t, "e1"))
	var calls sync.WaitGroup
	post := func(e *entry, body string) {
		calls.Go(func() {
			if res, text := e.post(t, body); res.StatusCode != http.StatusOK {
				t.Errorf("response %d %s", res.StatusCode, text)
			}
		})
	}
	for range 4 {
		post(formerOwner, `{"sleep_ms": 200}`)
		post(formerOwner, `{"sleep_ms": 400}`)
	}
	for up.RequestsRunning() < 8 {
		time.Sleep(time.Millisecond)
	}
	up.advance(2 * agentTTL)
	owned := up.claim(t, "e2")
	newOwner.PutUpstream(owned)
	for range 8 {
		post(newOwner, `{"sleep_ms": 10}`)
	}
	for owned.FormerRequests > 0 {
		time.Sleep(10 * time.Millisecond)
		owned = up.heartbeat(t, "e2", owned.Epoch)
		newOwner.PutUpstream(owned)
	}
	calls.Wait()
	if diff := cmp.Diff(castandup.Violations{}, up.Violations()); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(8, newOwner.FreeSlots()); diff != "" {
		t.Errorf("free slots at the end (-want +got):\n%s", diff)
	}
}
