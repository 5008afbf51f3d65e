// Package caloglines reads the structured logs of entries. It merges any number of logs
// by time and keeps one line of each in memory.
package caloglines

import (
	"bufio"
	"bytes"
	"container/heap"
	"encoding/json"
	"io"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// maxLineSize bounds the length of one line, in bytes.
const maxLineSize = 1 << 20

// Line holds the fields of a log line that concern a job. Durations are in milliseconds.
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
	// Policy is a version of the policy, and ListedBy the newest one that lists a queue that it removes.
	Policy   int64 `json:"policy"`
	ListedBy int64 `json:"listed_by"`
	// Upstreams crashed under a task of the job.
	Upstreams []string `json:"upstreams"`
	// SuspectJobs are the jobs that may have crashed the upstream.
	SuspectJobs []string `json:"suspect_jobs"`
	// Lacks is set if a step needs more places AtOnce than the Places that the Approved upstreams have when
	// they are empty.
	Lacks    bool `json:"lacks"`
	AtOnce   int  `json:"at_once"`
	Places   int  `json:"places"`
	Approved int  `json:"approved"`
}

// Concerns reports whether the line is about the job.
func (l Line) Concerns(job string) bool { return l.Job == job || slices.Contains(l.SuspectJobs, job) }

// Log is a log with its name.
type Log struct {
	Name    string
	Content io.Reader
}

// source reads one log line by line.
type source struct {
	scanner *bufio.Scanner
	next    Line
	// latest is the latest time so far. Lines with an earlier time or without one get it.
	latest time.Time
}

// Reader merges logs by time.
type Reader struct {
	sources sources
	// Lines counts the lines read so far, and Unreadable those of them that are not log lines.
	Lines, Unreadable int
	err               error
}

// NewReader returns a reader of the logs.
func NewReader(logs ...Log) *Reader {
	r := &Reader{}
	for _, l := range logs {
		s := &source{scanner: bufio.NewScanner(l.Content)}
		s.scanner.Buffer(make([]byte, 0, 64<<10), maxLineSize)
		if r.advance(s) {
			r.sources = append(r.sources, s)
		}
	}
	heap.Init(&r.sources)
	return r
}

// Next returns the next line by time, and false at the end.
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

// Err returns the first error that occurred while reading a log.
func (r *Reader) Err() error { return r.err }

// advance reads the next log line of a source and skips other lines. It ignores a prefix before
// the JSON object, which log collectors add.
func (r *Reader) advance(s *source) bool {
	for s.scanner.Scan() {
		text := s.scanner.Bytes()
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		r.Lines++
		line, ok := decodeLine(text)
		if !ok {
			r.Unreadable++
			continue
		}
		if line.Time.Before(s.latest) {
			line.Time = s.latest
		}
		s.latest = line.Time
		s.next = line
		return true
	}
	if err := s.scanner.Err(); err != nil && r.err == nil {
		r.err = err
	}
	return false
}

func decodeLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal(text[start:], &line); err != nil || line.Event == 0 {
		return Line{}, false
	}
	return line, true
}

// sources is a heap of logs, ordered by the times of their next lines.
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
