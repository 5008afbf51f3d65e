// Package caexplain reads the structured logs of entries and tells what became of the
// jobs in them: for one job a time line, for many where the late ones lost their time.
// It reads any number of logs side by side, in the order of time, and keeps only the
// jobs that are not over.
package caexplain

import (
	"bufio"
	"bytes"
	"container/heap"
	"encoding/json"
	"io"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// lineMost bounds the bytes of one line.
const lineMost = 1 << 20

// Line is one log line, as far as it is about a job. Durations are milliseconds.
type Line struct {
	Time      time.Time      `json:"time"`
	Event     caevent.Number `json:"event"`
	Job       string         `json:"job"`
	Queue     string         `json:"queue"`
	Team      string         `json:"team"`
	Objective float64        `json:"objective"`
	Step      int            `json:"step"`
	Task      int            `json:"task"`
	Run       int            `json:"run"`
	Upstream  string         `json:"upstream"`
	Outcome   string         `json:"outcome"`
	Ending    string         `json:"ending"`
	Phase     string         `json:"phase"`
	Cause     string         `json:"cause"`
	Method    string         `json:"method"`
	Status    int            `json:"status"`
	Took      float64        `json:"took"`
	Error     string         `json:"error"`
}

// milliseconds turns a duration of a line into one of the language.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Log is a log with its name.
type Log struct {
	Name string
	From io.Reader
}

// source reads one log line by line.
type source struct {
	scanner *bufio.Scanner
	next    Line
	// last is the newest time so far, which lines without one are given.
	last time.Time
}

// Reader merges logs by time.
type Reader struct {
	sources sources
	// Lines and Unreadable count the lines so far, and those that are no log lines.
	Lines, Unreadable int
	err               error
}

// NewReader returns a reader of the logs.
func NewReader(logs ...Log) *Reader {
	r := &Reader{}
	for _, l := range logs {
		s := &source{scanner: bufio.NewScanner(l.From)}
		s.scanner.Buffer(make([]byte, 0, 64<<10), lineMost)
		if r.advance(s) {
			r.sources = append(r.sources, s)
		}
	}
	heap.Init(&r.sources)
	return r
}

// Next returns the next line in the order of time, and false at the end.
func (r *Reader) Next() (Line, bool) {
	if len(r.sources) == 0 {
		return Line{}, false
	}
	s := r.sources[0]
	line := s.next
	if r.advance(s) {
		heap.Fix(&r.sources, 0)
	} else {
		heap.Pop(&r.sources)
	}
	return line, true
}

// Err returns the first error of reading a log.
func (r *Reader) Err() error { return r.err }

// advance reads the next line of a source that is a log line. What stands before the
// line, as collectors of logs add, is skipped.
func (r *Reader) advance(s *source) bool {
	for s.scanner.Scan() {
		text := s.scanner.Bytes()
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		r.Lines++
		line, ok := decode(text)
		if !ok {
			r.Unreadable++
			continue
		}
		if line.Time.Before(s.last) {
			line.Time = s.last
		}
		s.last = line.Time
		s.next = line
		return true
	}
	if err := s.scanner.Err(); err != nil && r.err == nil {
		r.err = err
	}
	return false
}

func decode(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal(text[at:], &line); err != nil || line.Event == 0 {
		return Line{}, false
	}
	return line, true
}

// sources is a heap of logs by the time of their next lines.
type sources []*source

func (s sources) Len() int           { return len(s) }
func (s sources) Less(i, j int) bool { return s[i].next.Time.Before(s[j].next.Time) }
func (s sources) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *sources) Push(x any)        { *s = append(*s, x.(*source)) }
func (s *sources) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
