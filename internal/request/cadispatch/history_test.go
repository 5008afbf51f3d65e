package cadispatch_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

const (
	headerWork  = "X-Work"
	historySeed = 11
)

// chaos is an upstream that does what a seeded source tells it: it serves,
// fails, refuses, hangs up before or after the work, or cuts the answer.
func (s *standin) chaos(random *rand.Rand) http.HandlerFunc {
	var mu sync.Mutex
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		step := random.IntN(20)
		mu.Unlock()
		body, _ := io.ReadAll(r.Body)
		answer := r.Header.Get(headerWork) + " " + string(body)
		switch step {
		case 0:
			w.Header().Set(caplatform.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			s.ran(r)
			panic(http.ErrAbortHandler)
		case 3:
			s.ran(r)
			w.WriteHeader(http.StatusInternalServerError)
		case 4:
			s.ran(r)
			w.Header().Set("Content-Length", fmt.Sprint(len(answer)+1))
			_, _ = w.Write([]byte(answer))
		default:
			s.ran(r)
			_, _ = w.Write([]byte(answer))
		}
	}
}

// submission is one request of the history and what its caller was told.
type submission struct {
	work       string
	idempotent bool
	outcome    string
	body       string
}

// naiveOutcomes are the outcomes that the naive version, which sees every run
// at the upstreams, allows to be told of a request.
func naiveOutcomes(runs int) []string {
	if runs == 0 {
		return []string{"not_run", "unknown"}
	}
	return []string{"done", "failed", "unknown"}
}

// TestHistoryAgainstNaive sends concurrent requests through two entries to
// upstreams that misbehave. It compares what callers were told with the runs
// that the upstreams counted.
func TestHistoryAgainstNaive(t *testing.T) {
	_, entries := newEntries(t, 2, nil)
	var ups []*standin
	for i := range 4 {
		up := newStandin(t, nil)
		up.set(up.chaos(rand.New(rand.NewPCG(historySeed, uint64(i)))))
		entries[i%2].PutUpstream(up.upstream(fmt.Sprint("u", i)))
		ups = append(ups, up)
	}
	const requests = 400
	history := make([]submission, requests)
	var wg sync.WaitGroup
	for worker := range 20 {
		wg.Go(func() {
			for i := worker; i < requests; i += 20 {
				history[i] = entries[i%2].submit(i)
			}
		})
	}
	wg.Wait()
	runs := map[string]int{}
	for _, up := range ups {
		if up.peak() > 8 {
			t.Errorf("%d requests at an upstream of 8 slots", up.peak())
		}
		for work, n := range up.counts() {
			runs[work] += n
		}
	}
	told := map[string]int{}
	for _, s := range history {
		told[s.outcome]++
		s.check(t, runs[s.work])
	}
	if told["done"] < requests/2 {
		t.Errorf("outcomes %v: most requests should be done", told)
	}
}

func (e *entry) submit(i int) submission {
	s := submission{work: fmt.Sprint("w", i), idempotent: i%3 == 0}
	res, err := e.send("body", headerWork, s.work, caplatform.HeaderIdempotent, fmt.Sprint(s.idempotent))
	if err != nil {
		return s
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return s
	}
	s.outcome = res.Header.Get(cadispatch.HeaderOutcome)
	s.body = string(body)
	return s
}

func (s submission) check(t *testing.T, runs int) {
	t.Helper()
	if !s.idempotent && runs > 1 {
		t.Errorf("%s ran %d times", s.work, runs)
	}
	allowed := strings.Join(naiveOutcomes(runs), " ")
	if s.outcome != "" && !strings.Contains(allowed, s.outcome) {
		t.Errorf("%s ran %d times, the caller was told %s", s.work, runs, s.outcome)
	}
	if want := s.work + " body"; s.outcome == "done" && s.body != want {
		t.Errorf("%s got the answer %q, want %q", s.work, s.body, want)
	}
}

// localKeys is the key service of a lone entry.
func localKeys(c *cadispatch.Config) {
	c.Keys = cadedupe.New(cadedupe.Config{
		Self:   cadedupe.Member{ID: c.Self, Incarnation: 1},
		Timer:  c.Timer,
		Logger: c.Logger,
		Bounds: cadedupe.DefaultBounds(),
	})
}

// Submissions under one key, at the same time and later, run once and get the
// same answer.
func TestKeyedRequestsRunOnce(t *testing.T) {
	up := newStandin(t, nil)
	up.set(func(w http.ResponseWriter, r *http.Request) {
		up.ran(r)
		echo(w, r)
	})
	e := newEntry(t, localKeys)
	e.PutUpstream(up.upstream("u1"))
	const keys = 5
	var wg sync.WaitGroup
	for i := range keys * 6 {
		wg.Go(func() {
			work := fmt.Sprint("w", i%keys)
			res, body := e.post(t, work, headerWork, work, "Idempotency-Key", work)
			if body != work || res.Header.Get(cadispatch.HeaderOutcome) != "done" {
				t.Errorf("%s: answer %d %q", work, res.StatusCode, body)
			}
		})
	}
	wg.Wait()
	for work, n := range up.counts() {
		if n != 1 {
			t.Errorf("%s ran %d times", work, n)
		}
	}
	res, _ := e.post(t, "other", "Idempotency-Key", "w0")
	if res.StatusCode != http.StatusConflict {
		t.Errorf("another request under a key: %d", res.StatusCode)
	}
	res, _ = e.post(t, "w0", "Idempotency-Key", "w0")
	if res.Header.Get(cadispatch.HeaderReplayed) != "true" {
		t.Error("the stored answer is not marked")
	}
}

// A caller that hangs up and comes back with its key learns the outcome of the
// request that it left.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	up := newStandin(t, nil)
	up.set(func(w http.ResponseWriter, r *http.Request) {
		up.ran(r)
		close(started)
		<-finish
		echo(w, r)
	})
	e := newEntry(t, localKeys)
	e.PutUpstream(up.upstream("u1"))
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan struct{})
	go func() {
		defer close(left)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL, strings.NewReader("work"))
		req.Header.Set("Idempotency-Key", "k")
		_, _ = http.DefaultClient.Do(req)
	}()
	<-started
	cancel()
	<-left
	close(finish)
	res, body := e.post(t, "work", "Idempotency-Key", "k")
	if diff := cmp.Diff(seen{200, "done", "work"}, seenOf(res, body)); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, up.count()); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
}
