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
	// maxRounds bounds the calls of Decide in one round of the loop.
	maxRounds = 16
	// jobSeparator stands between the shard and the number in a job id.
	jobSeparator = "."
	// shardSeparator stands between the VM and the incarnation in a shard id.
	shardSeparator = "-"
)

// shardOf returns the shard in which a job was accepted.
func shardOf(id cawork.JobID) cawork.ShardID {
	return cawork.ShardID(beforeLast(string(id), jobSeparator))
}

// EntryOf returns the VM whose entry founded a shard.
func EntryOf(s cawork.ShardID) cawork.VMID {
	return cawork.VMID(beforeLast(string(s), shardSeparator))
}

// beforeLast returns the text before the last separator. Ids of VMs may hold
// separators themselves.
func beforeLast(text, separator string) string {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return text
	}
	return text[:i]
}

// decide carries out decisions until there are none.
func (l *Launcher) decide() {
	if l.draining || l.now().Before(l.restUntil) {
		return
	}
	for range maxRounds {
		decisions := l.Scheduler.Decide(l.now())
		if len(decisions) == 0 {
			break
		}
		for _, d := range decisions {
			l.carryOut(d)
		}
	}
	l.spill()
}

func (l *Launcher) carryOut(d casched.Decision) {
	l.logDecision(d)
	switch d.Kind {
	case casched.DecisionPlace, casched.DecisionPlaceGang:
		l.place(d, nil)
	case casched.DecisionCheckpoint:
		l.act(d, caplatform.StopModeCheckpoint)
	case casched.DecisionStop:
		l.act(d, caplatform.StopModeStop)
	case casched.DecisionThrottle:
		l.act(d, caplatform.StopModeThrottle)
	case casched.DecisionRefuse, casched.DecisionExpire:
		l.refuse(d.Job, d.Reason.String())
	case casched.DecisionReserve, casched.DecisionEject, casched.DecisionRestore:
	}
}

func (l *Launcher) logDecision(d casched.Decision) {
	number := caevent.TaskPlaced
	switch d.Kind {
	case casched.DecisionPlace, casched.DecisionPlaceGang, casched.DecisionReserve:
	case casched.DecisionCheckpoint, casched.DecisionStop, casched.DecisionThrottle:
		number = caevent.TaskStopped
	case casched.DecisionRefuse, casched.DecisionExpire:
		number = caevent.JobRefused
	case casched.DecisionEject:
		number = caevent.UpstreamEjected
	case casched.DecisionRestore:
		number = caevent.UpstreamRestored
	}
	line := caevent.Log(l.Logger, zerolog.InfoLevel, number).Str("decision", d.Kind.String()).
		Str("reason", d.Reason.String()).Str("job", string(d.Job)).Str("team", string(d.Team)).
		Dur("waited_ms", d.Waited).Float64("share", d.Share).Int("attempts", d.Attempts)
	if len(d.Placements) > 0 {
		line = line.Str("task", d.Placements[0].Task.String()).Str("upstream", string(d.Placements[0].Upstream)).
			Int("tasks", len(d.Placements))
	}
	line.Str("text", d.Text()).Send()
}

// place records and starts the placements of a decision. Parts tell what other
// owners keep room for; there are none when all upstreams are owned here.
func (l *Launcher) place(d casched.Decision, parts []cagang.Part) {
	kept := make(map[cawork.TaskRef]cagang.Part)
	for _, part := range parts {
		for _, p := range part.Placements {
			kept[p.Task] = part
		}
	}
	attempts := make([]*attempt, 0, len(d.Placements))
	for _, p := range d.Placements {
		a := l.newAttempt(p, d)
		if part, ok := kept[p.Task]; ok && part.Owner != l.Self {
			a.remote, a.reservation = part.Owner, part.Reservation
		}
		attempts = append(attempts, a)
	}
	l.intend(attempts)
}

func (l *Launcher) payload(id cawork.JobID) []byte {
	var payload []byte
	l.readState(l.home(id), func(s *cajob.State) { payload = s.Payload(id) })
	return payload
}

func (l *Launcher) act(d casched.Decision, mode caplatform.StopMode) {
	for _, p := range d.Placements {
		if a, ok := l.byTask[p.Task]; ok {
			l.stopAttempt(a, mode)
			continue
		}
		l.stopForeign(p, mode)
	}
}
