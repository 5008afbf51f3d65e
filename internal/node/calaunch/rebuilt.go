package calaunch

import (
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// rebuiltShard is a shard that was rebuilt from the log, which may lack its
// last records. Before anything of it starts, the attempts of jobs that the log
// lacks are stopped, those of its own jobs are recorded, and it is settled with
// all other shards.
type rebuiltShard struct {
	answers []cajob.FenceAnswer
	orphans map[cajob.Orphan]struct{}
	// recording is set while the attempts are on their way to the backup,
	// recorded once they are with it.
	recording bool
	recorded  bool
}

// reclaim begins to take in what every upstream of the zone told of a shard.
func (l *Launcher) reclaim(led *ledShard, answers []cajob.FenceAnswer) {
	if l.led[led.id] != led {
		return
	}
	led.rebuilt = &rebuiltShard{answers: answers, orphans: make(map[cajob.Orphan]struct{})}
	l.readState(led.id, func(s *cajob.State) {
		_, orphans := s.Unrecorded(l.now(), answers)
		for _, o := range orphans {
			led.rebuilt.orphans[o] = struct{}{}
		}
	})
	l.advanceRebuilt(led)
}

// reclaimRebuilt tries again what could not be done for rebuilt shards.
func (l *Launcher) reclaimRebuilt() {
	for _, led := range l.led {
		if led.rebuilt != nil {
			l.advanceRebuilt(led)
		}
	}
}

func (l *Launcher) advanceRebuilt(led *ledShard) {
	if led.rebuilt.recorded {
		l.resumeRebuilt(led)
		return
	}
	if len(led.rebuilt.orphans) == 0 {
		l.recordFound(led)
		return
	}
	for o := range led.rebuilt.orphans {
		l.stopOrphan(led, o)
	}
}

// stopOrphan stops an attempt of a job that the log lacks.
func (l *Launcher) stopOrphan(led *ledShard, o cajob.Orphan) {
	if l.Directory.IsGone(o.Upstream) {
		l.orphanEnded(led, o)
		return
	}
	call := ActCall{Upstream: o.Upstream, Attempt: o.Attempt, Mode: caplatform.StopModeStop}
	l.actOn(call, func(status caplatform.TaskStatus, err error) {
		if err == nil && status.State.Ended() {
			l.orphanEnded(led, o)
		}
	})
}

func (l *Launcher) orphanEnded(led *ledShard, o cajob.Orphan) {
	if l.led[led.id] != led || led.rebuilt == nil {
		return
	}
	delete(led.rebuilt.orphans, o)
	if len(led.rebuilt.orphans) == 0 {
		l.recordFound(led)
	}
}

// recordFound records the attempts that the log lacks.
func (l *Launcher) recordFound(led *ledShard) {
	if led.rebuilt.recording {
		return
	}
	led.rebuilt.recording = true
	var found cajob.AttemptsFound
	l.readState(led.id, func(s *cajob.State) { found, _ = s.Unrecorded(l.now(), led.rebuilt.answers) })
	record := cajob.Record{Type: cajob.RecordAttemptsFound, AttemptsFound: &found}
	err := l.propose(led.id, record, func(err error) { l.foundRecorded(led, err) })
	if err != nil {
		led.rebuilt.recording = false
	}
}

func (l *Launcher) foundRecorded(led *ledShard, err error) {
	if l.led[led.id] != led || led.rebuilt == nil {
		return
	}
	if err != nil {
		led.rebuilt.recording = false
		return
	}
	led.rebuilt.recorded = true
}

// resumeRebuilt takes over the jobs of a rebuilt shard once it was settled with
// all other shards.
func (l *Launcher) resumeRebuilt(led *ledShard) {
	settled := false
	l.readState(led.id, func(s *cajob.State) { settled = !s.IsRebuilt() })
	if !settled {
		return
	}
	answers := led.rebuilt.answers
	led.rebuilt = nil
	l.recover(led, answers)
}
