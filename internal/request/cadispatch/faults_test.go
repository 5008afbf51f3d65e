package cadispatch_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

const (
	headerWork   = "X-Work"
	faultRunSeed = 11
)

var faultRunSeeds = flag.Int("history.seeds", 3, "number of seeds of TestOutcomesWithResponseFaults")

// randomFaults returns a handler that chooses its behavior at random: it serves
// the request, fails, refuses, aborts the connection before or after the work,
// or truncates the response.
func (s *fakeUpstream) randomFaults(random *rand.Rand) http.HandlerFunc {
	var mu sync.Mutex
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		step := random.IntN(20)
		mu.Unlock()
		body, _ := io.ReadAll(r.Body)
		responseBody := r.Header.Get(headerWork) + " " + string(body)
		switch step {
		case 0:
			w.Header().Set(caplatform.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			s.recordRun(r)
			panic(http.ErrAbortHandler)
		case 3:
			s.recordRun(r)
			w.WriteHeader(http.StatusInternalServerError)
		case 4:
			s.recordRun(r)
			w.Header().Set("Content-Length", fmt.Sprint(len(responseBody)+1))
			_, _ = w.Write([]byte(responseBody))
		default:
			s.recordRun(r)
			_, _ = w.Write([]byte(responseBody))
		}
	}
}

// submission is one request of a faultRun and the result that its caller got.
type submission struct {
	work       string
	idempotent bool
	outcome    string
	body       string
}

// allowedOutcomes returns the outcomes that may be reported for a request that
// ran the given number of times at the upstreams.
func allowedOutcomes(runs int) []string {
	if runs == 0 {
		return []string{"not_run", "unknown"}
	}
	return []string{"done", "failed", "unknown"}
}

// TestOutcomesMatchUpstreamRuns sends concurrent requests through two entries to
// faulty upstreams. It compares the outcomes that callers got with the runs that
// the upstreams counted.
func TestOutcomesMatchUpstreamRuns(t *testing.T) {
	h := faultRun{requests: 400, newHandler: (*fakeUpstream).randomFaults, seed: faultRunSeed}
	h.run(t)
}

// TestOutcomesWithResponseFaults is TestOutcomesMatchUpstreamRuns with upstreams
// that also fail in the middle of responses. It runs once for each seed from 1
// to the value of the flag.
func TestOutcomesWithResponseFaults(t *testing.T) {
	for seed := range *faultRunSeeds {
		t.Run(fmt.Sprint("seed=", seed+1), func(t *testing.T) {
			h := faultRun{
				requests:   100,
				newHandler: (*fakeUpstream).responseFaults,
				seed:       uint64(seed + 1),
				header:     []string{caplatform.HeaderDeadline, "1000"},
			}
			h.run(t)
		})
	}
}

// responseFaults returns a handler that behaves like randomFaults for three of
// four requests. For the others it does the work, and then hangs or closes the
// connection in the middle of the response, responds twice, or responds with the
// ID of another attempt.
func (s *fakeUpstream) responseFaults(random *rand.Rand) http.HandlerFunc {
	// The handler of randomFaults guards its random source with a lock of its
	// own, so that this one needs a separate source.
	steps := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	randomFault := s.randomFaults(random)
	var mu sync.Mutex
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		step := steps.IntN(24)
		mu.Unlock()
		if step > 5 {
			randomFault(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.recordRun(r)
		responseBody := r.Header.Get(headerWork) + " " + string(body)
		switch step {
		case 0:
			writePartialResponse(w, 1, len(responseBody))
			<-r.Context().Done()
		case 1:
			writePartialResponse(w, 64<<10, longResponseBytes)
			<-r.Context().Done()
		case 2:
			writePartialResponse(w, longResponseBytes/2, longResponseBytes)
			resetConnection(w)
		case 3:
			s.respondTwice(w, r, responseBody)
		case 4:
			w.Header().Set(caplatform.HeaderAttempt, "another")
			_, _ = w.Write([]byte(responseBody))
		case 5:
			// The connection is closed one byte before the end of the response.
			w.Header().Set("Connection", "close")
			writePartialResponse(w, len(responseBody)-1, len(responseBody))
		}
	}
}

// longResponseBytes is the length of a response that is streamed.
const longResponseBytes = 2 << 20

// writePartialResponse announces a response body of the length and sends its
// first n bytes.
func writePartialResponse(w http.ResponseWriter, n, length int) {
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = w.Write(make([]byte, n))
	_ = http.NewResponseController(w).Flush()
}

// resetConnection closes the TCP connection with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// respondTwice sends the same complete response twice and keeps the connection
// open for 5 ms. The request ends with the first response, by which the entry
// frees its slot.
func (s *fakeUpstream) respondTwice(w http.ResponseWriter, r *http.Request, body string) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	s.endRequest(r)
	for range 2 {
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			caplatform.HeaderAttempt, r.Header.Get(caplatform.HeaderAttempt), len(body), body)
		_ = buf.Flush()
	}
	time.Sleep(5 * time.Millisecond)
}

// faultRun describes a run of concurrent requests to faulty upstreams.
type faultRun struct {
	requests   int
	newHandler func(*fakeUpstream, *rand.Rand) http.HandlerFunc
	seed       uint64
	// header is sent with each request.
	header []string
}

func (h faultRun) run(t *testing.T) {
	_, entries := newEntries(t, 2, nil)
	var ups []*fakeUpstream
	for i := range 4 {
		up := newFakeUpstream(t, nil)
		up.setHandler(h.newHandler(up, rand.New(rand.NewPCG(h.seed, uint64(i)))))
		entries[i%2].PutUpstream(up.upstream(fmt.Sprint("u", i)))
		ups = append(ups, up)
	}
	submissions := make([]submission, h.requests)
	var wg sync.WaitGroup
	for worker := range 20 {
		wg.Go(func() {
			for i := worker; i < h.requests; i += 20 {
				submissions[i] = entries[i%2].submit(i, h.header...)
			}
		})
	}
	wg.Wait()
	h.check(t, submissions, ups)
}

// check compares the outcomes that callers got with the runs at the upstreams.
func (h faultRun) check(t *testing.T, submissions []submission, ups []*fakeUpstream) {
	t.Helper()
	runs := map[string]int{}
	for _, up := range ups {
		if up.peakInUse() > 8 {
			t.Errorf("%d concurrent requests at an upstream of 8 slots", up.peakInUse())
		}
		for work, n := range up.runCounts() {
			runs[work] += n
		}
	}
	outcomes := map[string]int{}
	for _, s := range submissions {
		outcomes[s.outcome]++
		s.check(t, runs[s.work])
	}
	if outcomes["done"] < h.requests/2 {
		t.Errorf("outcomes %v: most requests should be done", outcomes)
	}
}

// submit sends request i. If there is no complete response, the outcome of the
// submission is empty.
func (e *entry) submit(i int, header ...string) submission {
	s := submission{work: fmt.Sprint("w", i), idempotent: i%3 == 0}
	header = append(slices.Clone(header), headerWork, s.work, caplatform.HeaderIdempotent, fmt.Sprint(s.idempotent))
	res, err := e.send("body", header...)
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
	allowed := strings.Join(allowedOutcomes(runs), " ")
	if s.outcome != "" && !strings.Contains(allowed, s.outcome) {
		t.Errorf("%s ran %d times, the caller got the outcome %s", s.work, runs, s.outcome)
	}
	if want := s.work + " body"; s.outcome == "done" && s.body != want {
		t.Errorf("%s got the response %q, want %q", s.work, s.body, want)
	}
}

// withLocalKeys configures an idempotency key service with a single entry.
func withLocalKeys(c *cadispatch.Config) {
	c.IdempotencyKeys = cadedupe.New(cadedupe.Config{
		Self:   cadedupe.Member{ID: c.Self, Incarnation: 1},
		Timer:  c.Timer,
		Logger: c.Logger,
		Bounds: cadedupe.DefaultBounds(),
	})
}

// Concurrent and later submissions under the same idempotency key run once and
// get the same response.
func TestKeyedRequestsRunOnce(t *testing.T) {
	up := newFakeUpstream(t, nil)
	up.setHandler(func(w http.ResponseWriter, r *http.Request) {
		up.recordRun(r)
		echo(w, r)
	})
	e := newEntry(t, withLocalKeys)
	e.PutUpstream(up.upstream("u1"))
	const keys = 5
	var wg sync.WaitGroup
	for i := range keys * 6 {
		wg.Go(func() {
			work := fmt.Sprint("w", i%keys)
			res, body := e.post(t, work, headerWork, work, "Idempotency-Key", work)
			if body != work || res.Header.Get(cadispatch.HeaderOutcome) != "done" {
				t.Errorf("%s: response %d %q", work, res.StatusCode, body)
			}
		})
	}
	wg.Wait()
	for work, n := range up.runCounts() {
		if n != 1 {
			t.Errorf("%s ran %d times", work, n)
		}
	}
	res, _ := e.post(t, "other", "Idempotency-Key", "w0")
	if res.StatusCode != http.StatusConflict {
		t.Errorf("different request under a used key: status %d", res.StatusCode)
	}
	res, _ = e.post(t, "w0", "Idempotency-Key", "w0")
	if res.Header.Get(cadispatch.HeaderReplayed) != "true" {
		t.Error("the stored response is not marked as replayed")
	}
}

// A caller disconnects during a request and submits it again under the same key.
// It gets the outcome of the first submission, which continued to run.
func TestKeyedRequestContinuesAfterDisconnect(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	up := newFakeUpstream(t, nil)
	up.setHandler(func(w http.ResponseWriter, r *http.Request) {
		up.recordRun(r)
		close(started)
		<-finish
		echo(w, r)
	})
	e := newEntry(t, withLocalKeys)
	e.PutUpstream(up.upstream("u1"))
	ctx, cancel := context.WithCancel(context.Background())
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL, strings.NewReader("work"))
		req.Header.Set("Idempotency-Key", "k")
		_, _ = http.DefaultClient.Do(req)
	}()
	<-started
	cancel()
	<-disconnected
	close(finish)
	res, body := e.post(t, "work", "Idempotency-Key", "k")
	if diff := cmp.Diff(response{200, "done", "work"}, responseOf(res, body)); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, up.attemptCount()); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
}

// The connection to the upstream is reset in the middle of a body of 64 MiB, of
// the request or the response. The caller must get an error or the outcome
// "unknown", never "done" or "not_run".
func TestConnectionResetInLongBody(t *testing.T) {
	const size = 64 << 20
	tests := map[string]struct {
		body    int
		handler http.HandlerFunc
	}{
		"response": {1, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			writePartialResponse(w, size/2, size)
			resetConnection(w)
		}},
		"request": {size, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, size/2)
			resetConnection(w)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			up := newFakeUpstream(t, tt.handler)
			e := newEntry(t, nil)
			e.PutUpstream(up.upstream("u1"))
			if outcome := e.outcomeOf(strings.Repeat("x", tt.body)); outcome != "" && outcome != "unknown" {
				t.Errorf("the response looks complete, with outcome %q", outcome)
			}
			if diff := cmp.Diff(1, up.attemptCount()); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
		})
	}
}

// outcomeOf sends a request and returns its outcome, or an empty string if there
// is no complete response.
func (e *entry) outcomeOf(body string) string {
	res, err := e.send(body)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return ""
	}
	return res.Header.Get(cadispatch.HeaderOutcome)
}
