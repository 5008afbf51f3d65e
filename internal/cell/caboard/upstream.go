package caboard

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cacalls"
	"celeryarch.example/celeryarch/internal/cell/cagang"
	"celeryarch.example/celeryarch/internal/cell/cahealth"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// upstream is an upstream together with what is charged to it.
type upstream struct {
	info caspec.Upstream
	// slot is its number, by which the answers of the advisor are kept.
	slot int
	// listed is set while it is in the platform's list, and listedIncarnation is the one that
	// the list showed last, or zero if it shows none.
	listed            bool
	listedIncarnation int64
	used              cawork.Resources
	// largestCapacity is the most that it had in each dimension in any incarnation.
	largestCapacity cawork.Resources
	// usedWide is the part of used that wide gangs use.
	usedWide cawork.MilliCPU
	// usedLong is the part of used that wide gangs and long-running tasks use.
	usedLong cawork.Resources
	runs     map[caorder.RunID]*run
	// releases are when these are expected to end, as of the plan with the number releasesOf, or
	// of none if that is zero.
	releases   []release
	releasesOf int64
	// abandonedStarts are starts that were given up without an answer and may still take
	// effect.
	abandonedStarts []*run
	// calls are the calls without an answer that may still take effect.
	calls cacalls.Calls
	// token is the fencing token of the calls to it, or zero for that of the leader. awaitsToken is set until its
	// incarnation has answered one with it.
	token       int64
	awaitsToken bool
	// mayForgetUntil is until when the upstream may forget ends that nobody has seen, zero if never. It
	// gets no work until then.
	mayForgetUntil time.Time
	// acknowledgedEnd is the highest number of an end that a call to its incarnation acknowledged, the last
	// one at acknowledgedAt, and answeredEnd that of such a call that it answered.
	acknowledgedEnd, answeredEnd int64
	acknowledgedAt               time.Time
	// lateStops counts the repeated stops of these while the upstream is silent, and
	// lastLateStopAt is when the last one was sent.
	lateStops      int
	lastLateStopAt time.Time

	// clockMS at clockAt is the last reading of the upstream's clock.
	clockMS int64
	clockAt time.Time
	// leaseExpires is when all its runs have ended if it receives no further renewal.
	leaseExpires time.Time
	// lastReportAt is when the newest report that arrived was requested.
	lastReportAt time.Time
	// lastAnswerAt is when it last answered any call. suspectedSince is when the call was
	// made that it left unanswered, and lastProbeAt when it was last probed.
	lastAnswerAt, suspectedSince, lastProbeAt time.Time
	// leavesAt is until when it stays at least, while it drains.
	leavesAt time.Time
	// fenced is set once it has answered a call with the fencing token of this leader.
	fenced bool
	// renewalUnanswered is set while the last lease renewal has no answer.
	renewalUnanswered bool
	// gone is set once it was proved that the upstream no longer exists.
	gone bool
	// appliedEnd is the number of the last end that was applied, and storedEnd of the
	// last one stored.
	appliedEnd int64
	storedEnd  int64
	// pausedUntil keeps new work away after the upstream rejected a start.
	pausedUntil time.Time
	// health compares its failures with those of all upstreams.
	health cahealth.Counts
	// available is set while the upstream accepts work in the current plan, and planIndex is its
	// place among those of its pool that do.
	available bool
	planIndex int
	// seen is what the last plan saw of it.
	seen seenRoom
	// partitionRank determines when it joins the gang partition, and inPartition is set
	// while it is part of that.
	partitionRank float64
	inPartition   bool
	// probationOf is the job with a run on probation there, if any.
	probationOf *job
	// probationIsNew is set until the upstream has survived all of these runs for exclusiveProbation.
	probationIsNew bool
	// reservedBy is the step that room is reserved for, if any: all room for a gang, and
	// reservedRoom for a single task, since reservedSince. That room is expected to be
	// complete at reservedFrom.
	reservedBy                  *step
	reservedRoom                cawork.Resources
	reservedFrom, reservedSince time.Time
	// slowness is how many times longer tasks run here than on an upstream of usual speed, and slow is
	// set if that is clearly longer than on the faster ones.
	slowness float64
	slow     bool
}

func newUpstream(info caspec.Upstream) *upstream {
	return &upstream{
		info: info, largestCapacity: info.Capacity, runs: make(map[caorder.RunID]*run), slowness: 1, partitionRank: cagang.RankOf(info.ID),
	}
}

// addUpstream adds an upstream to the planner.
func (b *Planner) addUpstream(u *upstream) {
	b.upstreams[u.info.ID] = u
	b.takeSlot(u)
	u.token = b.raisedTokens[u.info.ID]
	b.takeCalls(u)
	at, _ := slices.BinarySearchFunc(b.sortedUpstreams, u, compareUpstreams)
	b.sortedUpstreams = slices.Insert(b.sortedUpstreams, at, u)
}

// forgetUpstreams drops the upstreams about which nothing needs to be remembered.
func (b *Planner) forgetUpstreams() {
	b.sortedUpstreams = slices.DeleteFunc(b.sortedUpstreams, func(u *upstream) bool {
		unneeded := u.isUnneeded()
		if unneeded {
			b.keepCalls(u)
			delete(b.upstreams, u.info.ID)
			b.bySlot[u.slot] = nil
		}
		return unneeded
	})
}

func compareUpstreams(x, y *upstream) int { return cmp.Compare(x.info.ID, y.info.ID) }

func (u *upstream) free() cawork.Resources { return u.info.Capacity.Minus(u.used) }

func (u *upstream) charge(r *run) {
	u.used = u.used.Plus(r.size)
	if r.wide {
		u.usedWide += r.size.CPU
	}
	if r.keepsGangRoom() {
		u.usedLong = u.usedLong.Plus(r.size)
	}
	if former := u.runs[r.id]; former != nil {
		former.isCharged = false
	}
	u.runs[r.id] = r
	r.isCharged = true
	r.step.keepLastRun(r)
	u.releasesOf = 0
}

func (u *upstream) discharge(r *run) {
	u.used = u.used.Minus(r.size)
	if r.wide {
		u.usedWide -= r.size.CPU
	}
	if r.keepsGangRoom() {
		u.usedLong = u.usedLong.Minus(r.size)
	}
	delete(u.runs, r.id)
	r.isCharged = false
	u.releasesOf = 0
}

// leaseEndMS returns the end of a lease of the length that begins now, on the clock of
// the upstream, or zero while that clock is not known.
func (u *upstream) leaseEndMS(now time.Time, length time.Duration) int64 {
	if u.clockAt.IsZero() {
		return 0
	}
	return u.clockMS + (now.Sub(u.clockAt) + length).Milliseconds()
}

// extendLease records that a lease of the length was sent now. The clock of the upstream
// may be slow, so the lease may last longer than its length.
func (u *upstream) extendLease(now time.Time, length time.Duration) {
	end := now.Add(longestLease(length))
	if end.After(u.leaseExpires) {
		u.leaseExpires = end
	}
}

// longestLease returns the longest time until a lease of the length has expired that is granted now.
func longestLease(length time.Duration) time.Duration {
	return time.Duration(float64(length)*maxClockDrift) + leaseMargin
}

// isDescriptionOutdated reports whether the list still describes an earlier incarnation than
// the one that the reports have shown. The later one may have less room and other labels.
func (u *upstream) isDescriptionOutdated() bool {
	return u.listedIncarnation != 0 && u.listedIncarnation < u.info.Incarnation
}

// acceptsWork reports whether the upstream may get new work now.
func (u *upstream) acceptsWork(now time.Time) bool {
	return u.listed && !now.Before(u.mayForgetUntil) && !u.isDescriptionOutdated() && u.fenced && !u.info.Draining && !u.isSuspected() &&
		now.Sub(u.lastReportAt) < maxReportAge && !now.Before(u.pausedUntil) && !u.health.IsEjected(now)
}
