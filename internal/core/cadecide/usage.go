package cadecide

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/casched"
)

const (
	// overrunPercent is the usage at which a task counts as over its size.
	overrunPercent = 105
	// overrunGrace is the time that a throttled task gets to come down.
	overrunGrace = 10 * time.Second
)

// ReportUsage implements casched.Scheduler. A task that needs more than was
// committed for it, but not more than it declared, gets it when there is room.
// One beyond that is throttled, and checkpointed when it stays there.
func (s *Scheduler) ReportUsage(ref cawork.TaskRef, used cawork.Resources, now time.Time) {
	t := s.ledger.Task(ref)
	if t == nil || t.Stopping != caledger.StoppingNot {
		return
	}
	t.Peak = larger(t.Peak, used)
	if !over(used, t.Demand.Size) {
		t.Throttled = time.Time{}
		return
	}
	if t.Job != nil && s.grow(t, used) {
		return
	}
	switch {
	case t.Throttled.IsZero():
		t.Throttled = now
		s.pending = append(s.pending, s.onTask(casched.DecisionThrottle, casched.ReasonOverSize, t, now))
	case now.Sub(t.Throttled) >= overrunGrace:
		if t.Job != nil {
			t.Job.Floor = larger(t.Job.Floor, t.Peak)
			t.Job.Version = 0
		}
		t.Overran = true
		s.pending = append(s.pending, s.checkpoint(t, casched.ReasonOverSize, now))
	}
}

func over(used, size cawork.Resources) bool {
	return int64(used.CPU)*100 > int64(size.CPU)*overrunPercent ||
		int64(used.Memory)*100 > int64(size.Memory)*overrunPercent
}

// grow commits what the task uses, within what it declared.
func (s *Scheduler) grow(t *caledger.Task, used cawork.Resources) bool {
	declared := t.Job.Spec.Size
	if over(used, declared) || t.Host == caplace.NoHost || declared == t.Demand.Size {
		return false
	}
	d := t.Demand
	d.Size = larger(d.Size, declared)
	difference := d.Minus(t.Demand)
	tm := s.team(t.Team)
	if !difference.Fits(s.index.FreeOn(t.Host)) || !tm.Allows(difference.Size) {
		return false
	}
	s.index.Resize(t.Host, difference)
	s.recharge(t, d)
	return true
}

// onTask returns a decision about an open task.
func (s *Scheduler) onTask(
	k casched.DecisionKind, r casched.Reason, t *caledger.Task, now time.Time,
) casched.Decision {
	d := casched.Decision{
		Kind: k, Reason: r, At: now, Job: t.Ref.Job, Team: t.Team, WorkKind: t.Kind,
		Upstream: t.Upstream, Placements: []casched.Placement{t.Placement()},
		Share: s.team(t.Team).Share(), Loss: now.Sub(t.Placed), Attempts: t.Attempts - 1,
	}
	if t.Job != nil {
		d.Waited = now.Sub(t.Job.Accepted)
	}
	return d
}

// checkpoint asks a task to save its progress and end.
func (s *Scheduler) checkpoint(t *caledger.Task, r casched.Reason, now time.Time) casched.Decision {
	s.ask(t, caledger.StoppingCheckpoint, now)
	return s.onTask(casched.DecisionCheckpoint, r, t, now)
}

// ask notes that a task was asked to end.
func (s *Scheduler) ask(t *caledger.Task, stage caledger.Stopping, now time.Time) {
	if t.Stopping == caledger.StoppingNot {
		if t.Job != nil {
			t.Account.Stopping = t.Account.Stopping.Plus(t.Demand.Size)
		}
		s.asked = append(s.asked, t)
	}
	t.Stopping, t.StopAsked = stage, now
}
