package calaunch

import (
	"strings"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/core/cagang"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// maxDecideRounds bounds the calls of Decide in one round of the loop.
	maxDecideRounds = 16
	// jobSeparator separates the shard from the number in a job id.
	jobSeparator = "."
	// shardSeparator separates the VM from the incarnation in a shard id.
	shardSeparator = "-"
)

// acceptingShard returns the shard that accepted a job, as given in its id.
func acceptingShard(id cawork.JobID) cawork.ShardID {
	return cawork.ShardID(trimFromLast(string(id), jobSeparator))
}

// CreatorOf returns the VM of the entry that created a shard.
func CreatorOf(s cawork.ShardID) cawork.VMID {
	return cawork.VMID(trimFromLast(string(s), shardSeparator))
}

// trimFromLast returns the text before the last separator. VM ids may contain
// separators.
func trimFromLast(text, separator string) string {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return text
	}
	return text[:i]
}

// decide executes decisions until the scheduler has no more, or maxDecideRounds
// is reached.
func (l *Launcher) decide() {
	if l.draining || l.now().Before(l.decisionsPausedUntil) {
		return
	}
	for range maxDecideRounds {
		decisions := l.Scheduler.Decide(l.now())
		if len(decisions) == 0 {
			break
		}
		for _, d := range decisions {
			l.execute(d)
		}
	}
	l.spill()
}

func (l *Launcher) execute(d casched.Decision) {
	l.logDecision(d)
	switch d.Kind {
	case casched.DecisionPlace, casched.DecisionPlaceGang:
		l.place(d, nil)
	case casched.DecisionCheckpoint:
		l.controlPlacements(d, caplatform.StopModeCheckpoint)
	case casched.DecisionStop:
		l.controlPlacements(d, caplatform.StopModeStop)
	case casched.DecisionThrottle:
		l.controlPlacements(d, caplatform.StopModeThrottle)
	case casched.DecisionRefuse, casched.DecisionExpire:
		l.giveUpJob(d.Job, d.Reason.String())
	case casched.DecisionReserve, casched.DecisionEject, casched.DecisionRestore:
	}
}

func (l *Launcher) logDecision(d casched.Decision) {
	eventNumber := caevent.TaskPlaced
	switch d.Kind {
	case casched.DecisionPlace, casched.DecisionPlaceGang, casched.DecisionReserve:
	case casched.DecisionCheckpoint, casched.DecisionStop, casched.DecisionThrottle:
		eventNumber = caevent.TaskStopped
	case casched.DecisionRefuse, casched.DecisionExpire:
		eventNumber = caevent.JobRefused
	case casched.DecisionEject:
		eventNumber = caevent.UpstreamEjected
	case casched.DecisionRestore:
		eventNumber = caevent.UpstreamRestored
	}
	line := caevent.Log(l.Logger, zerolog.InfoLevel, eventNumber).Str("decision", d.Kind.String()).
		Str("reason", d.Reason.String()).Str("job", string(d.Job)).Str("team", string(d.Team)).
		Dur("waited_ms", d.Waited).Float64("share", d.Share).Int("attempts", d.Attempts)
	if len(d.Placements) > 0 {
		line = line.Str("task", d.Placements[0].Task.String()).Str("upstream", string(d.Placements[0].Upstream)).
			Int("tasks", len(d.Placements))
	}
	line.Str("text", d.Text()).Send()
}

// place records and starts the placements of a decision. Parts describe the
// reservations at other owners; parts is empty if all upstreams are owned here.
func (l *Launcher) place(d casched.Decision, parts []cagang.OwnerReservation) {
	reserved := make(map[cawork.TaskRef]cagang.OwnerReservation)
	for _, part := range parts {
		for _, p := range part.Placements {
			reserved[p.Task] = part
		}
	}
	attempts := make([]*attempt, 0, len(d.Placements))
	for _, p := range d.Placements {
		a := l.newAttempt(p, d)
		if part, ok := reserved[p.Task]; ok && part.Owner != l.Self {
			a.remoteOwner, a.reservation = part.Owner, part.Reservation
		}
		attempts = append(attempts, a)
	}
	l.recordIntents(attempts)
}

func (l *Launcher) jobPayload(id cawork.JobID) []byte {
	var payload []byte
	l.readState(l.currentShard(id), func(s *cajob.State) { payload = s.Payload(id) })
	return payload
}

func (l *Launcher) controlPlacements(d casched.Decision, mode caplatform.StopMode) {
	for _, p := range d.Placements {
		if a, ok := l.byTask[p.Task]; ok {
			l.stopAttempt(a, mode)
			continue
		}
		l.stopForeign(p, mode)
	}
}
