package cafault_test

import (
	"context"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

// claimRecord is a record by which an entry claims or releases an upstream. It
// takes effect when the upstream is still held as it says.
type claimRecord struct {
	upstream cawork.UpstreamID
	was, is  cawork.VMID
}

// claimLog is a log whose calls take a while, or fail while it is down.
type claimLog struct {
	mu      sync.Mutex
	records []claimRecord
	latency time.Duration
	down    bool
}

// set changes the conditions.
func (l *claimLog) set(latency time.Duration, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency, l.down = latency, down
}

func (l *claimLog) call(do func()) {
	l.mu.Lock()
	half := l.latency / 2
	l.mu.Unlock()
	time.Sleep(half)
	l.mu.Lock()
	if !l.down {
		do()
	}
	l.mu.Unlock()
	time.Sleep(half)
}

// logOwner is ownership with claims ordered by the log in place of the agents:
// all entries fold the records in order, the first claim wins. It is given
// fencing and the end of a dead owner's lease for nothing.
type logOwner struct {
	log     *claimLog
	process *process
	ids     []cawork.UpstreamID

	mu     sync.Mutex
	next   int
	holder map[cawork.UpstreamID]cawork.VMID
	drain  bool
}

// logPeriod is the time between two reads and between two appends, as each
// entry may append ten times a second.
const logPeriod = 100 * time.Millisecond

func startLogOwner(ctx context.Context, l *claimLog, p *process, ids []cawork.UpstreamID) *logOwner {
	o := &logOwner{log: l, process: p, ids: ids, holder: map[cawork.UpstreamID]cawork.VMID{}}
	p.open.Go(func() {
		for ; ctx.Err() == nil; pauseFor(ctx, logPeriod) {
			o.read()
		}
	})
	p.open.Go(func() {
		for ; ctx.Err() == nil; pauseFor(ctx, logPeriod) {
			if records := o.wanted(); len(records) > 0 {
				l.call(func() { l.records = append(l.records, records...) })
			}
		}
	})
	return o
}

func (o *logOwner) read() {
	var read []claimRecord
	o.log.call(func() { read = append(read, o.log.records[o.next:]...) })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next += len(read)
	for _, r := range read {
		if o.holder[r.upstream] == r.was {
			o.holder[r.upstream] = r.is
		}
	}
}

// wanted returns the claims and releases that the entry would append.
func (o *logOwner) wanted() []claimRecord {
	self := o.process.vm
	live := map[cawork.VMID]time.Time{}
	var entries []carendezvous.Entry
	for _, e := range caowner.EntriesOf(o.process.members.Members(), o.process.zone) {
		live[e.VM] = e.Since
		entries = append(entries, carendezvous.Entry{VM: e.VM})
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for _, id := range o.ids {
		names = append(names, string(id))
	}
	owners := carendezvous.Assign(names, entries, carendezvous.Capacity(len(names), len(entries)))
	var records []claimRecord
	for _, id := range o.ids {
		holder, desired := o.holder[id], owners[string(id)]
		_, alive := live[holder]
		moved := desired != self && now.Sub(live[desired]) >= 2*time.Second
		switch {
		case holder == self && (moved || o.drain):
			records = append(records, claimRecord{id, self, ""})
		case holder != self && !alive && desired == self && !o.drain && now.Sub(live[self]) >= 2*time.Second:
			records = append(records, claimRecord{id, holder, self})
		}
	}
	return records
}

func (o *logOwner) setDrain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drain = true
}

func (o *logOwner) owned() []cawork.UpstreamID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []cawork.UpstreamID
	for _, id := range o.ids {
		if o.holder[id] == o.process.vm {
			ids = append(ids, id)
		}
	}
	return ids
}
