package caload

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

const headerOutcome = "X-Outcome"

// generator is the state of one load test.
type generator struct {
	plan   Plan
	timer  *catimer.Service
	client *http.Client
	start  time.Time
	// inFlight is the semaphore that bounds the requests in progress.
	inFlight chan struct{}
	pending  sync.WaitGroup

	mu       sync.Mutex
	recorder *recorder
	arrivals int64
	nextURL  int
	unsent   int64
}

// Run generates the load of the plan and returns its report. When the context
// ends, it stops and returns the report of the run so far.
func Run(ctx context.Context, timer *catimer.Service, p Plan) (Report, error) {
	if err := p.Check(); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: p.MaxInFlight,
		DisableCompression:  true,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
	}
	defer transport.CloseIdleConnections()
	g := &generator{
		plan:     p,
		timer:    timer,
		client:   &http.Client{Transport: transport, Timeout: p.Timeout},
		start:    timer.Now(),
		inFlight: make(chan struct{}, p.MaxInFlight),
		recorder: newRecorder(),
	}
	g.run(ctx)
	rep := g.recorder.report()
	rep.Elapsed = timer.Now().Sub(g.start)
	rep.Arrivals = g.arrivals
	rep.Unsent = g.unsent
	return rep, nil
}

func (g *generator) run(ctx context.Context) {
	s := newSchedule(g.plan)
	for {
		offset, ok := s.nextArrival()
		if !ok || !g.sleepUntil(ctx, g.start.Add(offset)) {
			break
		}
		g.handleArrival(ctx, offset)
	}
	g.pending.Wait()
}

// sleepUntil waits until t. It returns false when the context ends first.
func (g *generator) sleepUntil(ctx context.Context, t time.Time) bool {
	d := t.Sub(g.timer.Now())
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := g.timer.After(d)
	defer timer.Close()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *generator) handleArrival(ctx context.Context, offset time.Duration) {
	counted := offset >= g.plan.Warmup
	if counted {
		g.arrivals++
	}
	url := g.plan.URLs[g.nextURL%len(g.plan.URLs)]
	g.nextURL++
	select {
	case g.inFlight <- struct{}{}:
	default:
		if counted {
			g.unsent++
		}
		return
	}
	g.pending.Go(func() {
		defer func() { <-g.inFlight }()
		sentAt := g.timer.Now()
		key := g.request(ctx, url)
		now := g.timer.Now()
		if !counted {
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.recorder.record(key, now.Sub(g.start.Add(offset)), now.Sub(sentAt))
	})
}

// request sends one request and reads the complete response.
func (g *generator) request(ctx context.Context, url string) groupKey {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(g.plan.Body))
	if err != nil {
		return groupKey{outcome: "invalid"}
	}
	for k, values := range g.plan.Header {
		req.Header[k] = values
	}
	res, err := g.client.Do(req)
	if err != nil {
		return groupKey{outcome: "no_answer"}
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return groupKey{outcome: "cut_answer"}
	}
	return groupKey{status: res.StatusCode, outcome: res.Header.Get(headerOutcome)}
}
