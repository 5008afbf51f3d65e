package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// beatPeriod is the time between two records of a worker about itself.
	beatPeriod = 1500 * time.Millisecond
	// beatsToExpiry is how many beats of silence remove the record of a worker.
	beatsToExpiry = 3
	// maxHold is the longest lease, and maxHoldWait the longest wait of a hold.
	maxHold     = 10 * time.Second
	maxHoldWait = 2 * time.Second
	// checkpointInterval is the work between two checkpoints, and checkpointLength the length of each.
	checkpointInterval = time.Second
	checkpointLength   = 160
	// endsPerAnswer is how many ends a worker lists at a time.
	endsPerAnswer = 500
	// stopTime is how long a worker takes to stop a task.
	stopTime = 100 * time.Millisecond
	// workerMemoryMB and workerCPU are the capacity of a worker.
	workerMemoryMB = 32768
	workerCPU      = 16000
)

// taskRun is one run of a task at a worker.
type taskRun struct {
	task    string
	run     int
	began   time.Time
	lasts   time.Duration
	stopped bool
	// resumed is the work that its checkpoint has spared it, and saves is set if it checkpoints.
	resumed time.Duration
	saves   bool
}

// checkpoint returns the newest checkpoint of a run: its work in milliseconds, and an address of its data.
func (r *taskRun) checkpoint(now time.Time) string {
	work := (r.resumed + now.Sub(r.began)).Truncate(checkpointInterval)
	if !r.saves || work == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", work.Milliseconds()) + strings.Repeat("/checkpoints-of-the-forecast-desk", checkpointLength)[:checkpointLength-16]
}

// workIn returns the work that a checkpoint holds.
func workIn(checkpoint string) time.Duration {
	if len(checkpoint) < 16 {
		return 0
	}
	ms, err := strconv.ParseInt(checkpoint[:16], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// worker is a stand-in of a worker. A life begins with start and ends with crash.
type worker struct {
	id, address, zone string
	labels            []string
	store             *store
	record            *record

	mu       sync.Mutex
	up       bool
	life     int
	born     time.Time
	sequence int
	token    int64
	// until is the end of the lease, by the clock of the worker, which begins with its life.
	until   time.Duration
	running map[string]*taskRun
	ended   []end
	ends    int64
	highest map[string]int
	// changed is closed and replaced when a run ends.
	changed  chan struct{}
	server   *http.Server
	beatenAt time.Time
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// start begins a life of the worker.
func (w *worker) start() error {
	lis, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.up, w.born, w.sequence, w.token, w.until = true, time.Now(), 0, 0, 0
	w.life++
	life := w.life
	w.running, w.ended, w.ends, w.highest = make(map[string]*taskRun), nil, 0, make(map[string]int)
	w.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.serveStart)
	mux.HandleFunc("POST /v1/run-stop", w.serveStop)
	mux.HandleFunc("POST /v1/hold", w.serveHold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: w.expectSelf(mux)}
	server := w.server
	w.mu.Unlock()
	w.record.add("worker %s begins life %d", w.id, life)
	go func() { _ = server.Serve(lis) }()
	go w.live(life)
	return nil
}

// crash ends the life of the worker: all that it runs and knows is lost.
func (w *worker) crash() {
	w.mu.Lock()
	lost := make([]string, 0, len(w.running))
	for _, r := range w.running {
		lost = append(lost, fmt.Sprintf("%s run %d", r.task, r.run))
	}
	w.up, w.running, w.ended = false, nil, nil
	server := w.server
	w.mu.Unlock()
	w.record.add("worker %s crashes with %v", w.id, lost)
	_ = server.Close()
}

// live beats, ends runs that are done and lets leases lapse, until the life ends.
func (w *worker) live(life int) {
	for ; ; time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		if !w.up {
			expired := time.Since(w.beatenAt) > beatsToExpiry*beatPeriod
			w.mu.Unlock()
			if expired {
				w.store.put("keyed.servers", w.id, nil)
				return
			}
			continue
		}
		for _, r := range w.running {
			switch {
			case w.clock() > w.until:
				w.end(r, "lapsed")
			case !r.stopped && r.lasts > 0 && r.resumed+time.Since(r.began) >= r.lasts:
				w.end(r, "done")
			}
		}
		beats := time.Since(w.beatenAt) >= beatPeriod || w.sequence == 0
		var body []byte
		if beats {
			w.sequence++
			w.beatenAt = time.Now()
			body, _ = json.Marshal(map[string]any{
				"Service": "pool", "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready",
				"ColdRemainingMs": 0, "Capacity": map[string]int{"Cpu": workerCPU, "MemMb": workerMemoryMB, "Gpu": 0},
				"Labels": w.labels, "ClockMs": w.clock().Milliseconds(), "Sequence": w.sequence, "born": w.born.UnixMilli(),
			})
		}
		w.mu.Unlock()
		if beats {
			w.store.put("keyed.servers", w.id, body)
		}
	}
}

// end ends a run. The lock is held.
func (w *worker) end(r *taskRun, how string) {
	delete(w.running, r.task)
	w.ends++
	w.ended = append(w.ended, end{w.ends, r.task, r.run, how, r.checkpoint(time.Now())})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.record.add("worker %s: %s run %d ends %s", w.id, r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// expectSelf rejects calls for another worker.
func (w *worker) expectSelf(h http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Celeryarch-Expect-Worker"); id != "" && id != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.ServeHTTP(out, r)
	})
}

type order struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
	Checkpoint   string
}

// admit reads an order and checks its fencing token. If it returns true, the lock is held.
func (w *worker) admit(out http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < w.token {
		w.refuse(out, "fence")
		w.mu.Unlock()
		return o, false
	}
	w.token = o.FencingToken
	return o, true
}

func (w *worker) refuse(out http.ResponseWriter, reason string) {
	writeJSON(out, http.StatusConflict, map[string]any{"ClockMs": w.clock().Milliseconds(), "Reason": reason})
}

// extend extends the lease.
func (w *worker) extend(untilMs int64) {
	w.until = max(w.until, min(time.Duration(untilMs)*time.Millisecond, w.clock()+maxHold))
}

// durationOf returns how long a task lasts by its Spec, or zero if it lasts until it is stopped.
func durationOf(spec string) time.Duration {
	for _, word := range strings.Fields(spec) {
		if d, err := time.ParseDuration(word); err == nil {
			return d
		}
	}
	return 0
}

func (w *worker) serveStart(out http.ResponseWriter, r *http.Request) {
	o, ok := w.admit(out, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	present := w.running[o.Task]
	switch {
	case present != nil && present.run == o.Run:
		w.extend(o.UntilMs)
	case time.Duration(o.UntilMs)*time.Millisecond <= w.clock():
		w.refuse(out, "late")
		return
	case o.Run <= w.highest[o.Task]:
		w.extend(o.UntilMs)
		w.refuse(out, "old")
		return
	default:
		w.extend(o.UntilMs)
		w.running[o.Task] = &taskRun{
			task: o.Task, run: o.Run, began: time.Now(), lasts: durationOf(o.Spec),
			resumed: workIn(o.Checkpoint), saves: strings.Contains(o.Spec, "saves"),
		}
		w.record.add("worker %s is told to start %s run %d (fencing token %d)", w.id, o.Task, o.Run, o.FencingToken)
	}
	writeJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()})
}

func (w *worker) serveStop(out http.ResponseWriter, r *http.Request) {
	o, ok := w.admit(out, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if run := w.running[o.Task]; run != nil && run.run == o.Run && !run.stopped {
		run.stopped = true
		life := w.life
		w.record.add("worker %s is told to stop %s run %d", w.id, o.Task, o.Run)
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.up && w.life == life && w.running[o.Task] == run {
				w.end(run, "stopped")
			}
		})
	}
	writeJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()})
}

func (w *worker) serveHold(out http.ResponseWriter, r *http.Request) {
	o, ok := w.admit(out, r)
	if !ok {
		return
	}
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	seen := 0
	for seen < len(w.ended) && w.ended[seen].number <= o.LastSeen {
		seen++
	}
	w.ended = w.ended[seen:]
	life, changed := w.life, w.changed
	if wait := min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait); wait > 0 && len(w.ended) == 0 {
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if !w.up || w.life != life {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.running {
		percent := 100
		if run.lasts > 0 {
			percent = int(min(100*(run.resumed+time.Since(run.began))/run.lasts, 99))
		}
		running = append(running, []any{run.task, run.run, run.checkpoint(time.Now()), percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), endsPerAnswer)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	writeJSON(out, http.StatusOK, map[string]any{
		"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "Running": running, "Ended": ended,
	})
}
