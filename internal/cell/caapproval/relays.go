// Package caapproval distributes the approval requests of a leader over the entries that relay them to
// the advisor, and learns how much longer than announced the advisor takes. It does no input or
// output and reads no clock.
//
// The advisor handles one request of each entry at a time and does not notice that nobody waits for an
// answer any more. A request that got no answer in time therefore still occupies its entry.
package caapproval

import (
	"cmp"
	"math"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
)

const (
	// maxRequestsPerRelay bounds the open requests of one entry: the advisor handles one while the
	// next is in transit.
	maxRequestsPerRelay = 2
	// minLongShare is the smallest fraction of the entries that may carry long requests.
	minLongShare = 0.6
	// shortReserveFactor is the ratio of the entries that are kept free for short requests to those
	// that these occupy on average.
	shortReserveFactor = 2.0
	// overdueMargin is the time beyond the expected one after which a request is overdue.
	overdueMargin = 1500 * time.Millisecond
	// minGiveUp is the shortest time after which an open request is given up, and giveUpFactor its
	// ratio to the time after which it is overdue.
	minGiveUp    = 8 * time.Second
	giveUpFactor = 2
	// backoff is how long an entry gets no requests after one of its requests failed or became overdue.
	backoff = 2 * time.Second
)

// Relays are the entries that relay approval requests. It is not safe for concurrent use.
type Relays struct {
	relays map[cawork.VMID]*relay
	// names are the present entries, sorted.
	names     []cawork.VMID
	slowness  slowness
	shortLoad load
}

// relay is one entry with its open requests.
type relay struct {
	// open counts the requests without an answer, and long the long ones of them.
	open, long int
	// overdue counts those of them that the planner does not wait for any more, and overdueLong the
	// long ones of these.
	overdue, overdueLong int
	// busyUntil is when the advisor is expected to have answered them.
	busyUntil    time.Time
	backoffUntil time.Time
}

// Request is a request that was assigned to an entry.
type Request struct {
	Relay cawork.VMID
	// SentAt is when it was assigned, and Announced how long the advisor should take by its terms,
	// with the requests before it.
	SentAt    time.Time
	Announced time.Duration
	// OverdueAfter is how long an answer is waited for before the request may be repeated, and
	// GiveUpAfter how long a late answer is still accepted.
	OverdueAfter, GiveUpAfter time.Duration
	isLong, isOverdue         bool
}

// New returns relays without open requests.
func New() *Relays { return &Relays{relays: make(map[cawork.VMID]*relay)} }

// SetPresent sets which entries are present.
func (r *Relays) SetPresent(names []cawork.VMID) {
	r.names = slices.Sorted(slices.Values(names))
	for name, known := range r.relays {
		if known.open == 0 && !slices.Contains(r.names, name) {
			delete(r.relays, name)
		}
	}
	for _, name := range r.names {
		if r.relays[name] == nil {
			r.relays[name] = &relay{}
		}
	}
}

// Assign assigns a request to the entry with the shortest backlog. It reports whether there is an entry.
func (r *Relays) Assign(now time.Time, ask caboard.ApprovalRequest) (Request, bool) {
	if len(r.names) == 0 {
		return Request{}, false
	}
	name := r.choose(now, ask)
	announced := r.backlog(now, name) + ask.Cost
	chosen := r.relays[name]
	chosen.busyUntil = now.Add(announced)
	chosen.open++
	chosen.long += count(ask.Long)
	if !ask.Long {
		r.shortLoad.add(now, ask.Cost)
	}
	overdueAfter := time.Duration(r.Slowness(now)*float64(announced)) + overdueMargin
	return Request{
		Relay: name, SentAt: now, Announced: announced, isLong: ask.Long,
		OverdueAfter: overdueAfter, GiveUpAfter: max(giveUpFactor*overdueAfter, minGiveUp),
	}, true
}

// choose returns the entry for a request: one that may carry it, with the shortest backlog.
func (r *Relays) choose(now time.Time, ask caboard.ApprovalRequest) cawork.VMID {
	candidates := r.usable(now)
	if ask.Long {
		candidates = candidates[:r.longRelays(now, len(candidates))]
	} else {
		slices.Reverse(candidates)
	}
	return slices.MinFunc(candidates, func(x, y cawork.VMID) int {
		return cmp.Or(
			compareFull(r.relays[x], r.relays[y]), cmp.Compare(r.backlog(now, x), r.backlog(now, y)), cmp.Compare(r.relays[x].open, r.relays[y].open),
		)
	})
}

// compareFull orders entries that may get another request before those that may not.
func compareFull(x, y *relay) int {
	return cmp.Compare(x.open/maxRequestsPerRelay, y.open/maxRequestsPerRelay)
}

// WithOverdue returns the request as one that is overdue, so that it may be repeated through another
// entry. It occupies its entry until it ends.
func (r *Relays) WithOverdue(now time.Time, q Request) Request {
	q.isOverdue = true
	if known := r.relays[q.Relay]; known != nil {
		known.overdue++
		known.overdueLong += count(q.isLong)
		known.backoffUntil = now.Add(backoff)
	}
	return q
}

// End ends a request, with an answer or without.
func (r *Relays) End(now time.Time, q Request, answered bool) {
	known := r.relays[q.Relay]
	known.open--
	known.long -= count(q.isLong)
	known.overdue -= count(q.isOverdue)
	known.overdueLong -= count(q.isLong && q.isOverdue)
	if !answered {
		known.backoffUntil = now.Add(backoff)
		return
	}
	known.backoffUntil = time.Time{}
	r.slowness.add(now, q.Announced, now.Sub(q.SentAt))
}

// Limits returns how many requests may await an answer, given those that do, and how fast the advisor
// answers.
func (r *Relays) Limits(now time.Time) caboard.RequestLimits {
	var limits caboard.RequestLimits
	for _, known := range r.relays {
		limits.Total += known.open - known.overdue
		limits.Long += known.long - known.overdueLong
	}
	usable := r.usable(now)
	long := r.longRelays(now, len(usable))
	for i, name := range usable {
		known := r.relays[name]
		limits.Total += max(maxRequestsPerRelay-known.open, 0)
		if i < long && known.long == 0 && known.open < maxRequestsPerRelay {
			limits.Long++
		}
	}
	limits.Turns = float64(len(r.names)) / r.Slowness(now)
	limits.LongTurns = float64(r.longRelays(now, len(r.names))) / r.Slowness(now)
	return limits
}

// Slowness returns how many times longer than announced the advisor takes, at least 1.
func (r *Relays) Slowness(now time.Time) float64 { return r.slowness.value(now) }

// usable returns the present entries that are not in backoff, or all of them if each one is, sorted.
func (r *Relays) usable(now time.Time) []cawork.VMID {
	usable := make([]cawork.VMID, 0, len(r.names))
	for _, name := range r.names {
		if !now.Before(r.relays[name].backoffUntil) {
			usable = append(usable, name)
		}
	}
	if len(usable) == 0 {
		return slices.Clone(r.names)
	}
	return usable
}

// longRelays returns how many of n entries may carry long requests: all but those that the short ones
// need.
func (r *Relays) longRelays(now time.Time, n int) int {
	if n <= 1 {
		return n
	}
	least := max(int(minLongShare*float64(n)+0.5), 1)
	reserved := max(int(math.Ceil(shortReserveFactor*r.shortLoad.value(now))), 1)
	return max(n-reserved, least)
}

func (r *Relays) backlog(now time.Time, name cawork.VMID) time.Duration {
	return max(r.relays[name].busyUntil.Sub(now), 0)
}

func count(matches bool) int {
	if matches {
		return 1
	}
	return 0
}
