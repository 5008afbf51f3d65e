package cadispatch_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

// responseCounts counts equal responses.
type responseCounts struct {
	mu     sync.Mutex
	counts map[response]int
}

func (a *responseCounts) add(s response) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil {
		a.counts = map[response]int{}
	}
	a.counts[s]++
	return a.counts[s]
}

// At its memory limit an entry refuses requests at once and reports them as not
// run. It serves requests again when memory is free.
func TestMemoryLimitRejectsRequests(t *testing.T) {
	// A request with a body of 16 KiB takes 44 KiB, and all requests together
	// may take three quarters of 1 MiB.
	const requests, admitted = 60, 17
	unblock := make(chan struct{})
	up := newFakeUpstream(t, nil)
	up.setHandler(func(w http.ResponseWriter, r *http.Request) {
		up.recordRun(r)
		<-unblock
		echo(w, r)
	})
	e := newEntry(t, func(c *cadispatch.Config) { c.MaxMemoryBytes = 1 << 20 })
	e.PutUpstream(up.upstream("u1"))
	body := strings.Repeat("0123456789abcdef", 1<<10)
	var got responseCounts
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			res, text := e.post(t, body, "X-Work", strconv.Itoa(i))
			if text == body {
				text = "complete"
			}
			if res.StatusCode == http.StatusTooManyRequests && res.Header.Get("Retry-After") == "" {
				t.Error("refused without Retry-After")
			}
			if n := got.add(responseOf(res, text)); res.StatusCode == http.StatusTooManyRequests && n == requests-admitted {
				close(unblock)
			}
		})
	}
	all.Wait()
	want := map[response]int{
		{http.StatusOK, "done", "complete"}:         admitted,
		{http.StatusTooManyRequests, "not_run", ""}: requests - admitted,
	}
	if diff := cmp.Diff(want, got.counts); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(admitted, len(up.runCounts())); diff != "" {
		t.Errorf("requests that ran (-want +got):\n%s", diff)
	}
	if res, _ := e.post(t, body); res.StatusCode != http.StatusOK {
		t.Errorf("status %d after memory was released", res.StatusCode)
	}
}

// At the minimum memory limit, requests wait for memory and all of them are
// served, also while other callers disconnect.
func TestMinimumMemoryMakesProgress(t *testing.T) {
	// A request takes 28 KiB, and an attempt takes 24 KiB more.
	const maxAtUpstream = 3
	up := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		echo(w, r)
	})
	e := newEntry(t, func(c *cadispatch.Config) { c.MaxMemoryBytes = 192 << 10 })
	e.PutUpstream(up.upstream("u1"))
	sendUntilServed(t, e, 0)
	// This is checked before any caller disconnects: an upstream may detect a
	// disconnect late and then count more concurrent requests.
	if up.peakInUse() > maxAtUpstream {
		t.Errorf("%d concurrent requests at the upstream, more than the memory limit allows", up.peakInUse())
	}
	sendUntilServed(t, e, 4)
}

// sendUntilServed sends the requests of many callers and repeats each until it
// is served. One request in disconnectOneIn is disconnected instead, none if it
// is zero.
func sendUntilServed(t *testing.T, e *entry, disconnectOneIn int) {
	const callers, requests = 20, 5
	var all sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		all.Go(func() {
			for range requests {
				if disconnectOneIn > 0 && random.IntN(disconnectOneIn) == 0 {
					sendAndDisconnect(t, e, time.Duration(random.IntN(2000))*time.Microsecond)
					continue
				}
				for served := false; !served; {
					res, _ := e.post(t, "work")
					served = res.StatusCode == http.StatusOK
				}
			}
		})
	}
	all.Wait()
}

// sendAndDisconnect sends a request and disconnects after a delay.
func sendAndDisconnect(t *testing.T, e *entry, after time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), after)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL, strings.NewReader("work"))
	if err != nil {
		t.Error(err)
		return
	}
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		res.Body.Close()
		return
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("send and disconnect: %v", err)
	}
}
