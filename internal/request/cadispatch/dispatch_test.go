package cadispatch_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

// response is the part of an HTTP response that the tests compare. The body of
// an error is left out.
type response struct {
	Status  int
	Outcome string
	Body    string
}

func responseOf(res *http.Response, body string) response {
	if res.StatusCode >= http.StatusBadRequest {
		body = ""
	}
	return response{res.StatusCode, res.Header.Get(cadispatch.HeaderOutcome), body}
}

func TestServeRequestStreamsCompleteResponses(t *testing.T) {
	up := newFakeUpstream(t, echo)
	e := newEntry(t, nil)
	e.PutUpstream(up.upstream("u1"))
	for _, size := range []int{0, 1, 16 << 10, 16<<10 + 1, 32 << 10, 32<<10 + 1, 1 << 20, 64 << 20} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		res, err := http.Post(e.server.URL, "application/octet-stream", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		h := sha256.New()
		n, err := io.Copy(h, res.Body)
		res.Body.Close()
		if err != nil {
			t.Fatalf("response of %d bytes: %v", size, err)
		}
		if diff := cmp.Diff(fmt.Sprint(size, sha256.Sum256(body)), fmt.Sprint(n, [32]byte(h.Sum(nil)))); diff != "" {
			t.Errorf("response of %d bytes (-want +got):\n%s", size, diff)
		}
	}
}

// abortAfter announces a response body of size bytes and aborts the connection
// after n of them.
func abortAfter(size, n int, chunked bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !chunked {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, n))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// A response that the upstream truncated must not look complete to the caller.
func TestServeRequestReportsTruncatedResponses(t *testing.T) {
	up := newFakeUpstream(t, echo)
	e := newEntry(t, nil)
	e.PutUpstream(up.upstream("u1"))
	for _, chunked := range []bool{false, true} {
		for _, n := range []int{0, 100, 40 << 10, 1 << 20} {
			up.setHandler(abortAfter(2<<20, n, chunked))
			res, err := e.send("work")
			if err != nil {
				continue
			}
			_, err = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if err == nil && res.Header.Get(cadispatch.HeaderOutcome) != "unknown" {
				t.Errorf("truncated after %d bytes, chunked %v: response looks complete: %v", n, chunked, res)
			}
		}
	}
}

func TestServeRequestOutcomes(t *testing.T) {
	tests := []struct {
		name       string
		handler    http.HandlerFunc
		idempotent bool
		deadline   string
		want       response
		attempts   int
	}{
		{"fails", respondStatus(http.StatusInternalServerError, false), false, "", response{500, "failed", ""}, 1},
		{"rejects", respondStatus(http.StatusNotFound, false), false, "", response{404, "done", ""}, 1},
		{"refuses before the start", respondStatus(http.StatusConflict, true), false, "", response{503, "not_run", ""}, 1},
		{"never responds", neverRespond, false, "1000", response{504, "unknown", ""}, 1},
		{"never responds to an idempotent request", neverRespond, true, "1000", response{504, "unknown", ""}, 1},
		{"aborts before the body", abortAfter(10, 0, false), false, "", response{504, "unknown", ""}, 1},
		{"aborts in a small body", abortAfter(10, 5, false), false, "", response{504, "unknown", ""}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			up := newFakeUpstream(t, tt.handler)
			e := newEntry(t, nil)
			e.PutUpstream(up.upstream("u1"))
			header := []string{caplatform.HeaderIdempotent, strconv.FormatBool(tt.idempotent)}
			if tt.deadline != "" {
				header = append(header, caplatform.HeaderDeadline, tt.deadline)
			}
			res, body := e.post(t, "work", header...)
			if diff := cmp.Diff(tt.want, responseOf(res, body)); diff != "" {
				t.Errorf("response (-want +got):\n%s\n%s", diff, body)
			}
			if diff := cmp.Diff(tt.attempts, up.attemptCount()); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
		})
	}
}

// respondStatus reads the body and responds with a status. If notRun is set, the
// response says that the request was not started.
func respondStatus(code int, notRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if notRun {
			w.Header().Set(caplatform.HeaderNotRun, "true")
		}
		w.WriteHeader(code)
	}
}

// neverRespond reads the body and waits until the request is canceled.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestServeRequestWithoutUpstream(t *testing.T) {
	e := newEntry(t, nil)
	closed := newFakeUpstream(t, echo)
	closed.server.Close()
	res, body := e.post(t, "work")
	if diff := cmp.Diff(response{503, "not_run", ""}, responseOf(res, body)); diff != "" {
		t.Errorf("no upstream (-want +got):\n%s", diff)
	}
	e.PutUpstream(closed.upstream("u1"))
	res, body = e.post(t, "work")
	if diff := cmp.Diff(response{503, "not_run", ""}, responseOf(res, body)); diff != "" {
		t.Errorf("upstream that is shut down (-want +got):\n%s", diff)
	}
	if res.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

func TestServeRequestRejectsBadRequests(t *testing.T) {
	up := newFakeUpstream(t, echo)
	e := newEntry(t, nil)
	e.PutUpstream(up.upstream("u1"))
	long := strings.Repeat("k", 300)
	tests := map[string]string{
		"HTTP/1.0":          "POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nx",
		"huge body":         "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 68719476736\r\n\r\n",
		"bad deadline":      "POST / HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
		"negative deadline": "POST / HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: -5\r\nContent-Length: 0\r\n\r\n",
		"bad idempotency":   "POST / HTTP/1.1\r\nHost: x\r\nX-Idempotent: maybe\r\nContent-Length: 0\r\n\r\n",
		"long key":          "POST / HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + long + "\r\nContent-Length: 0\r\n\r\n",
		"bad framing":       "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	}
	for name, raw := range tests {
		conn, err := net.Dial("tcp", e.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(raw))
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if res.StatusCode/100 != 4 || res.Header.Get(cadispatch.HeaderOutcome) != "not_run" {
			t.Errorf("%s: response %d %v", name, res.StatusCode, res.Header)
		}
		conn.Close()
	}
	if diff := cmp.Diff(0, up.attemptCount()); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
}

// An upstream sends two responses to one request. The second must not be taken
// for the response to the next request on the connection.
func TestServeRequestDiscardsDuplicateResponses(t *testing.T) {
	for _, attemptEchoed := range []bool{true, false} {
		up := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			conn, buf, _ := http.NewResponseController(w).Hijack()
			defer conn.Close()
			head := "HTTP/1.1 200 OK\r\n"
			if attemptEchoed {
				head += caplatform.HeaderAttempt + ": " + r.Header.Get(caplatform.HeaderAttempt) + "\r\n"
			}
			for range 2 {
				_, _ = fmt.Fprintf(buf, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
				_ = buf.Flush()
				time.Sleep(time.Millisecond)
			}
			_, _ = io.Copy(io.Discard, conn)
		})
		e := newEntry(t, nil)
		e.PutUpstream(up.upstream("u1"))
		succeeded := 0
		for i := range 50 {
			want := strconv.Itoa(i)
			res, body := e.post(t, want)
			if res.StatusCode == http.StatusOK && body != want {
				t.Errorf("attempt echoed %v: request %s got the response %q", attemptEchoed, want, body)
			}
			if res.StatusCode == http.StatusOK {
				succeeded++
			}
		}
		if succeeded < 25 {
			t.Errorf("attempt echoed %v: only %d of 50 requests succeeded", attemptEchoed, succeeded)
		}
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	const requests = 300
	e := newEntry(t, nil)
	var ups []*fakeUpstream
	for i := range 4 {
		up := newFakeUpstream(t, respondStatus(http.StatusServiceUnavailable, i%2 == 0))
		e.PutUpstream(up.upstream(fmt.Sprint("u", i)))
		ups = append(ups, up)
	}
	for range requests {
		e.post(t, "work", caplatform.HeaderIdempotent, "true")
	}
	attempts := 0
	for _, up := range ups {
		attempts += up.attemptCount()
	}
	if attempts > requests*11/10 {
		t.Errorf("%d attempts for %d requests", attempts, requests)
	}
	if attempts == requests {
		t.Error("no retry was made")
	}
}

// The policy bounds the attempts that may have run. Only the retry budgets bound
// the attempts known not to have started.
func TestPolicyBoundsAttempts(t *testing.T) {
	const warmUpRequests, requests = 20, 2
	for _, tt := range []struct {
		name        string
		maxAttempts int
		notRun      bool
		want        int
	}{
		{"may have run, one attempt", 1, false, requests},
		{"may have run, two attempts", 2, false, 2 * requests},
		{"not started", 1, true, requests + warmUpRequests/10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(t, func(c *cadispatch.Config) { c.Policy = c.Policy.WithMaxAttempts(tt.maxAttempts) })
			up := newFakeUpstream(t, echo)
			e.PutUpstream(up.upstream("u1"))
			for range warmUpRequests {
				e.post(t, "work", caplatform.HeaderIdempotent, "true")
			}
			up.setHandler(respondStatus(http.StatusServiceUnavailable, tt.notRun))
			for range requests {
				e.post(t, "work", caplatform.HeaderIdempotent, "true")
			}
			if diff := cmp.Diff(tt.want, up.attemptCount()-warmUpRequests); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
		})
	}
}

// A request whose first attempt may have run must not be reported as not run
// when its second attempt is refused.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	up := newFakeUpstream(t, echo)
	e := newEntry(t, nil)
	e.PutUpstream(up.upstream("u1"))
	for range 20 {
		e.post(t, "work", caplatform.HeaderIdempotent, "true")
	}
	before := up.attemptCount()
	up.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if up.attemptCount() == before+1 {
			panic(http.ErrAbortHandler)
		}
		respondStatus(http.StatusServiceUnavailable, true)(w, r)
	})
	res, body := e.post(t, "work", caplatform.HeaderIdempotent, "true")
	if diff := cmp.Diff(response{504, "unknown", ""}, responseOf(res, body)); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if up.attemptCount() < before+2 {
		t.Error("the request was not retried")
	}
	if res.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	e := newEntry(t, nil)
	var ups []*fakeUpstream
	for i := range 3 {
		up := newFakeUpstream(t, abortAfter(10, 5, false))
		e.PutUpstream(up.upstream(fmt.Sprint("u", i)))
		ups = append(ups, up)
	}
	const requests = 60
	for range requests {
		e.post(t, "work")
	}
	attempts := 0
	for _, up := range ups {
		attempts += up.attemptCount()
	}
	if attempts > requests {
		t.Errorf("%d attempts for %d requests that run at most once", attempts, requests)
	}
}

// An idempotent attempt at an unresponsive upstream is canceled when it is late
// and retried at another upstream.
func TestLateAttemptIsRetriedElsewhere(t *testing.T) {
	good, silent := newFakeUpstream(t, echo), newFakeUpstream(t, echo)
	e := newEntry(t, nil)
	e.PutUpstream(silent.upstream("u1"))
	for range 20 {
		e.post(t, "work", caplatform.HeaderIdempotent, "true")
	}
	silent.setHandler(neverRespond)
	e.PutUpstream(good.upstream("u2"))
	for good.attemptCount() == 0 {
		res, body := e.post(t, "work", caplatform.HeaderIdempotent, "true")
		if diff := cmp.Diff(response{200, "done", "work"}, responseOf(res, body)); diff != "" {
			t.Fatalf("response (-want +got):\n%s", diff)
		}
	}
	if silent.attemptCount() <= 20 {
		t.Error("no request was sent to the silent upstream")
	}
}

// When many callers disconnect at once, their slots and queue places become
// free, and the upstream never runs more requests than it has slots.
func TestDisconnectFreesSlotsAndQueuePlaces(t *testing.T) {
	started := make(chan struct{}, 1000)
	up := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		neverRespond(w, r)
	})
	e := newEntry(t, nil)
	e.PutUpstream(up.upstream("u1"))
	for range 5 {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for range 50 {
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL, strings.NewReader("work"))
			wg.Go(func() { _, _ = http.DefaultClient.Do(req) })
		}
		for range 8 {
			<-started
		}
		cancel()
		wg.Wait()
	}
	up.setHandler(echo)
	res, body := e.post(t, "next")
	if diff := cmp.Diff(response{200, "done", "next"}, responseOf(res, body)); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if up.peakInUse() > 8 {
		t.Errorf("%d requests at an upstream of 8 slots", up.peakInUse())
	}
}

// A request whose deadline expires before it gets a slot is reported as not run
// and is not sent to the upstream.
func TestDeadlineExpiresInQueue(t *testing.T) {
	started := make(chan struct{}, 100)
	up := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		neverRespond(w, r)
	})
	e := newEntry(t, nil)
	e.PutUpstream(up.upstream("u1"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 8 {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL, strings.NewReader("work"))
		go func() { _, _ = http.DefaultClient.Do(req) }()
	}
	for range 8 {
		<-started
	}
	res, body := e.post(t, "work", caplatform.HeaderDeadline, "1000")
	if diff := cmp.Diff(response{504, "not_run", ""}, responseOf(res, body)); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(8, up.attemptCount()); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
}

func TestCloseWaitsForRequestsInProgress(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	up := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-finish
		echo(w, r)
	})
	e := newEntry(t, nil)
	e.PutUpstream(up.upstream("u1"))
	result := make(chan response, 1)
	go func() {
		res, body := e.post(t, "work")
		result <- responseOf(res, body)
	}()
	<-started
	e.Drain()
	res, body := e.post(t, "late")
	if diff := cmp.Diff(response{503, "not_run", ""}, responseOf(res, body)); diff != "" {
		t.Errorf("request while draining (-want +got):\n%s", diff)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if e.Close(canceled) == nil {
		t.Error("Close did not wait")
	}
	close(finish)
	if err := e.Close(context.Background()); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(response{200, "done", "work"}, <-result); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// The caller gets a response that the upstream sends before it has read the
// body.
func TestEarlyResponseToLongBody(t *testing.T) {
	up := newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		ctl := http.NewResponseController(w)
		_ = ctl.EnableFullDuplex()
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusForbidden)
		_ = ctl.Flush()
		// If the upstream closed the connection now, the connection could be
		// reset before its response is read.
		_, _ = io.Copy(io.Discard, r.Body)
	})
	e := newEntry(t, nil)
	e.PutUpstream(up.upstream("u1"))
	for range 5 {
		conn, err := net.Dial("tcp", e.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 10<<20)
		_, _ = conn.Write(make([]byte, 64<<10))
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(response{403, "done", ""}, responseOf(res, "")); diff != "" {
			t.Errorf("response (-want +got):\n%s", diff)
		}
		conn.Close()
	}
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	staying, leaving := newFakeUpstream(t, echo), newFakeUpstream(t, echo)
	e := newEntry(t, nil)
	e.PutUpstream(staying.upstream("u1"))
	u := leaving.upstream("u2")
	u.Draining = true
	e.PutUpstream(u)
	for range 20 {
		e.post(t, "work")
	}
	if diff := cmp.Diff([]int{20, 0}, []int{staying.attemptCount(), leaving.attemptCount()}); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
}
