package caboard

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// approvedRoom is the room that the advisor leaves to a step.
type approvedRoom struct {
	// approved counts the listed upstreams that may run the step, and undecided those that could hold a task
	// of it and that the advisor has not decided about in their present incarnation.
	approved, undecided int
	// places is how many tasks of the step fit on the approved upstreams when these are empty.
	places int
}

// approvedRoomOf returns the room that the advisor leaves to a step of a queue.
func (b *Planner) approvedRoomOf(s *step, q caspec.Queue) approvedRoom {
	var room approvedRoom
	for _, u := range b.sortedUpstreams {
		if !u.listed || u.info.Pool != q.Pool || !u.info.HasLabel(s.spec.Label) {
			continue
		}
		places := caroom.TasksIn(u.info.Capacity, s.spec)
		switch {
		case s.approvals.isApproved(u):
			room.approved++
			room.places += places
		case places > 0 && !s.approvals.isDecided(u):
			room.undecided++
		}
	}
	return room
}

// isTooSmall reports whether a step can't run before upstreams join, are restarted or grow.
func (r approvedRoom) isTooSmall(s caspec.Step) bool {
	return r.undecided == 0 && r.places < caroom.AtOnce(s)
}

// logLackedRoom logs which waiting steps have become ones that do not fit on the upstreams that the advisor
// approved, even when these are empty, and which do again. Such a step stays queued.
func (b *Planner) logLackedRoom() {
	if b.now.Monotonic.Sub(b.lackedRoomLoggedAt) < longWaitLogInterval {
		return
	}
	b.lackedRoomLoggedAt = b.now.Monotonic
	for _, s := range b.steps {
		q, ok := b.queueOf(s.job)
		if !ok || q.Approval == nil || !s.ready || s.waitingTasks < caroom.AtOnce(s.spec) || b.now.Monotonic.Sub(s.waitBegan()) < minLongWait {
			continue
		}
		b.logLackedRoomOf(s, b.approvedRoomOf(s, q))
	}
}

func (b *Planner) logLackedRoomOf(s *step, room approvedRoom) {
	lacksRoom := room.isTooSmall(s.spec)
	if lacksRoom == s.lacksRoom {
		return
	}
	s.lacksRoom = lacksRoom
	caevent.Info(b.log, caevent.StepLacksRoom).Str("job", string(s.job.Submission.ID)).Int("step", s.number).
		Str("queue", string(s.job.Submission.Queue)).Str("team", string(s.job.Submission.Team)).
		Dur("since_ready", b.now.Monotonic.Sub(s.readyAt)).Bool("lacks", lacksRoom).
		Int("at_once", caroom.AtOnce(s.spec)).Int("places", room.places).Int("approved", room.approved).Int("undecided", room.undecided).Send()
}
