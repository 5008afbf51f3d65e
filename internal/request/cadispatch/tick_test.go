package cadispatch_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// tickerCountingClock is a real clock that counts its active tickers.
type tickerCountingClock struct{ activeTickers atomic.Int64 }

func (*tickerCountingClock) Now() time.Time { return time.Now() }

func (c *tickerCountingClock) Every(period time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(period)
	c.activeTickers.Add(1)
	return t.C, func() {
		t.Stop()
		c.activeTickers.Add(-1)
	}
}

func (*tickerCountingClock) After(delay time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(delay)
	return t.C, func() { t.Stop() }
}

// A dispatcher ticks only while requests are in progress or slots are lent.
func TestIdleDispatcherDoesNotTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &tickerCountingClock{}
		d := cadispatch.New(cadispatch.Config{Zone: "z1", Timer: catimer.NewServiceWithClock(clock), Logger: zerolog.Nop()})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = d.Run(ctx) }()
		expectTickers := func(want int64, when string) {
			t.Helper()
			synctest.Wait()
			if diff := cmp.Diff(want, clock.activeTickers.Load()); diff != "" {
				t.Errorf("tickers %s (-want +got):\n%s", when, diff)
			}
		}
		expectTickers(0, "at the start")

		body, bodyWriter := io.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			r := httptest.NewRequest(http.MethodPost, caplatform.RequestPath, body)
			d.ServeRequest(httptest.NewRecorder(), r, testTeam)
		}()
		time.Sleep(time.Second)
		expectTickers(1, "during a request")
		bodyWriter.Close()
		<-served
		time.Sleep(time.Second)
		expectTickers(0, "after the request")

		d.PutUpstream(caroute.Upstream{ID: "u1", Zone: "z1", Slots: 8, Connections: 64, Epoch: 1})
		wanted := caroute.LendRequest{Count: 4, Duration: time.Second}
		if !d.HandleBorrow(cadispatch.BorrowRequest{Borrower: "e2", Wanted: wanted}).Granted {
			t.Fatal("no slots were lent")
		}
		expectTickers(1, "while slots are lent")
		if diff := cmp.Diff(4, d.FreeSlots()); diff != "" {
			t.Errorf("free slots while some are lent (-want +got):\n%s", diff)
		}
		time.Sleep(5 * time.Second)
		expectTickers(0, "after the loan")
		if diff := cmp.Diff(8, d.FreeSlots()); diff != "" {
			t.Errorf("free slots after the loan (-want +got):\n%s", diff)
		}
		cancel()
		<-d.Done()
	})
}
