package calaunch

import (
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// shardRebuild is the recovery of a shard that was rebuilt from the log, which
// may lack the last records. Before the shard starts anything, the attempts of
// jobs missing from the log are stopped, the missing attempts of its own jobs
// are recorded, and the shard is reconciled with all other shards.
type shardRebuild struct {
	answers []cajob.FenceAnswer
	orphans map[cajob.Orphan]struct{}
	// recording is set while the record of the attempts is being replicated,
	// recorded once it is.
	recording bool
	recorded  bool
}

// startRebuild begins to recover a rebuilt shard from the answers of every
// upstream of the zone.
func (l *Launcher) startRebuild(led *ledShard, answers []cajob.FenceAnswer) {
	if l.led[led.id] != led {
		return
	}
	led.rebuild = &shardRebuild{answers: answers, orphans: make(map[cajob.Orphan]struct{})}
	l.readState(led.id, func(s *cajob.State) {
		_, orphans := s.UnrecordedAttempts(l.now(), answers)
		for _, o := range orphans {
			led.rebuild.orphans[o] = struct{}{}
		}
	})
	l.advanceRebuild(led)
}

// retryRebuilds retries the pending steps of rebuilt shards.
func (l *Launcher) retryRebuilds() {
	for _, led := range l.led {
		if led.rebuild != nil {
			l.advanceRebuild(led)
		}
	}
}

func (l *Launcher) advanceRebuild(led *ledShard) {
	if led.rebuild.recorded {
		l.finishRebuild(led)
		return
	}
	if len(led.rebuild.orphans) == 0 {
		l.recordFoundAttempts(led)
		return
	}
	for o := range led.rebuild.orphans {
		l.stopOrphan(led, o)
	}
}

// stopOrphan stops an attempt of a job that is missing from the log.
func (l *Launcher) stopOrphan(led *ledShard, o cajob.Orphan) {
	if l.Directory.IsGone(o.Upstream) {
		l.orphanEnded(led, o)
		return
	}
	call := ControlCall{Upstream: o.Upstream, Attempt: o.Attempt, Mode: caplatform.StopModeStop}
	l.controlAttempt(call, func(status caplatform.TaskStatus, err error) {
		if err == nil && status.State.Ended() {
			l.orphanEnded(led, o)
		}
	})
}

func (l *Launcher) orphanEnded(led *ledShard, o cajob.Orphan) {
	if l.led[led.id] != led || led.rebuild == nil {
		return
	}
	delete(led.rebuild.orphans, o)
	if len(led.rebuild.orphans) == 0 {
		l.recordFoundAttempts(led)
	}
}

// recordFoundAttempts records the attempts that are missing from the log.
func (l *Launcher) recordFoundAttempts(led *ledShard) {
	if led.rebuild.recording {
		return
	}
	led.rebuild.recording = true
	var found cajob.AttemptsFound
	l.readState(led.id, func(s *cajob.State) { found, _ = s.UnrecordedAttempts(l.now(), led.rebuild.answers) })
	record := cajob.Record{Type: cajob.RecordAttemptsFound, AttemptsFound: &found}
	err := l.propose(led.id, record, func(err error) { l.foundAttemptsRecorded(led, err) })
	if err != nil {
		led.rebuild.recording = false
	}
}

func (l *Launcher) foundAttemptsRecorded(led *ledShard, err error) {
	if l.led[led.id] != led || led.rebuild == nil {
		return
	}
	if err != nil {
		led.rebuild.recording = false
		return
	}
	led.rebuild.recorded = true
}

// finishRebuild recovers the jobs of a rebuilt shard once it is reconciled with
// all other shards.
func (l *Launcher) finishRebuild(led *ledShard) {
	settled := false
	l.readState(led.id, func(s *cajob.State) { settled = !s.IsRebuilding() })
	if !settled {
		return
	}
	answers := led.rebuild.answers
	led.rebuild = nil
	l.recoverShard(led, answers)
}
