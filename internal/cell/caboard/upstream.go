package caboard

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// upstream is an upstream with what is charged to it.
type upstream struct {
	info caspec.Upstream
	// listed is set while the platform lists it.
	listed bool
	used   cawork.Resources
	// usedWide is the part of it that wide gangs use.
	usedWide cawork.MilliCPU
	runs     map[RunID]*run
	// late are starts that were given up without an answer.
	late []*run

	// clockMS at clockAt is the last reading of its clock.
	clockMS int64
	clockAt time.Time
	// leaseEnds is when everything there is over if it hears nothing more.
	leaseEnds time.Time
	// reportedAt is when the last report was asked for that was answered.
	reportedAt time.Time
	// answeredAt is when it last answered any call, doubtedAt when the call was made that
	// it left unanswered, and lookedAt when it was asked for a report since it was doubted.
	answeredAt, doubtedAt, lookedAt time.Time
	// fenced is set once it has answered a call with the token of this leader.
	fenced bool
	// unanswered is set while the last renewal had no answer.
	unanswered bool
	// noted is the last end that was applied, storedEnd the last one stored.
	noted     int64
	storedEnd int64
	// restUntil keeps new work away after a refusal.
	restUntil time.Time
	// sick tracks failures against those of its peers.
	sick health
	// open is set while the upstream accepts work in the plan being made.
	open bool
	// rank decides when it joins the gang area, and inArea is set while it is left
	// to wide gangs.
	rank   float64
	inArea bool
	// reservedBy keeps the room for a step that waits for all of it.
	reservedBy *step
	// slowness is the mean run time of tasks here against that elsewhere.
	slowness float64
}

func newUpstream(info caspec.Upstream) *upstream {
	return &upstream{info: info, runs: make(map[RunID]*run), slowness: 1, rank: rankOf(info.ID)}
}

// addUpstream makes the board know an upstream.
func (b *Board) addUpstream(u *upstream) {
	b.upstreams[u.info.ID] = u
	at, _ := slices.BinarySearchFunc(b.inOrder, u, compareUpstreams)
	b.inOrder = slices.Insert(b.inOrder, at, u)
}

// forgetUpstreams drops the upstreams that nothing is to be known of any more.
func (b *Board) forgetUpstreams() {
	b.inOrder = slices.DeleteFunc(b.inOrder, func(u *upstream) bool {
		forgotten := u.isForgotten()
		if forgotten {
			delete(b.upstreams, u.info.ID)
		}
		return forgotten
	})
}

func compareUpstreams(x, y *upstream) int { return cmp.Compare(x.info.ID, y.info.ID) }

func (u *upstream) free() cawork.Resources { return u.info.Capacity.Minus(u.used) }

func (u *upstream) charge(r *run) {
	u.used = u.used.Plus(r.size)
	if r.wide {
		u.usedWide += r.size.CPU
	}
	u.runs[r.id] = r
}

func (u *upstream) discharge(r *run) {
	u.used = u.used.Minus(r.size)
	if r.wide {
		u.usedWide -= r.size.CPU
	}
	delete(u.runs, r.id)
}

// untilMS returns the end of a lease of the length that begins now, on the
// clock of the upstream, or zero while that clock is not known.
func (u *upstream) untilMS(now time.Time, length time.Duration) int64 {
	if u.clockAt.IsZero() {
		return 0
	}
	return u.clockMS + (now.Sub(u.clockAt) + length).Milliseconds()
}

// extend notes that a lease of the length was sent now. The clock of the
// upstream may be slow, so that the lease lasts longer than its length.
func (u *upstream) extend(now time.Time, length time.Duration) {
	end := now.Add(time.Duration(float64(length)*clockDrift) + leaseSlack)
	if end.After(u.leaseEnds) {
		u.leaseEnds = end
	}
}

// accepts reports whether new work may go there now.
func (u *upstream) accepts(now time.Time) bool {
	return u.listed && u.fenced && !u.info.Draining && !u.isDoubted() &&
		now.Sub(u.reportedAt) < reportAge && !now.Before(u.restUntil) && !u.sick.isOut(now)
}
