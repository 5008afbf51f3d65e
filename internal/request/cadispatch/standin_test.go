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

// fakeUpstream is an upstream whose behaviour a test sets. It counts how often the
// work of each request ran, and how many ran at the same time.
type fakeUpstream struct {
	server *httptest.Server

	mu       sync.Mutex
	handler  http.HandlerFunc
	runs     map[string]int
	attempts int
	inUse    int
	maxInUse int
}

func newFakeUpstream(t *testing.T, handler http.HandlerFunc) *fakeUpstream {
	s := &fakeUpstream{handler: handler, runs: map[string]int{}}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

func (s *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(caplatform.HeaderAttempt, r.Header.Get(caplatform.HeaderAttempt))
	s.mu.Lock()
	s.attempts++
	s.inUse++
	s.maxInUse = max(s.maxInUse, s.inUse)
	handler := s.handler
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inUse--
		s.mu.Unlock()
	}()
	handler(w, r)
}

// recordRun counts a run of the work of a request.
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

// peakInUse returns the most requests that ran at the same time.
func (s *fakeUpstream) peakInUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxInUse
}

// runCounts returns how often the work of each request ran.
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

// echo answers with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// entry is a dispatcher behind a server.
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

// post sends a request and returns the answer and its body.
func (e *entry) post(t *testing.T, body string, header ...string) (*http.Response, string) {
	t.Helper()
	res, err := e.send(body, header...)
	if err != nil {
		t.Fatalf("post: %v", err)
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("read the answer: %v", err)
	}
	return res, string(got)
}

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
