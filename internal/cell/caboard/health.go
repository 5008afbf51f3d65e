package caboard

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// health counts how runs on one upstream ended, those of one job that fail in a row
// once. The counts fade, so that an upstream that works again is used again.
type health struct {
	done, failed float64
	fadedAt      time.Time
	outUntil     time.Time
	// ejections lengthens the next rest.
	ejections int
	// row counts the jobs of which runs failed since the last one that ended well, and
	// failedJob is the last of them: a job may fail everywhere by its own fault.
	row       int
	failedJob cawork.JobID
}

func (h *health) fade(now time.Time) {
	if h.fadedAt.IsZero() {
		h.fadedAt = now
		return
	}
	for now.Sub(h.fadedAt) >= healthFade {
		h.done /= 2
		h.failed /= 2
		h.fadedAt = h.fadedAt.Add(healthFade)
		if h.done < 0.01 && h.failed < 0.01 {
			h.fadedAt = now
		}
	}
}

func (h *health) note(now time.Time, job cawork.JobID, failed bool) {
	h.fade(now)
	if !failed {
		h.done++
		h.ejections, h.row, h.failedJob = 0, 0, ""
		return
	}
	if job != h.failedJob {
		h.failed++
		h.row++
		h.failedJob = job
	}
}

// share returns the fraction of runs that failed.
func (h *health) share() float64 {
	if h.failed == 0 {
		return 0
	}
	return h.failed / (h.failed + h.done)
}

func (h *health) isOut(now time.Time) bool { return now.Before(h.outUntil) }

// eject keeps new work away, longer each time in a row.
func (h *health) eject(now time.Time) {
	rest := min(ejectRest<<h.ejections, ejectRestMost)
	h.outUntil = now.Add(rest)
	h.ejections++
	h.done, h.failed = 0, 0
}

// isSick reports whether the runs on an upstream fail much more often than
// those of all upstreams: by their part of all, or by so many jobs in a row as chance
// rarely brings.
func (h *health) isSick(all health) bool {
	if h.row >= ejectRow && math.Pow(all.share(), float64(h.row)) < rareRow {
		return true
	}
	return h.failed >= ejectFailures && h.share() > ejectShare && h.share() > ejectAgainstPeers*all.share()
}
