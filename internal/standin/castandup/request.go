package castandup

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/platform/cawire"
)

const (
	// maxRequestBytes bounds the body of a request.
	maxRequestBytes = 64 << 20
	// chunkBytes is the size of the pieces of a generated answer.
	chunkBytes = 32 << 10
	// maxSeenAttempts bounds the memory of attempts that ran.
	maxSeenAttempts = 1 << 20
)

// RequestScript is the body by which a caller tells the stand-in how to answer
// a request. A body that is no script is echoed.
type RequestScript struct {
	// SleepMillis is the time in milliseconds before the answer.
	SleepMillis int64 `json:"sleep_ms"`
	// AnswerBytes is the size of a generated answer; zero echoes the body.
	AnswerBytes int `json:"answer_bytes"`
	// Status is the HTTP status of the answer, 200 when zero.
	Status int `json:"status"`
}

type requestTable struct {
	running int
	seen    map[string]struct{}
}

func newRequestTable() requestTable { return requestTable{seen: make(map[string]struct{})} }

// ServeHTTP runs a request in a slot.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := u.admit(r); err != nil {
		w.Header().Set(caplatform.HeaderNotRun, "true")
		cawire.WriteFault(w, err)
		return
	}
	defer u.leave()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		cawire.WriteFault(w, cakind.Wrap(cakind.KindFailed, err, "read request"))
		return
	}
	answer(w, r, body)
}

func (u *Upstream) admit(r *http.Request) error {
	epoch, err := strconv.ParseInt(r.Header.Get(caplatform.HeaderEpoch), 10, 64)
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "epoch of the request")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.advance()
	if !u.owned(now) || u.epoch != caplatform.Epoch(epoch) {
		return u.fenced(caplatform.Epoch(epoch))
	}
	attempt := r.Header.Get(caplatform.HeaderAttempt)
	if _, ok := u.requests.seen[attempt]; ok {
		u.violations.DoubleRequests++
		return cakind.New(cakind.KindConflict, "attempt %s has run before", attempt)
	}
	if u.requests.running >= u.vm.Slots {
		u.violations.OverSlots++
		return cakind.New(cakind.KindOverloaded, "all %d slots are in use", u.vm.Slots)
	}
	u.requests.running++
	u.requests.remember(attempt)
	return nil
}

func (t *requestTable) remember(attempt string) {
	if len(t.seen) >= maxSeenAttempts {
		t.seen = make(map[string]struct{})
	}
	t.seen[attempt] = struct{}{}
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests.running--
}

func answer(w http.ResponseWriter, r *http.Request, body []byte) {
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
