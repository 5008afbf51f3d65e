package cadispatch_test

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

const testTeam = cawork.TeamName("t1")

// fakeUpstream is an upstream with a handler that a test sets. It counts its
// attempts, its concurrent requests and the runs of each work item.
type fakeUpstream struct {
	server *httptest.Server

	mu       sync.Mutex
	handler  http.HandlerFunc
	runs     map[string]int
	attempts int
	// inUse holds the requests that run.
	inUse    map[*http.Request]struct{}
	maxInUse int
}

func newFakeUpstream(t *testing.T, handler http.HandlerFunc) *fakeUpstream {
	s := &fakeUpstream{handler: handler, runs: map[string]int{}, inUse: map[*http.Request]struct{}{}}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

func (s *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(caplatform.HeaderAttempt, r.Header.Get(caplatform.HeaderAttempt))
	s.mu.Lock()
	s.attempts++
	s.inUse[r] = struct{}{}
	s.maxInUse = max(s.maxInUse, len(s.inUse))
	handler := s.handler
	s.mu.Unlock()
	defer s.endRequest(r)
	handler(w, r)
}

// endRequest ends the count of a request as running. A handler calls it before it
// sends the end of its response, if it does anything afterwards.
func (s *fakeUpstream) endRequest(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inUse, r)
}

// recordRun counts a run of the work item of a request.
func (s *fakeUpstream) recordRun(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.Header.Get("X-Work")]++
}

func (s *fakeUpstream) setHandler(handler http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

func (s *fakeUpstream) attemptCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts
}

// peakInUse returns the highest number of concurrent requests so far.
func (s *fakeUpstream) peakInUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxInUse
}

// runCounts returns the number of runs of each work item.
func (s *fakeUpstream) runCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

func (s *fakeUpstream) upstream(id string) caroute.Upstream {
	return caroute.Upstream{
		ID:          cawork.UpstreamID(id),
		Zone:        "z1",
		Address:     strings.TrimPrefix(s.server.URL, "http://"),
		Slots:       8,
		Connections: 64,
		Epoch:       1,
	}
}

// echo responds with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// entry is a dispatcher with an HTTP server.
type entry struct {
	*cadispatch.Dispatcher
	server *httptest.Server
}

func newEntry(t *testing.T, configure func(*cadispatch.Config)) *entry {
	c := cadispatch.Config{
		Self:   "e1",
		Zone:   "z1",
		Timer:  catimer.NewService(),
		Logger: zerolog.Nop(),
		Scope:  tally.NoopScope,
		Policy: cadispatch.DefaultPolicy(),
	}
	if configure != nil {
		configure(&c)
	}
	d := cadispatch.New(c)
	e := &entry{Dispatcher: d}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.ServeRequest(w, r, testTeam)
	}))
	t.Cleanup(e.server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-e.Done()
	})
	return e
}

// post sends a request and returns the response and its body. The test fails if
// there is no complete response.
func (e *entry) post(t *testing.T, body string, header ...string) (*http.Response, string) {
	t.Helper()
	res, err := e.send(body, header...)
	if err != nil {
		t.Fatalf("post: %v", err)
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("read the response: %v", err)
	}
	return res, string(got)
}

// send sends a request. header lists names and values in turn.
func (e *entry) send(body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, e.server.URL, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Timeout: 20 * time.Second}
	return client.Do(req)
}
