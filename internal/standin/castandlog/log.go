// Package castandlog is a stand-in for the log service of the platform. It
// keeps records in memory for a limited time and can be made to fail.
package castandlog

import (
	"context"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Failure selects the injected failure of the log.
type Failure struct {
	// Down rejects every call without an effect.
	Down bool
	// LoseAnswers appends, then reports KindUnknown.
	LoseAnswers bool
}

// Log is an in-memory log.
type Log struct {
	mu        sync.Mutex
	now       func() time.Time
	retention time.Duration
	failure   Failure
	topics    map[string]*topic
}

type topic struct {
	first   caplatform.Offset
	records []storedRecord
}

type storedRecord struct {
	payload    []byte
	appendedAt time.Time
}

// NewLog returns an empty log that keeps records for the retention time.
func NewLog(now func() time.Time, retention time.Duration) *Log {
	return &Log{now: now, retention: retention, topics: make(map[string]*topic)}
}

// SetFailure sets the failure of subsequent calls.
func (l *Log) SetFailure(f Failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failure = f
}

// SetRetention changes the retention time of records.
func (l *Log) SetRetention(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = d
}

// Append implements caplatform.Log.
func (l *Log) Append(_ context.Context, name string, payloads [][]byte) (caplatform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure.Down {
		return 0, cakind.New(cakind.KindUnavailable, "the log is down")
	}
	t := l.topic(name)
	offset := t.nextOffset()
	for _, p := range payloads {
		t.records = append(t.records, storedRecord{payload: p, appendedAt: l.now()})
	}
	if l.failure.LoseAnswers {
		return 0, cakind.New(cakind.KindUnknown, "the answer of the log was lost")
	}
	return offset, nil
}

// Read implements caplatform.Log.
func (l *Log) Read(_ context.Context, name string, from caplatform.Offset, limit int) (caplatform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure.Down {
		return caplatform.Page{}, cakind.New(cakind.KindUnavailable, "the log is down")
	}
	t := l.topic(name)
	t.expire(l.now().Add(-l.retention))
	page := caplatform.Page{Earliest: t.first, Next: t.nextOffset()}
	for offset := max(from, t.first); offset < t.nextOffset() && len(page.Records) < limit; offset++ {
		payload := t.records[offset-t.first].payload
		page.Records = append(page.Records, caplatform.Record{Offset: offset, Payload: payload})
	}
	return page, nil
}

func (l *Log) topic(name string) *topic {
	t, ok := l.topics[name]
	if !ok {
		t = &topic{}
		l.topics[name] = t
	}
	return t
}

func (t *topic) nextOffset() caplatform.Offset { return t.first + caplatform.Offset(len(t.records)) }

func (t *topic) expire(before time.Time) {
	n := 0
	for n < len(t.records) && t.records[n].appendedAt.Before(before) {
		n++
	}
	t.records = t.records[n:]
	t.first += caplatform.Offset(n)
}
