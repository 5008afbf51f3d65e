package caloglines

import (
	"fmt"
	"strings"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// Text formats the line for people.
func (l Line) Text() string {
	var b strings.Builder
	b.WriteString(l.eventName())
	if l.isTaskEvent() {
		fmt.Fprintf(&b, " step %d task %d run %d on %s", l.Step, l.Task, l.Run, l.Upstream)
	}
	if l.Event == caevent.UpstreamCrashed {
		fmt.Fprintf(&b, " %s, suspected of it: %s;", l.Upstream, strings.Join(l.SuspectJobs, ", "))
	}
	if l.Event == caevent.JobGivenUp {
		fmt.Fprintf(&b, " step %d task %d, crashed under it: %s", l.Step, l.Task, strings.Join(l.Upstreams, ", "))
	}
	if l.Event == caevent.StepLacksRoom {
		b.WriteString(" " + l.roomText())
	}
	if l.Event == caevent.QueueRemoved || l.Event == caevent.TeamRemoved {
		fmt.Fprintf(&b, " %s by version %d, its open jobs go on as under version %d", l.Queue+l.Team, l.Policy, l.ListedBy)
	}
	for _, detail := range []string{l.Method, l.Outcome, l.Ending, l.Phase, l.Cause, l.Error} {
		if detail != "" {
			b.WriteString(" " + detail)
		}
	}
	if l.Status != 0 {
		fmt.Fprintf(&b, " %d", l.Status)
	}
	return b.String()
}

// roomText says whether a step fits on the upstreams that the advisor approved.
func (l Line) roomText() string {
	if !l.Lacks {
		return fmt.Sprintf("step %d may fit again", l.Step)
	}
	return fmt.Sprintf("step %d needs %d places at once, %d approved upstreams have %d when empty", l.Step, l.AtOnce, l.Approved, l.Places)
}

// eventName returns the name of the event of a line.
func (l Line) eventName() string {
	if l.Event.IsANumber() {
		return l.Event.String()
	}
	return "event"
}

// isTaskEvent reports whether a line concerns one task of a job.
func (l Line) isTaskEvent() bool {
	switch l.Event {
	case caevent.TaskPlaced, caevent.TaskEnded, caevent.TaskLapsed, caevent.TaskStopped, caevent.TaskAdopted, caevent.TaskCopied:
		return true
	default:
		return false
	}
}
