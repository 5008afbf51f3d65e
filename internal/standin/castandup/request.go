package castandup

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/platform/cawire"
)

const (
	// maxRequestBytes bounds the body of a request.
	maxRequestBytes = 64 << 20
	// chunkBytes is the size of one write of a generated answer.
	chunkBytes = 32 << 10
	// maxRecordedAttempts bounds the recorded attempts; the table is cleared when full.
	maxRecordedAttempts = 1 << 20
)

// RequestScript is the body by which a caller sets the answer of the stand-in. A
// body that is not a script is echoed.
type RequestScript struct {
	// SleepMillis is the time in milliseconds before the answer.
	SleepMillis int64 `json:"sleep_ms"`
	// AnswerBytes is the size of a generated answer; zero echoes the body.
	AnswerBytes int `json:"answer_bytes"`
	// Status is the HTTP status of the answer, 200 when zero.
	Status int `json:"status"`
}

// requestTable records running and past requests.
type requestTable struct {
	running int
	// currentEpochRunning counts the running requests admitted in the current epoch.
	currentEpochRunning int
	runs                map[cawork.AttemptID]*requestRun
}

// requestRun is the execution of one request in a slot.
type requestRun struct {
	state  cawork.TaskState
	epoch  caplatform.Epoch
	cancel context.CancelFunc
}

func newRequestTable() requestTable {
	return requestTable{runs: make(map[cawork.AttemptID]*requestRun)}
}

// formerEpochRunning returns the number of running requests of earlier epochs.
func (t *requestTable) formerEpochRunning() int { return t.running - t.currentEpochRunning }

// RequestsRunning returns the number of requests in slots.
func (u *Upstream) RequestsRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests.running
}

// stop cancels a running request and returns its state. It reports whether the
// attempt is a recorded request.
func (t *requestTable) stop(id cawork.AttemptID) (cawork.TaskState, bool) {
	r, ok := t.runs[id]
	if !ok {
		return cawork.TaskStateAbsent, false
	}
	if r.state == cawork.TaskStateRunning {
		r.state = cawork.TaskStateStopped
		r.cancel()
	}
	return r.state, true
}

// ServeHTTP executes a request in a slot.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	run := &requestRun{state: cawork.TaskStateRunning, cancel: cancel}
	if err := u.admit(r, run); err != nil {
		w.Header().Set(caplatform.HeaderNotRun, "true")
		cawire.WriteError(w, err)
		return
	}
	defer u.finish(run)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		cawire.WriteError(w, cakind.Wrap(cakind.KindFailed, err, "read request"))
		return
	}
	writeScripted(w, r.WithContext(ctx), body)
}

func (u *Upstream) admit(r *http.Request, run *requestRun) error {
	epoch, err := strconv.ParseInt(r.Header.Get(caplatform.HeaderEpoch), 10, 64)
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "epoch of the request")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.advance()
	if !u.owned(now) || u.epoch != caplatform.Epoch(epoch) {
		return u.fencedError(caplatform.Epoch(epoch))
	}
	attempt := cawork.AttemptID(r.Header.Get(caplatform.HeaderAttempt))
	if _, fenced := u.tasks[attempt]; fenced {
		return cakind.New(cakind.KindFenced, "attempt %s is fenced", attempt)
	}
	if _, ok := u.requests.runs[attempt]; ok {
		u.violations.RepeatedAttempts++
		return cakind.New(cakind.KindConflict, "attempt %s has run before", attempt)
	}
	if u.requests.running >= u.vm.Slots {
		u.violations.SlotsExceeded++
		return cakind.New(cakind.KindOverloaded, "all %d slots are in use", u.vm.Slots)
	}
	u.requests.running++
	u.requests.currentEpochRunning++
	run.epoch = u.epoch
	u.requests.record(attempt, run)
	return nil
}

func (t *requestTable) record(id cawork.AttemptID, run *requestRun) {
	if len(t.runs) >= maxRecordedAttempts {
		t.runs = make(map[cawork.AttemptID]*requestRun)
	}
	t.runs[id] = run
}

func (u *Upstream) finish(run *requestRun) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests.running--
	if run.epoch == u.epoch {
		u.requests.currentEpochRunning--
	}
	if run.state == cawork.TaskStateRunning {
		run.state = cawork.TaskStateDone
	}
}

func writeScripted(w http.ResponseWriter, r *http.Request, body []byte) {
	script := RequestScript{Status: http.StatusOK}
	if json.Unmarshal(body, &script) != nil {
		script = RequestScript{Status: http.StatusOK}
	}
	if script.SleepMillis > 0 {
		select {
		case <-time.After(time.Duration(script.SleepMillis) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if script.AnswerBytes == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(script.Status)
		_, _ = w.Write(body)
		return
	}
	writeGenerated(w, script)
}

func writeGenerated(w http.ResponseWriter, script RequestScript) {
	w.Header().Set("Content-Length", strconv.Itoa(script.AnswerBytes))
	w.WriteHeader(script.Status)
	chunk := make([]byte, chunkBytes)
	for left := script.AnswerBytes; left > 0; left -= chunkBytes {
		if _, err := w.Write(chunk[:min(left, chunkBytes)]); err != nil {
			return
		}
	}
}
