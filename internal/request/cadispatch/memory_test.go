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

// answers counts the answers by status and outcome.
type answers struct {
	mu     sync.Mutex
	counts map[seen]int
}

func (a *answers) add(s seen) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil {
		a.counts = map[seen]int{}
	}
	a.counts[s]++
	return a.counts[s]
}

// At the bound of its memory an entry refuses at once, truthfully, and serves
// again when memory is free.
func TestMemoryBoundRefuses(t *testing.T) {
	// A request with a body of 16 KiB counts for 44 KiB, and all together may
	// take three quarters of 1 MiB.
	const requests, fitting = 60, 17
	open := make(chan struct{})
	up := newStandin(t, nil)
	up.set(func(w http.ResponseWriter, r *http.Request) {
		up.ran(r)
		<-open
		echo(w, r)
	})
	e := newEntry(t, func(c *cadispatch.Config) { c.MaxBytes = 1 << 20 })
	e.PutUpstream(up.upstream("u1"))
	body := strings.Repeat("0123456789abcdef", 1<<10)
	var got answers
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			res, text := e.post(t, body, "X-Work", strconv.Itoa(i))
			if text == body {
				text = "whole"
			}
			if res.StatusCode == http.StatusTooManyRequests && res.Header.Get("Retry-After") == "" {
				t.Error("a refusal without Retry-After")
			}
			if n := got.add(seenOf(res, text)); res.StatusCode == http.StatusTooManyRequests && n == requests-fitting {
				close(open)
			}
		})
	}
	all.Wait()
	want := map[seen]int{
		{http.StatusOK, "done", "whole"}:            fitting,
		{http.StatusTooManyRequests, "not_run", ""}: requests - fitting,
	}
	if diff := cmp.Diff(want, got.counts); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(fitting, len(up.counts())); diff != "" {
		t.Errorf("requests that ran (-want +got):\n%s", diff)
	}
	if res, _ := e.post(t, body); res.StatusCode != http.StatusOK {
		t.Errorf("status %d when memory is free again", res.StatusCode)
	}
}

// Under the least memory that serves, requests wait for it, and each makes
// progress, also beside callers that hang up.
func TestMemoryBoundNeverStops(t *testing.T) {
	// A request takes 28 KiB, and 24 KiB more at an upstream.
	const mostAtUpstream = 3
	up := newStandin(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		echo(w, r)
	})
	e := newEntry(t, func(c *cadispatch.Config) { c.MaxBytes = 192 << 10 })
	e.PutUpstream(up.upstream("u1"))
	sendUntilServed(t, e, 0)
	// An upstream may notice late that a caller has hung up, so that it tells
	// of the bound only before.
	if up.peak() > mostAtUpstream {
		t.Errorf("%d requests at the upstream, which the memory does not allow", up.peak())
	}
	sendUntilServed(t, e, 4)
}

// sendUntilServed sends requests of many callers, each until it is served. One
// of hangUps, unless that is zero, is given up instead.
func sendUntilServed(t *testing.T, e *entry, hangUps int) {
	const callers, requests = 20, 5
	var all sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		all.Go(func() {
			for range requests {
				if hangUps > 0 && random.IntN(hangUps) == 0 {
					hangUp(t, e, time.Duration(random.IntN(2000))*time.Microsecond)
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

// hangUp sends a request and hangs up after a time.
func hangUp(t *testing.T, e *entry, after time.Duration) {
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
		t.Errorf("hang up: %v", err)
	}
}
