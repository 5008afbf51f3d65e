package calines

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

func line(n caevent.Number) []byte {
	return fmt.Appendf(nil, "{\"level\":\"info\",\"shard\":0,\"event\":%d,\"name\":%q}\n", n, n)
}

// slowReader takes nothing until it is let go.
type slowReader struct {
	letGo chan struct{}
	mu    sync.Mutex
	taken bytes.Buffer
}

func (r *slowReader) Write(b []byte) (int, error) {
	<-r.letGo
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken.Write(b)
}

func (r *slowReader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken.String()
}

func TestStalledReaderBlocksNobody(t *testing.T) {
	r := &slowReader{letGo: make(chan struct{})}
	w := New(r, time.Now)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 10 * linesWaiting {
			_, _ = w.Write(line(caevent.Number(400 + i%300)))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a write waits for the reader")
	}
	close(r.letGo)
	_ = w.Close()
	text := r.text()
	if !strings.Contains(text, "the reader is slow") {
		t.Error("no line tells that lines were dropped")
	}
	if lines := strings.Count(text, "\n"); lines > 3*linesWaiting {
		t.Errorf("%d lines were kept, want no more than the ring holds", lines)
	}
}

func TestEachEventHasItsLimit(t *testing.T) {
	r := &slowReader{letGo: make(chan struct{})}
	close(r.letGo)
	now := time.Unix(1000, 0)
	w := New(r, func() time.Time { return now })
	for range linesPerSecond + 7 {
		_, _ = w.Write(line(caevent.TaskPlaced))
	}
	_, _ = w.Write(line(caevent.ShardTakenOver))
	now = now.Add(time.Second)
	_, _ = w.Write(line(caevent.TaskPlaced))
	if diff := cmp.Diff(map[caevent.Number]int{caevent.TaskPlaced: 1}, w.written); diff != "" {
		t.Errorf("lines of the new second (-want +got):\n%s", diff)
	}
	_ = w.Close()
	if !strings.Contains(r.text(), `"dropped":7,"cause":"more than 1500 lines a second","of":402`) {
		t.Error("no line tells how many lines of the event were left out")
	}
	if !strings.Contains(r.text(), `"event":600`) {
		t.Error("a line of another event was left out")
	}
}

func TestNumberOfALine(t *testing.T) {
	for text, want := range map[string]caevent.Number{
		string(line(caevent.StepWaits)): caevent.StepWaits,
		"no JSON at all":                0,
		`{"event":`:                     0,
	} {
		if diff := cmp.Diff(want, numberOf([]byte(text))); diff != "" {
			t.Errorf("event of %q (-want +got):\n%s", text, diff)
		}
	}
}

func BenchmarkWrite(b *testing.B) {
	w := New(io.Discard, time.Now)
	text := line(caevent.TaskPlaced)
	b.ReportAllocs()
	for range b.N {
		_, _ = w.Write(text)
	}
}
