// Package caapproval distributes the approval requests of a leader over the entries that pass them to
// the advisor, and learns how much longer than announced the advisor takes. It does no input or
// output and reads no clock.
//
// The advisor handles one request of each entry at a time, in their order, and does not notice that nobody
// waits for an answer any more. A request that got no answer in time may therefore still occupy its
// entry. An answer to a later request of the entry shows that it does not.
package caapproval

import (
	"cmp"
	"math"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

const (
	// minRequestsPerProxy is how many open requests one entry may have at least: the advisor handles one
	// while the next is in transit. More are open where the transfer takes longer than they do.
	minRequestsPerProxy = 2
	// maxOpenPerProxy bounds the open requests of one entry in any case. Where all are overdue, further ones
	// show whether the advisor is well.
	maxOpenPerProxy = 6
	// minLongShare is the smallest fraction of the entries that may carry long requests.
	minLongShare = 0.6
	// shortReserveFactor is the ratio of the entries that are kept free for short requests to those
	// that these occupy on average.
	shortReserveFactor = 2.0
	// overdueMargin is the time beyond the expected one after which a request is overdue.
	overdueMargin = 1500 * time.Millisecond
	// GiveUpAfter is how long an answer is accepted.
	GiveUpAfter = 30 * time.Second
	// backoff is how long an entry gets no requests after one of its requests failed or became overdue.
	backoff = 2 * time.Second
)

// Proxies are the entries through which a leader asks the advisor. It is not safe for concurrent use.
type Proxies struct {
	proxies map[cawork.VMID]*proxy
	// names are the present entries, sorted.
	names []cawork.VMID
	// awaited are the requests that the planner waits for, and whether they are long.
	awaited   map[int64]bool
	lastID    int64
	slowness  slowness
	shortLoad load
}

// proxy is one entry.
type proxy struct {
	// open are the requests that the advisor may still handle, in their order.
	open []openRequest
	// busyUntil is when the advisor is expected to have answered them.
	busyUntil    time.Time
	backoffUntil time.Time
}

type openRequest struct {
	id                int64
	cost              time.Duration
	isLong, isOverdue bool
}

// Request is a request that was assigned to an entry.
type Request struct {
	Proxy cawork.VMID
	// SentAt is when it was assigned, and Announced how long the advisor should take by its terms,
	// with the requests before it.
	SentAt    time.Time
	Announced time.Duration
	// OverdueAfter is how long an answer is waited for before the request may be repeated.
	OverdueAfter time.Duration
	id           int64
}

// New returns proxies without open requests.
func New() *Proxies {
	return &Proxies{proxies: make(map[cawork.VMID]*proxy), awaited: make(map[int64]bool), slowness: newSlowness()}
}

// SetPresent sets which entries are present. It is to be called with each plan.
func (p *Proxies) SetPresent(now time.Time, names []cawork.VMID) {
	p.slowness.noteRunning(now)
	p.names = slices.Sorted(slices.Values(names))
	for name, known := range p.proxies {
		if len(known.open) == 0 && !slices.Contains(p.names, name) {
			delete(p.proxies, name)
		}
	}
	for _, name := range p.names {
		if p.proxies[name] == nil {
			p.proxies[name] = &proxy{}
		}
	}
}

// Assign assigns a request to an entry that may carry it, the one with the shortest backlog. It reports
// whether there is an entry.
func (p *Proxies) Assign(now time.Time, ask caorder.ApprovalRequest) (Request, bool) {
	if len(p.names) == 0 {
		return Request{}, false
	}
	name := p.choose(now, ask.Long)
	chosen := p.proxies[name]
	announced := chosen.backlog(now) + ask.Cost
	chosen.busyUntil = now.Add(announced)
	p.lastID++
	chosen.open = append(chosen.open, openRequest{id: p.lastID, cost: ask.Cost, isLong: ask.Long})
	p.awaited[p.lastID] = ask.Long
	if !ask.Long {
		p.shortLoad.add(now, ask.Cost)
	}
	return Request{
		Proxy: name, SentAt: now, Announced: announced, id: p.lastID,
		OverdueAfter: time.Duration(p.Slowness(now)*float64(announced)) + overdueMargin,
	}, true
}

func (p *Proxies) choose(now time.Time, isLong bool) cawork.VMID {
	candidates := p.usable(now)
	if isLong {
		candidates = candidates[:p.longProxies(now, len(candidates))]
	} else {
		slices.Reverse(candidates)
	}
	return slices.MinFunc(candidates, func(x, y cawork.VMID) int {
		a, b := p.proxies[x], p.proxies[y]
		return cmp.Or(
			-cmp.Compare(min(p.freeSlots(a, isLong), 1), min(p.freeSlots(b, isLong), 1)),
			cmp.Compare(a.backlog(now), b.backlog(now)), cmp.Compare(len(a.open), len(b.open)),
		)
	})
}

// MarkOverdue records that the answer to a request is overdue, so that it may be repeated through another
// entry.
func (p *Proxies) MarkOverdue(now time.Time, q Request) {
	delete(p.awaited, q.id)
	known := p.proxies[q.Proxy]
	if known == nil {
		return
	}
	if at := known.find(q.id); at >= 0 {
		known.open[at].isOverdue = true
		known.backoffUntil = now.Add(backoff)
	}
}

// End ends a request, with an answer or without.
func (p *Proxies) End(now time.Time, q Request, answered bool) {
	delete(p.awaited, q.id)
	if answered {
		p.slowness.add(now, q.SentAt, q.Announced)
	}
	known := p.proxies[q.Proxy]
	if known == nil {
		return
	}
	at := known.find(q.id)
	switch {
	case answered:
		known.open = slices.Delete(known.open, 0, at+1)
		known.backoffUntil = time.Time{}
	case at >= 0:
		known.open = slices.Delete(known.open, at, at+1)
		known.backoffUntil = now.Add(backoff)
	}
}

// Limits returns how many requests may be awaited, given those that are, and how fast the advisor
// answers.
func (p *Proxies) Limits(now time.Time) caboard.RequestLimits {
	limits := caboard.RequestLimits{Total: len(p.awaited)}
	for _, isLong := range p.awaited {
		limits.Long += count(isLong)
	}
	usable := p.usable(now)
	long := p.longProxies(now, len(usable))
	for i, name := range usable {
		limits.Total += p.freeSlots(p.proxies[name], false)
		if i < long {
			limits.Long += p.freeSlots(p.proxies[name], true)
		}
	}
	limits.Turns = float64(len(p.names)) / p.Slowness(now)
	limits.LongTurns = float64(p.longProxies(now, len(p.names))) / p.Slowness(now)
	return limits
}

// Inherit begins with the slowness that another leader observed, 1 or less if none.
func (p *Proxies) Inherit(now time.Time, slowness float64) { p.slowness.inherit(now, slowness) }

// Slowness returns how many times longer than announced the advisor takes, at least 1.
func (p *Proxies) Slowness(now time.Time) float64 { return p.slowness.value(now) }

// usable returns the present entries that are not in backoff, or all of them if each one is, sorted.
func (p *Proxies) usable(now time.Time) []cawork.VMID {
	usable := make([]cawork.VMID, 0, len(p.names))
	for _, name := range p.names {
		if !now.Before(p.proxies[name].backoffUntil) {
			usable = append(usable, name)
		}
	}
	if len(usable) == 0 {
		return slices.Clone(p.names)
	}
	return usable
}

// longProxies returns how many of n entries may carry long requests: all but those that the short ones
// need.
func (p *Proxies) longProxies(now time.Time, n int) int {
	if n <= 1 {
		return n
	}
	least := max(int(minLongShare*float64(n)+0.5), 1)
	reserved := max(int(math.Ceil(shortReserveFactor*p.shortLoad.value(now))), 1)
	return max(n-reserved, least)
}

// freeSlots returns how many further requests, or long ones, the entry may carry: one long one at a time,
// one more while all are overdue, and one more while the advisor gets through those that are open before
// an answer has been transferred.
func (p *Proxies) freeSlots(k *proxy, isLong bool) int {
	overdue, long, work := 0, 0, time.Duration(0)
	for _, q := range k.open {
		overdue += count(q.isOverdue)
		long += count(q.isLong)
		work += q.cost
	}
	free := max(minRequestsPerProxy-len(k.open), 0)
	isIdleSoon := overdue == len(k.open) || overdue == 0 && work < p.slowness.transferTime
	if free == 0 && isIdleSoon && len(k.open) < maxOpenPerProxy {
		free = 1
	}
	if isLong && long > 0 && overdue < len(k.open) {
		return 0
	}
	if isLong {
		return min(free, 1)
	}
	return free
}

// find returns the place of an open request, -1 if it is not open.
func (k *proxy) find(id int64) int {
	return slices.IndexFunc(k.open, func(q openRequest) bool { return q.id == id })
}

func (k *proxy) backlog(now time.Time) time.Duration { return max(k.busyUntil.Sub(now), 0) }

func count(matches bool) int {
	if matches {
		return 1
	}
	return 0
}
