package caboard

import "time"

// health counts how runs on one upstream ended. The counts fade, so that an
// upstream that works again is used again.
type health struct {
	done, failed float64
	fadedAt      time.Time
	outUntil     time.Time
	// ejections lengthens the next rest.
	ejections int
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

func (h *health) note(now time.Time, failed bool) {
	h.fade(now)
	if failed {
		h.failed++
		return
	}
	h.done++
	h.ejections = 0
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
// those of all upstreams.
func (h *health) isSick(all health) bool {
	return h.failed >= ejectFailures && h.share() > ejectShare && h.share() > ejectAgainstPeers*all.share()
}
