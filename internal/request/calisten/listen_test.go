package calisten_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/request/calisten"
)

// startServer starts a server with at most two connections and returns its
// address.
func startServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := calisten.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	go func() { _ = s.Serve(calisten.LimitListener(l, 2)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// sendRequest sends a request over a new connection and returns the response
// and its body. The connection stays open until the end of the test.
func sendRequest(t *testing.T, address, request string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, request)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// Connections above the limit get a complete error response, from which callers
// learn that the request has not run.
func TestLimitRefusesExcessConnections(t *testing.T) {
	address := startServer(t)
	var got []int
	for range 4 {
		res, _ := sendRequest(t, address, request)
		got = append(got, res.StatusCode)
	}
	if diff := cmp.Diff([]int{200, 200, 503, 503}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	res, body := sendRequest(t, address, request)
	if res.Header.Get("X-Outcome") != "not_run" || !strings.Contains(body, "too many connections") {
		t.Errorf("refusal %v %q", res.Header, body)
	}
	var refusal cakind.ErrorBody
	if err := json.Unmarshal([]byte(body), &refusal); err != nil || cakind.ResponseTo(refusal.Kind).Status != res.StatusCode {
		t.Errorf("refusal %q with status %d: %v", body, res.StatusCode, err)
	}
}

func TestServerRefusesOversizedHeaders(t *testing.T) {
	res, _ := sendRequest(t, startServer(t), "GET / HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	if diff := cmp.Diff(http.StatusRequestHeaderFieldsTooLarge, res.StatusCode); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}
