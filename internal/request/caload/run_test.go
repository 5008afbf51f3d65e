package caload_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/request/caload"
)

func plan(url string) caload.Plan {
	return caload.Plan{
		URLs:        []string{url},
		Rate:        1000,
		Duration:    10 * time.Second,
		Requests:    200,
		Timeout:     10 * time.Second,
		MaxInFlight: 200,
		Seed:        1,
	}
}

// A server that stalls once delays every request that arrives during the stall.
// A generator that waited for responses would record only one slow request
// (coordinated omission).
func TestRunMeasuresFromScheduledArrival(t *testing.T) {
	var served atomic.Int64
	stall := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if served.Add(1) == 200 {
			close(stall)
		}
		<-stall
		w.Header().Set("X-Outcome", "done")
	}))
	defer s.Close()
	rep, err := caload.Run(context.Background(), catimer.NewService(), plan(s.URL))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int64{200, 0, 200}, []int64{rep.Arrivals, rep.Unsent, rep.Count(http.StatusOK)}); diff != "" {
		t.Errorf("arrivals, unsent, responses (-want +got):\n%s", diff)
	}
	// All responses arrive at the end of the schedule of 200 ms, so that the
	// median request waits for half of it.
	if rep.Latency.P50 < 50*time.Millisecond {
		t.Errorf("median latency %s does not include the stall", rep.Latency.P50)
	}
}

// Arrivals above the limit of requests in progress are counted as unsent.
func TestRunLimitsRequestsInProgress(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	p := plan(s.URL)
	p.MaxInFlight = 5
	p.Rate = 100_000
	time.AfterFunc(time.Second, func() { close(release) })
	rep, err := caload.Run(context.Background(), catimer.NewService(), p)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int64{200, 195}, []int64{rep.Arrivals, rep.Unsent}); diff != "" {
		t.Errorf("arrivals, unsent (-want +got):\n%s", diff)
	}
}

func TestReportIsJSON(t *testing.T) {
	want := caload.Report{Arrivals: 3, Groups: []caload.Group{{Status: 200, Outcome: "done", Count: 3}}}
	var buf bytes.Buffer
	if err := want.WriteJSON(&buf); err != nil {
		t.Fatal(err)
	}
	var got caload.Report
	if err := json.Unmarshal(buf.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

func TestPlanRequiresRequestLimit(t *testing.T) {
	p := plan("http://localhost")
	p.Requests = 0
	if got := cakind.Of(p.Check()); got != cakind.KindInvalid {
		t.Errorf("kind of the error of a plan without requests: %s", got)
	}
}
