// Package calines writes log lines without ever blocking who logs: lines wait in
// a ring for their reader, and each kind of event has a limit of lines a second.
// What is left out is counted, and the counts are written.
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
	// linesWaiting bounds the lines that wait for their reader.
	linesWaiting = 1024
	// linesPerSecond bounds the lines of one event a second.
	linesPerSecond = 1500
	// eventSearched bounds the bytes of a line in which its event is looked for.
	eventSearched = 120
)

// eventField stands before the number of the event in a line.
var eventField = []byte(`"event":`)

// Writer takes one line with each Write.
type Writer struct {
	ring diode.Writer
	now  func() time.Time

	mu sync.Mutex
	// second is the one that written and left count in.
	second  int64
	written map[caevent.Number]int
	left    map[caevent.Number]int
}

// New returns a writer over w, which may block. Now tells the time.
func New(w io.Writer, now func() time.Time) *Writer {
	missed := func(lines int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"event\":%d,\"name\":%q,\"dropped\":%d,\"cause\":\"the reader is slow\"}\n",
			caevent.LinesDropped, caevent.LinesDropped.String(), lines)
	}
	return &Writer{
		ring: diode.NewWriter(w, linesWaiting, 0, missed), now: now,
		written: make(map[caevent.Number]int), left: make(map[caevent.Number]int),
	}
}

// Write implements io.Writer. It takes or leaves out the whole line.
func (w *Writer) Write(line []byte) (int, error) {
	for _, note := range w.turn() {
		if _, err := w.ring.Write([]byte(note)); err != nil {
			return 0, err
		}
	}
	if !w.admit(numberOf(line)) {
		return len(line), nil
	}
	return w.ring.Write(line)
}

// Close writes what waits.
func (w *Writer) Close() error { return w.ring.Close() }

// numberOf returns the event of a line, zero if it has none.
func numberOf(line []byte) caevent.Number {
	head := line[:min(len(line), eventSearched)]
	at := bytes.Index(head, eventField)
	if at < 0 {
		return 0
	}
	digits := head[at+len(eventField):]
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

// admit counts a line of the event. It reports whether the line is written.
func (w *Writer) admit(n caevent.Number) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.written[n] >= linesPerSecond {
		w.left[n]++
		return false
	}
	w.written[n]++
	return true
}

// turn begins a new second. It returns a line for each event of which lines were
// left out in the one before.
func (w *Writer) turn() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	second := w.now().Unix()
	if second == w.second {
		return nil
	}
	w.second = second
	var notes []string
	for n, count := range w.left {
		notes = append(notes, fmt.Sprintf("{\"level\":\"warn\",\"event\":%d,\"name\":%q,\"dropped\":%d,\"cause\":\"more than %d lines a second\",\"of\":%d}\n",
			caevent.LinesDropped, caevent.LinesDropped.String(), count, linesPerSecond, n))
	}
	clear(w.written)
	clear(w.left)
	return notes
}
