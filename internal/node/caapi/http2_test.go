package caapi_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/caapi"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// openQueueAuthorizer accepts every queue as public.
type openQueueAuthorizer struct{ unconfirmedAuthorizer }

func (openQueueAuthorizer) AuthorizeQueue(string, cawork.WorkKind) (cawork.TeamName, error) {
	return "t1", nil
}

// testServer is an API with one upstream, and an HTTP/2 client of it with one
// connection.
type testServer struct {
	api    *caapi.API
	url    string
	client *http.Client
}

const testConnections = 100

// newTestServer starts an API that sends requests to one upstream with the given
// number of slots.
func newTestServer(t *testing.T, handler http.HandlerFunc, slots int) *testServer {
	upstream := httptest.NewServer(handler)
	t.Cleanup(upstream.Close)
	dispatcher := cadispatch.New(cadispatch.Config{
		Zone: "z1", Timer: catimer.NewService(), Logger: zerolog.Nop(), Policy: cadispatch.DefaultPolicy(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = dispatcher.Run(ctx) }()
	dispatcher.PutUpstream(caroute.Upstream{
		ID: "u1", Zone: "z1", Address: strings.TrimPrefix(upstream.URL, "http://"),
		Slots: slots, Connections: 64, Epoch: 1,
	})
	api := caapi.NewAPI(caapi.Config{
		Limits: caapi.Limits{
			RequestTime: time.Minute, BodyTime: 30 * time.Second,
			HeaderBytes: 16 << 10, BodyBytes: 64 << 20, Connections: testConnections,
		},
		Authorizer: openQueueAuthorizer{}, Requests: dispatcher,
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = api.Serve(lis) }()
	t.Cleanup(func() {
		_ = api.Close()
		<-api.Done()
		cancel()
		<-dispatcher.Done()
	})
	url := "http://" + lis.Addr().String() + caapi.PathRequests
	return &testServer{api, url, newHTTP2Client(t, url)}
}

// newHTTP2Client returns a client with an open connection to the URL, which its
// calls share. Without it, each of several concurrent calls would open a
// connection of its own.
func newHTTP2Client(t *testing.T, url string) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}, Timeout: 20 * time.Second}
	res, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if diff := cmp.Diff(http.StatusMethodNotAllowed, res.StatusCode); diff != "" {
		t.Fatalf("status of the first call (-want +got):\n%s", diff)
	}
	return client
}

func (s *testServer) post(ctx context.Context, body []byte) (*http.Response, []byte, error) {
	return s.postBy(ctx, s.client, body)
}

// postBy posts a request by a client other than that of the server.
func (s *testServer) postBy(ctx context.Context, client *http.Client, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(caapi.HeaderQueue, "open")
	res, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	if res.ProtoMajor != 2 {
		return nil, nil, fmt.Errorf("answer over %s", res.Proto)
	}
	got, err := io.ReadAll(res.Body)
	return res, got, err
}

func echoBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(caplatform.HeaderAttempt, r.Header.Get(caplatform.HeaderAttempt))
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// echoAfter returns a handler that echoes the body once release is closed.
func echoAfter(release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		<-release
		echoBody(w, r)
	}
}

func TestHTTP2ResponsesAreComplete(t *testing.T) {
	s := newTestServer(t, echoBody, 8)
	for _, size := range []int{0, 1, 16<<10 + 1, 32<<10 + 1, 1 << 20, 16 << 20} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		res, got, err := s.post(t.Context(), body)
		if err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
		if diff := cmp.Diff("done", res.Header.Get(cadispatch.HeaderOutcome)); diff != "" {
			t.Errorf("%d bytes: outcome (-want +got):\n%s", size, diff)
		}
		if !bytes.Equal(body, got) {
			t.Errorf("%d bytes: got a different response of %d bytes", size, len(got))
		}
	}
}

// An upstream that aborts its response must cause an error at the client instead
// of a short body, and must leave the connection usable.
func TestHTTP2TruncatedResponseIsAnError(t *testing.T) {
	truncate := true
	s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if !truncate {
			echoBody(w, r)
			return
		}
		_, _ = w.Write(make([]byte, 1<<20))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, 8)
	if res, got, err := s.post(t.Context(), []byte("work")); err == nil {
		t.Errorf("a truncated response of %d bytes with status %d was returned as complete", len(got), res.StatusCode)
	}
	truncate = false
	if _, got, err := s.post(t.Context(), []byte("work")); err != nil || string(got) != "work" {
		t.Errorf("the next response is %q, %v", got, err)
	}
}

func TestHTTP2ClientCancelReachesUpstream(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	}, 8)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	if _, _, err := s.post(ctx, []byte("work")); !errors.Is(err, context.Canceled) {
		t.Errorf("error of a canceled request: %v", err)
	}
	<-ended
}

// A graceful shutdown must not abort requests in progress.
func TestHTTP2ShutdownWaitsForRequests(t *testing.T) {
	started, release := make(chan struct{}, 8), make(chan struct{})
	s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		echoBody(w, r)
	}, 8)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if _, got, err := s.post(t.Context(), []byte("work")); err != nil || string(got) != "work" {
				t.Errorf("answer %q, %v", got, err)
			}
		})
	}
	for range 8 {
		<-started
	}
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- s.api.Shutdown(t.Context()) }()
	select {
	case err := <-shutdownDone:
		t.Errorf("the API stopped with requests in progress: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	wg.Wait()
	if err := <-shutdownDone; err != nil {
		t.Error(err)
	}
}

// Unread bodies of requests that wait for a slot must not use up the flow-control
// window of the connection and block other calls on it.
func TestHTTP2QueuedBodiesDoNotBlockOtherCalls(t *testing.T) {
	const waiting = 40
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	s := newTestServer(t, echoAfter(release), 2)
	// The upstream can only be closed once its calls have ended.
	t.Cleanup(releaseOnce)
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range waiting {
		wg.Go(func() {
			body := make([]byte, 1<<20)
			res, got, err := s.post(t.Context(), body)
			if err != nil || (res.StatusCode == http.StatusOK && len(got) != len(body)) {
				t.Errorf("answer of %d bytes, %v", len(got), err)
			}
			mu.Lock()
			defer mu.Unlock()
			done++
		})
	}
	time.Sleep(200 * time.Millisecond)
	// The API has to read the whole body to reject this call.
	res, err := s.client.Post(strings.TrimSuffix(s.url, caapi.PathRequests)+caapi.PathJobs,
		"application/json", strings.NewReader(`{"`+strings.Repeat("x", 30<<10)+`":1}`))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if diff := cmp.Diff(http.StatusBadRequest, res.StatusCode); diff != "" {
		t.Errorf("status of the other call (-want +got):\n%s", diff)
	}
	releaseOnce()
	wg.Wait()
	if diff := cmp.Diff(waiting, done); diff != "" {
		t.Errorf("completed requests (-want +got):\n%s", diff)
	}
}

// HTTP/2 clients must not get around the limit on calls by sharing connections.
// The calls use fewer connections than the listener admits, so that only the
// limit on calls can refuse them.
func TestHTTP2CallsAreBounded(t *testing.T) {
	const excess = 30
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	s := newTestServer(t, echoAfter(release), 64)
	// The upstream can only be closed once its calls have ended.
	t.Cleanup(releaseOnce)
	clients := []*http.Client{s.client, newHTTP2Client(t, s.url), newHTTP2Client(t, s.url)}
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for i := range testConnections + excess {
		wg.Go(func() {
			res, _, err := s.postBy(t.Context(), clients[i%len(clients)], []byte("work"))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				answers[err.Error()]++
				return
			}
			answers[fmt.Sprint(res.StatusCode, " ", res.Header.Get(cadispatch.HeaderOutcome))]++
			if answers["503 not_run"] == excess {
				releaseOnce()
			}
		})
	}
	wg.Wait()
	want := map[string]int{"200 done": testConnections, "503 not_run": excess}
	if diff := cmp.Diff(want, answers); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}
