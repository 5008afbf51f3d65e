package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// appendTime is how long the store takes for an append.
const appendTime = 4 * time.Millisecond

// storeRecord is one record of a partition.
type storeRecord struct {
	key    string
	value  []byte
	offset int64
}

// partition is one partition of a keyed topic.
type partition struct {
	records []storeRecord
	newest  map[string]storeRecord
	changed chan struct{}
}

// store is a stand-in of the platform's store.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
}

func newStore() *store { return &store{partitions: make(map[string]*partition)} }

// partitionOf returns a partition. The lock is held.
func (s *store) partitionOf(name string) *partition {
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{newest: make(map[string]storeRecord), changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

// put appends one record, as operators and workers do.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionOf(name).add([]storeRecord{{key: key, value: value}})
}

// add appends records. The lock of the store is held.
func (p *partition) add(records []storeRecord) {
	for _, r := range records {
		r.offset = int64(len(p.records))
		p.records = append(p.records, r)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
			continue
		}
		p.newest[r.key] = r
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// storeDoor is the address of the store for one entry, whose calls it can turn away.
type storeDoor struct {
	store *store
	mu    sync.Mutex
	busy  bool
}

func (d *storeDoor) setBusy(busy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = busy
}

func (d *storeDoor) isBusy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.busy
}

// listen serves the store on a free port of the address.
func (d *storeDoor) listen(ip string) string {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	fatal(err)
	go func() { _ = http.Serve(lis, d) }()
	return lis.Addr().String()
}

func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.isBusy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	name := q.Get("Topic") + "/" + q.Get("part")
	switch r.URL.Path {
	case "/v1/log-append":
		d.store.serveAppend(w, r, name)
	case "/v1/log-read":
		d.store.serveRead(w, r, name)
	case "/v1/log-newest":
		d.store.serveNewest(w, name, q.Get("After"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+n]
		body = body[4+n:]
		key := int(record[0])
		records = append(records, storeRecord{key: string(record[1 : 1+key]), value: append([]byte(nil), record[1+key:]...)})
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(name)
	offset := int64(len(p.records))
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.FormatInt(offset, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"EndOffset": offset})
		return
	}
	p.add(records)
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": offset, "EndOffset": int64(len(p.records))})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("From"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	overdue := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partitionOf(name)
		records, changed := p.records, p.changed
		s.mu.Unlock()
		if int64(len(records)) > from || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-overdue:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes up to a megabyte of records from the offset on.
func writeRecords(w http.ResponseWriter, records []storeRecord, from int64) {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, r := range records[min(from, int64(len(records))):] {
		if len(body) > 1<<20 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(body, byte(len(r.key)))
		body = append(body, r.key...)
		body = append(body, r.value...)
	}
	_, _ = w.Write(body)
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(name)
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string
		Value  []byte
		Offset int64
	}
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		r := p.newest[key]
		if len(items) == 500 || size+len(r.value) > 1<<20 && len(items) > 0 {
			more = true
			break
		}
		size += len(r.value)
		items = append(items, item{key, r.value, r.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "EndOffset": len(p.records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	fatal(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
