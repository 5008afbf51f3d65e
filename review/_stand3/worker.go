package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two reports of a worker about itself.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the longest lease that a worker grants.
	maxHold = 10 * time.Second
	// stopTime is how long a worker takes to stop a run.
	stopTime = 100 * time.Millisecond
	// maxWait is how long a report waits for an end at most.
	maxWait = 2 * time.Second
)

// worker is one life of a worker.
type worker struct {
	id, address string
	cell        *cell
	listener    net.Listener
	server      *http.Server
	began       time.Time
	quit        chan struct{}

	mu       sync.Mutex
	fence    int64
	until    time.Time
	runs     map[string]*workerRun
	refused  map[string]int
	ends     []end
	lastEnd  int64
	changed  chan struct{}
	draining time.Time
	sequence int64
}

// workerRun is a run at a worker.
type workerRun struct {
	task     string
	run      int
	stopping bool
	timer    *time.Timer
}

// end is the end of a run that is not acknowledged yet.
type end struct {
	number int64
	task   string
	run    int
	how    string
}

// spec is what the tasks of a job do.
type spec struct {
	// Ms is how long a task works, and Fail whether it fails then.
	Ms   int
	Fail bool `json:",omitempty"`
}

// startWorker starts a worker and registers it.
func startWorker(c *cell, id string) *worker {
	lis, err := net.Listen("tcp", net.JoinHostPort(c.ip, "0"))
	fatal(err)
	now := time.Now()
	w := &worker{
		id: id, address: lis.Addr().String(), cell: c, listener: lis, began: now, quit: make(chan struct{}),
		until: now, runs: make(map[string]*workerRun), refused: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/run-start", w.serveStart)
	mux.HandleFunc("POST /v1/run-stop", w.serveStop)
	mux.HandleFunc("POST /v1/hold", w.serveHold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(lis) }()
	go w.report()
	go w.expireLease()
	return w
}

// crash ends the worker at once, with all that it runs. Its registration goes after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	close(w.quit)
	var lost []string
	for name, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		lost = append(lost, fmt.Sprintf("%s run %d", name, r.run))
	}
	w.runs = make(map[string]*workerRun)
	w.mu.Unlock()
	_ = w.server.Close()
	w.cell.record("worker %s crashed, with %v", w.id, lost)
	go func() {
		time.Sleep(3 * heartbeat)
		w.cell.store.put("keyed.servers/0", w.id, nil)
	}()
}

func (w *worker) isUp() bool {
	select {
	case <-w.quit:
		return false
	default:
		return true
	}
}

// hasRun reports whether the worker is up and has a run of the task.
func (w *worker) hasRun(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isUp() && w.runs[task] != nil
}

// report writes the registration at each heartbeat.
func (w *worker) report() {
	for {
		w.register()
		select {
		case <-w.quit:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isUp() {
		return
	}
	w.sequence++
	body := map[string]any{
		"Service": "desk", "Address": w.address, "Zone": "zone-a", "Version": "1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": w.sequence, "Machine": "m-" + w.id, "born": w.began.UnixMilli(),
		"Capacity": map[string]int{"Cpu": 16000, "MemMb": 32768, "Gpu": 0}, "Labels": []string{"a", "r1"},
	}
	if !w.draining.IsZero() {
		body["State"] = "draining"
		body["DrainRemainingMs"] = max(time.Until(w.draining).Milliseconds(), 0)
	}
	b, err := json.Marshal(body)
	fatal(err)
	w.cell.store.put("keyed.servers/0", w.id, b)
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// notify wakes the reports that wait for an end. The lock is held.
func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// finish ends a run. The lock is held.
func (w *worker) finish(r *workerRun, how string) {
	if w.runs[r.task] != r || !w.isUp() {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, r.task)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.run, how})
	w.cell.record("worker %s: %s run %d ended %s, as end %d", w.id, r.task, r.run, how, w.lastEnd)
	w.cell.ended(r.task, r.run, how)
	w.notify()
}

func (w *worker) expireLease() {
	for w.isUp() {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if time.Now().After(w.until) {
			for _, r := range w.runs {
				w.finish(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// extend extends the lease to a time on the clock of the worker. The lock is held.
func (w *worker) extend(untilMs int64) {
	until := w.began.Add(time.Duration(untilMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.until) {
		w.until = until
	}
}

type orderBody struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

// accept decodes an order for this worker and checks its fencing token. It returns with the lock held if
// the order is accepted.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]int64{"ClockMs": w.clock()})
		return o, false
	}
	if id := r.Header.Get("X-Celeryarch-Expect-Worker"); id != "" && id != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]int64{"ClockMs": w.clock()})
		return o, false
	}
	w.mu.Lock()
	if o.FencingToken < w.fence {
		w.mu.Unlock()
		w.reject(rw, "fence")
		return o, false
	}
	w.fence = o.FencingToken
	return o, true
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(o.UntilMs)
	present := w.runs[o.Task]
	switch {
	case present != nil && present.run == o.Run:
	case o.Run <= w.refused[o.Task] || present != nil:
		w.reject(rw, "old")
		return
	case o.UntilMs <= w.clock():
		w.reject(rw, "late")
		return
	default:
		w.begin(o)
	}
	writeJSON(rw, http.StatusOK, map[string]int64{"ClockMs": w.clock()})
}

// begin starts a run. The lock is held.
func (w *worker) begin(o orderBody) {
	var s spec
	_ = json.Unmarshal([]byte(o.Spec), &s)
	run := &workerRun{task: o.Task, run: o.Run}
	w.runs[o.Task] = run
	w.refused[o.Task] = o.Run
	w.cell.record("worker %s: %s run %d started, token %d", w.id, o.Task, o.Run, o.FencingToken)
	w.cell.started(w, o)
	if s.Ms == 0 {
		return
	}
	how := "done"
	if s.Fail {
		how = "failed"
	}
	run.timer = time.AfterFunc(time.Duration(s.Ms)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !run.stopping {
			w.finish(run, how)
		}
	})
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.refused[o.Task] = max(w.refused[o.Task], o.Run)
	if run := w.runs[o.Task]; run != nil && run.run == o.Run && !run.stopping {
		run.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.finish(run, "stopped")
		})
	}
	writeJSON(rw, http.StatusOK, map[string]int64{"ClockMs": w.clock()})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	wait := min(time.Duration(o.WaitMs)*time.Millisecond, maxWait)
	if wait > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-w.quit:
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if !w.isUp() {
		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.run, "", 100, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "Running": running, "Ended": ended, "born": w.began.UnixMilli()})
}
