package cafault_test

import (
	"context"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

// claimRecord is a record with which an entry claims or releases an upstream. It
// takes effect only if prevHolder still holds the upstream.
type claimRecord struct {
	upstream              cawork.UpstreamID
	prevHolder, newHolder cawork.VMID
}

// claimLog is a fake log with a call latency. While it is down, calls have no
// effect.
type claimLog struct {
	mu      sync.Mutex
	records []claimRecord
	latency time.Duration
	down    bool
}

// setConditions sets the latency and whether the log is down.
func (l *claimLog) setConditions(latency time.Duration, down bool) {
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

// logOwner implements ownership with claims ordered by the log instead of leases
// granted by agents: all entries apply the records in order, and the first claim
// wins. It leaves out fencing and the wait for the lease of a dead owner, so it is
// faster than a complete implementation would be.
type logOwner struct {
	log     *claimLog
	process *process
	ids     []cawork.UpstreamID

	mu         sync.Mutex
	nextRecord int
	holders    map[cawork.UpstreamID]cawork.VMID
	draining   bool
}

// logPeriod is the time between two reads and between two appends, because each
// entry may append ten times a second.
const logPeriod = 100 * time.Millisecond

func startLogOwner(ctx context.Context, l *claimLog, p *process, ids []cawork.UpstreamID) *logOwner {
	o := &logOwner{log: l, process: p, ids: ids, holders: map[cawork.UpstreamID]cawork.VMID{}}
	p.wg.Go(func() {
		for ; ctx.Err() == nil; sleep(ctx, logPeriod) {
			o.applyRecords()
		}
	})
	p.wg.Go(func() {
		for ; ctx.Err() == nil; sleep(ctx, logPeriod) {
			if records := o.recordsToAppend(); len(records) > 0 {
				l.call(func() { l.records = append(l.records, records...) })
			}
		}
	})
	return o
}

func (o *logOwner) applyRecords() {
	var records []claimRecord
	o.log.call(func() { records = append(records, o.log.records[o.nextRecord:]...) })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextRecord += len(records)
	for _, r := range records {
		if o.holders[r.upstream] == r.prevHolder {
			o.holders[r.upstream] = r.newHolder
		}
	}
}

// recordsToAppend returns the claims and releases that the entry appends now.
func (o *logOwner) recordsToAppend() []claimRecord {
	self := o.process.vm
	liveSince := map[cawork.VMID]time.Time{}
	var entries []carendezvous.Entry
	for _, e := range caowner.LiveEntries(o.process.membership.Members(), o.process.zone) {
		liveSince[e.VM] = e.Since
		entries = append(entries, carendezvous.Entry{VM: e.VM})
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for _, id := range o.ids {
		names = append(names, string(id))
	}
	desiredOwners := carendezvous.Assign(names, entries, carendezvous.Capacity(len(names), len(entries)))
	var records []claimRecord
	for _, id := range o.ids {
		holder, desired := o.holders[id], desiredOwners[string(id)]
		_, alive := liveSince[holder]
		moved := desired != self && now.Sub(liveSince[desired]) >= 2*time.Second
		switch {
		case holder == self && (moved || o.draining):
			records = append(records, claimRecord{id, self, ""})
		case holder != self && !alive && desired == self && !o.draining && now.Sub(liveSince[self]) >= 2*time.Second:
			records = append(records, claimRecord{id, holder, self})
		}
	}
	return records
}

func (o *logOwner) setDraining() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
}

func (o *logOwner) owned() []cawork.UpstreamID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []cawork.UpstreamID
	for _, id := range o.ids {
		if o.holders[id] == o.process.vm {
			ids = append(ids, id)
		}
	}
	return ids
}
