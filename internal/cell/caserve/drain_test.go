package caserve_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// hammer sends calls, each over a new connection or over kept ones, until the servers accept no more. It
// returns the errors of calls that were not refused or reset before they were read.
func hammer(address string, keepAlive bool) []error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: !keepAlive}}
	var errs []error
	for {
		response, err := client.Post("http://"+address, "text/plain", nil)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return errs
		case errors.Is(err, syscall.ECONNRESET):
			// The connection was in the queue of the listener.
		case err != nil:
			errs = append(errs, err)
		default:
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				errs = append(errs, err)
			}
			_ = response.Body.Close()
		}
	}
}

// TestStopCutsCalls guards against calls that get no answer since their connection was accepted, or idle,
// as the servers stopped.
func TestStopCutsCalls(t *testing.T) {
	const rounds, callers, callTime = 12, 24, 15 * time.Millisecond
	for range rounds {
		var begun, ended atomic.Int64
		servers, address := startServers(t, func(w http.ResponseWriter, _ *http.Request) {
			begun.Add(1)
			time.Sleep(callTime)
			w.WriteHeader(http.StatusNoContent)
			ended.Add(1)
		})
		var mu sync.Mutex
		var errs []error
		var hammers sync.WaitGroup
		for i := range callers {
			hammers.Go(func() {
				failed := hammer(address, i%2 == 0)
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, failed...)
			})
		}
		time.Sleep(callTime)
		servers.Drain(100*time.Millisecond, 5*time.Second)
		if b, e := begun.Load(), ended.Load(); b != e {
			t.Errorf("%d calls were in progress after the drain", b-e)
		}
		hammers.Wait()
		for _, err := range errs {
			t.Errorf("call without an answer: %v", err)
		}
	}
}

// TestStopCutsIdleConnections guards against idle connections that are closed as a drain begins, with a
// call on its way.
func TestStopCutsIdleConnections(t *testing.T) {
	servers, address := startServers(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	call := func() string {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
			return err.Error()
		}
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			return err.Error()
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return err.Error()
		}
		if response.Close {
			return string(body) + ", the last one"
		}
		return string(body)
	}
	before := call()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		servers.Drain(time.Second, 5*time.Second)
	}()
	time.Sleep(50 * time.Millisecond)
	if diff := cmp.Diff([]string{"answer", "answer, the last one"}, []string{before, call()}); diff != "" {
		t.Errorf("answers over one connection (-want +got):\n%s", diff)
	}
	<-drained
}

// TestStopCutsCallThatOutlastsIt guards against calls that the end of the process cuts: they are canceled
// before, and answered.
func TestStopCutsCallThatOutlastsIt(t *testing.T) {
	started := make(chan struct{})
	servers, address := startServers(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		_, _ = io.WriteString(w, context.Cause(r.Context()).Error())
	})
	answer := make(chan string, 1)
	go func() {
		body, _, err := get("http://" + address)
		if err != nil {
			body = err.Error()
		}
		answer <- body
	}()
	<-started
	servers.Drain(10*time.Millisecond, time.Second)
	select {
	case got := <-answer:
		if diff := cmp.Diff("the entry is stopping", got); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	case <-time.After(time.Second):
		t.Error("the call has no answer after the drain")
	}
}

// TestSilentConnectionDoesNotDelayStop guards against drains that wait for connections on which no request
// was sent.
func TestSilentConnectionDoesNotDelayStop(t *testing.T) {
	servers, address := startServers(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	began := time.Now()
	servers.Drain(10*time.Millisecond, time.Minute)
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the drain took %v", took)
	}
}
