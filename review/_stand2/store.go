package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// appendTime is how long an append takes.
	appendTime = 4 * time.Millisecond
	// historyTime is how long records are kept. The newest record of each key stays.
	historyTime = 20 * time.Second
	// pageItems bounds the items of a page of newest records.
	pageItems = 500
	// recordBytes bounds a record.
	recordBytes = 262144
)

// entry is a record of a keyed topic. Without a value it drops its key.
type entry struct {
	key      string
	value    []byte
	offset   int64
	storedAt time.Time
}

// partition is one partition of a topic.
type partition struct {
	// first is the offset of the oldest record that is kept.
	first   int64
	entries []entry
	newest  map[string]entry
	grown   chan struct{}
	// appending serializes the appends.
	appending sync.Mutex
}

func (p *partition) end() int64 { return p.first + int64(len(p.entries)) }

// store is a stand-in of the platform's store: a log with keyed topics.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
}

func newStore() *store { return &store{partitions: make(map[string]*partition)} }

// partition returns a partition of a topic, which is created on first use.
func (s *store) partition(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + part
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{newest: make(map[string]entry), grown: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

// put appends a record on behalf of the operator or a worker.
func (s *store) put(topic, key string, value []byte) {
	p := s.partition(topic, "0")
	p.appending.Lock()
	defer p.appending.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(p, []entry{{key: key, value: value}})
}

// add appends records. The lock is held.
func (s *store) add(p *partition, entries []entry) {
	now := time.Now()
	for _, e := range entries {
		e.offset, e.storedAt = p.end(), now
		p.entries = append(p.entries, e)
		if len(e.value) == 0 {
			delete(p.newest, e.key)
			continue
		}
		p.newest[e.key] = e
	}
	expired := 0
	for expired < len(p.entries) && now.Sub(p.entries[expired].storedAt) > historyTime {
		expired++
	}
	p.entries = slices.Delete(p.entries, 0, expired)
	p.first += int64(expired)
	close(p.grown)
	p.grown = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	return mux
}

// decodeRecords decodes records: a length of four bytes, then a length of one byte, the key and the value.
func decodeRecords(b []byte) ([]entry, bool) {
	var entries []entry
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		if n > recordBytes || len(b) < 4+n || n < 1 || n < 1+int(b[4]) {
			return nil, false
		}
		r := b[4 : 4+n]
		entries = append(entries, entry{key: string(r[1 : 1+r[0]]), value: slices.Clone(r[1+r[0]:])})
		b = b[4+n:]
	}
	return entries, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	entries, ok := decodeRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	if topic := q.Get("Topic"); topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	p := s.partition(q.Get("Topic"), q.Get("part"))
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	at := p.end()
	if want := q.Get("At"); want != "" && want != strconv.FormatInt(at, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"EndOffset": at})
		return
	}
	s.add(p, entries)
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": at, "EndOffset": p.end()})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("From"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// Without WaitMs a read does not wait.
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	p := s.partition(q.Get("Topic"), q.Get("part"))
	for {
		s.mu.Lock()
		first, end, grown := p.first, p.end(), p.grown
		var found []entry
		if from >= first && from < end {
			found = slices.Clone(p.entries[from-first:])
		}
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]int64{"FirstOffset": first})
			return
		}
		if len(found) > 0 || wait <= 0 {
			writeRecords(w, first, end, found)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout.C:
			wait = 0
		case <-grown:
		}
	}
}

func writeRecords(w http.ResponseWriter, first, end int64, entries []entry) {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, uint64(first))
	for _, e := range entries {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(e.key)+len(e.value)))
		b = append(b, byte(len(e.key)))
		b = append(b, e.key...)
		b = append(b, e.value...)
	}
	_, _ = w.Write(b)
}

type item struct {
	Key    string
	Value  []byte
	Offset int64
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.partition(q.Get("Topic"), q.Get("part"))
	s.mu.Lock()
	items := []item{}
	for _, e := range p.newest {
		if e.key > q.Get("After") {
			items = append(items, item{Key: e.key, Value: e.value, Offset: e.offset})
		}
	}
	end := p.end()
	s.mu.Unlock()
	slices.SortFunc(items, func(x, y item) int { return strings.Compare(x.Key, y.Key) })
	hasMore := len(items) > pageItems
	if hasMore {
		items = items[:pageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": hasMore, "EndOffset": end})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
