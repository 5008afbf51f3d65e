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

// open has one queue that is open to all.
type open struct{ busy }

func (open) AuthorizeQueue(string, cawork.WorkKind) (cawork.TeamName, error) { return "t1", nil }

// cell is an API with one upstream, and a caller with one connection of HTTP/2.
type cell struct {
	api    *caapi.API
	url    string
	caller *http.Client
}

const testConnections = 100

// newCell starts an API whose requests go to an upstream with the slots.
func newCell(t *testing.T, behave http.HandlerFunc, slots int) *cell {
	up := httptest.NewServer(behave)
	t.Cleanup(up.Close)
	d := cadispatch.New(cadispatch.Config{
		Zone: "z1", Timer: catimer.NewService(), Logger: zerolog.Nop(), Policy: cadispatch.DefaultPolicy(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = d.Run(ctx) }()
	d.PutUpstream(caroute.Upstream{
		ID: "u1", Zone: "z1", Address: strings.TrimPrefix(up.URL, "http://"),
		Slots: slots, Connections: 64, Epoch: 1,
	})
	api := caapi.NewAPI(caapi.Config{
		Limits: caapi.Limits{
			RequestTime: time.Minute, BodyTime: 30 * time.Second,
			HeaderBytes: 16 << 10, BodyBytes: 64 << 20, Connections: testConnections,
		},
		Authorizer: open{}, Requests: d,
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
		<-d.Done()
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	caller := &http.Client{Transport: &http.Transport{Protocols: protocols}, Timeout: 20 * time.Second}
	return &cell{api, "http://" + lis.Addr().String() + caapi.PathRequests, caller}
}

func (c *cell) post(ctx context.Context, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(caapi.HeaderQueue, "open")
	res, err := c.caller.Do(req)
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

// echoAfter waits before it answers with the body.
func echoAfter(release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		<-release
		echoBody(w, r)
	}
}

func TestHTTP2AnswersAreWhole(t *testing.T) {
	c := newCell(t, echoBody, 8)
	for _, size := range []int{0, 1, 16<<10 + 1, 32<<10 + 1, 1 << 20, 16 << 20} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		res, got, err := c.post(t.Context(), body)
		if err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
		if diff := cmp.Diff("done", res.Header.Get(cadispatch.HeaderOutcome)); diff != "" {
			t.Errorf("%d bytes: outcome (-want +got):\n%s", size, diff)
		}
		if !bytes.Equal(body, got) {
			t.Errorf("%d bytes: got another answer of %d bytes", size, len(got))
		}
	}
}

// A cut answer is an error to the caller, and the connection goes on.
func TestHTTP2ShowsACut(t *testing.T) {
	cut := true
	c := newCell(t, func(w http.ResponseWriter, r *http.Request) {
		if !cut {
			echoBody(w, r)
			return
		}
		_, _ = w.Write(make([]byte, 1<<20))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, 8)
	if res, got, err := c.post(t.Context(), []byte("work")); err == nil {
		t.Errorf("%d bytes with status %d look whole", len(got), res.StatusCode)
	}
	cut = false
	if _, got, err := c.post(t.Context(), []byte("work")); err != nil || string(got) != "work" {
		t.Errorf("the next answer is %q, %v", got, err)
	}
}

func TestHTTP2CallerThatHangsUpIsNoticed(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	c := newCell(t, func(_ http.ResponseWriter, r *http.Request) {
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
	if _, _, err := c.post(ctx, []byte("work")); !errors.Is(err, context.Canceled) {
		t.Errorf("error of a canceled request: %v", err)
	}
	<-ended
}

// A graceful stop waits for the requests in progress.
func TestHTTP2ShutdownCutsNothing(t *testing.T) {
	started, release := make(chan struct{}, 8), make(chan struct{})
	c := newCell(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		echoBody(w, r)
	}, 8)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			if _, got, err := c.post(t.Context(), []byte("work")); err != nil || string(got) != "work" {
				t.Errorf("answer %q, %v", got, err)
			}
		})
	}
	for range 8 {
		<-started
	}
	stopped := make(chan error, 1)
	go func() { stopped <- c.api.Shutdown(t.Context()) }()
	select {
	case err := <-stopped:
		t.Errorf("the API stopped with requests in progress: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	all.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Long bodies of requests that wait for a slot do not hold up other calls on
// the connection.
func TestHTTP2WaitingBodiesHoldNothingUp(t *testing.T) {
	const waiting = 40
	release := make(chan struct{})
	c := newCell(t, echoAfter(release), 2)
	var all sync.WaitGroup
	var lock sync.Mutex
	done := 0
	for range waiting {
		all.Go(func() {
			body := make([]byte, 1<<20)
			res, got, err := c.post(t.Context(), body)
			if err != nil || (res.StatusCode == http.StatusOK && len(got) != len(body)) {
				t.Errorf("answer of %d bytes, %v", len(got), err)
			}
			lock.Lock()
			defer lock.Unlock()
			done++
		})
	}
	time.Sleep(200 * time.Millisecond)
	// Its body must arrive before it is found to name no team.
	res, err := c.caller.Post(strings.TrimSuffix(c.url, caapi.PathRequests)+caapi.PathJobs,
		"application/json", strings.NewReader(`{"`+strings.Repeat("x", 30<<10)+`":1}`))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if diff := cmp.Diff(http.StatusBadRequest, res.StatusCode); diff != "" {
		t.Errorf("status of a call beside them (-want +got):\n%s", diff)
	}
	close(release)
	all.Wait()
	if diff := cmp.Diff(waiting, done); diff != "" {
		t.Errorf("ended requests (-want +got):\n%s", diff)
	}
}

// Calls beyond the bound are refused, whatever the number of connections.
func TestHTTP2CallsAreBounded(t *testing.T) {
	const beyond = 30
	release := make(chan struct{})
	c := newCell(t, echoAfter(release), 64)
	var all sync.WaitGroup
	var lock sync.Mutex
	counts := map[string]int{}
	for range testConnections + beyond {
		all.Go(func() {
			res, _, err := c.post(t.Context(), []byte("work"))
			if err != nil {
				t.Error(err)
				return
			}
			lock.Lock()
			defer lock.Unlock()
			counts[fmt.Sprint(res.StatusCode, " ", res.Header.Get(cadispatch.HeaderOutcome))]++
			if res.StatusCode == http.StatusServiceUnavailable && counts["503 not_run"] == beyond {
				close(release)
			}
		})
	}
	all.Wait()
	want := map[string]int{"200 done": testConnections, "503 not_run": beyond}
	if diff := cmp.Diff(want, counts); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}
