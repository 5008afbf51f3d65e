package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// requestCounts counts approval requests.
type requestCounts struct {
	// first are those for steps without an answer, firstLate those of them for steps that are late, and
	// again those for steps with an answer.
	first, firstLate, again int
}

// add counts a request for the step.
func (c *requestCounts) add(s *step) {
	switch {
	case s.approvals.hasAnswer:
		c.again++
	case s.lateness == latenessNone:
		c.first++
	default:
		c.first++
		c.firstLate++
	}
}

// approvalBacklogCounts describes the ready steps that the advisor has not decided about.
type approvalBacklogCounts struct {
	onTime, late, useless      int
	longestOnTime, longestLate time.Duration
}

func (b *Planner) countApprovalBacklog() approvalBacklogCounts {
	var c approvalBacklogCounts
	for _, s := range b.steps {
		q, ok := b.queueOf(s.job)
		if !ok || !s.ready || s.waitingTasks == 0 || !s.awaitsAdvisor(q) {
			continue
		}
		waits := b.now.Monotonic.Sub(s.readyAt)
		switch s.lateness {
		case latenessNone:
			c.onTime++
			c.longestOnTime = max(c.longestOnTime, waits)
			continue
		case latenessLate:
			c.late++
		default:
			c.useless++
		}
		c.longestLate = max(c.longestLate, waits)
	}
	return c
}

// logApprovalBacklog logs the backlog of the advisor if a step has waited long for its first answer.
func (b *Planner) logApprovalBacklog() {
	sent := b.requestsSent
	b.requestsSent = requestCounts{}
	c := b.countApprovalBacklog()
	if max(c.longestOnTime, c.longestLate) < minLongWait {
		return
	}
	caevent.Info(b.log, caevent.ApprovalsAwaited).Int("on_time", c.onTime).Int("late", c.late).Int("useless", c.useless).
		Dur("longest_on_time", c.longestOnTime).Dur("longest_late", c.longestLate).
		Int("asking", b.pendingRequests).Int("limit", b.requestLimits.Total).
		Int("asking_long", b.pendingLongRequests).Int("limit_long", b.requestLimits.Long).Float64("turns", b.requestLimits.Turns).
		Int("first", sent.first).Int("first_late", sent.firstLate).Int("again", sent.again).Send()
}
