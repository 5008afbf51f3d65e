// Package calines writes log lines without blocking the caller. Lines are buffered
// in a ring, and the rate of lines is limited for each event. Dropped lines are
// counted, and the counts are logged.
package calines

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog/diode"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

const (
	// maxBufferedLines is the capacity of the ring buffer.
	maxBufferedLines = 1024
	// maxLinesPerSecond limits the lines of one event in a second.
	maxLinesPerSecond = 1500
	// eventSearchBytes is the length of the prefix of a line that is searched for
	// its event number.
	eventSearchBytes = 120
)

// eventKey precedes the event number in a line.
var eventKey = []byte(`"event":`)

// Writer is a non-blocking, rate-limited log writer. Each Write call takes one
// line.
type Writer struct {
	ring diode.Writer
	now  func() time.Time

	mu sync.Mutex
	// currentSecond is the Unix second to which the counts in written and dropped
	// apply.
	currentSecond int64
	written       map[caevent.Number]int
	dropped       map[caevent.Number]int
}

// New returns a Writer that writes to w, which may block. now returns the current
// time.
func New(w io.Writer, now func() time.Time) *Writer {
	reportDropped := func(lines int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"event\":%d,\"name\":%q,\"dropped\":%d,\"cause\":\"the reader is slow\"}\n",
			caevent.LinesDropped, caevent.LinesDropped.String(), lines)
	}
	return &Writer{
		ring: diode.NewWriter(w, maxBufferedLines, 0, reportDropped), now: now,
		written: make(map[caevent.Number]int), dropped: make(map[caevent.Number]int),
	}
}

// Write implements io.Writer. It drops the whole line when its event is over the
// rate limit.
func (w *Writer) Write(line []byte) (int, error) {
	for _, summary := range w.startSecond() {
		if _, err := w.ring.Write([]byte(summary)); err != nil {
			return 0, err
		}
	}
	if !w.admit(eventNumber(line)) {
		return len(line), nil
	}
	return w.ring.Write(line)
}

// Close writes the buffered lines.
func (w *Writer) Close() error { return w.ring.Close() }

// eventNumber returns the event number of a line, zero if it has none.
func eventNumber(line []byte) caevent.Number {
	head := line[:min(len(line), eventSearchBytes)]
	at := bytes.Index(head, eventKey)
	if at < 0 {
		return 0
	}
	digits := head[at+len(eventKey):]
	end := 0
	for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
		end++
	}
	n, err := strconv.Atoi(string(digits[:end]))
	if err != nil {
		return 0
	}
	return caevent.Number(n)
}

// admit counts a line of event n. It reports whether the line is within the rate
// limit.
func (w *Writer) admit(n caevent.Number) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.written[n] >= maxLinesPerSecond {
		w.dropped[n]++
		return false
	}
	w.written[n]++
	return true
}

// startSecond resets the counts when a new second has begun. It then returns a
// log line for each event of which lines were dropped since the last reset.
func (w *Writer) startSecond() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	second := w.now().Unix()
	if second == w.currentSecond {
		return nil
	}
	w.currentSecond = second
	var summaries []string
	for n, count := range w.dropped {
		summaries = append(summaries, fmt.Sprintf("{\"level\":\"warn\",\"event\":%d,\"name\":%q,\"dropped\":%d,\"cause\":\"more than %d lines a second\",\"of\":%d}\n",
			caevent.LinesDropped, caevent.LinesDropped.String(), count, maxLinesPerSecond, n))
	}
	clear(w.written)
	clear(w.dropped)
	return summaries
}
