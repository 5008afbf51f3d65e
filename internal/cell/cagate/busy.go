package cagate

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/node/caprocessor"
)

const (
	// delayProbePeriod is the time between two timers whose delay is measured, and
	// delayProbes how many of them one report covers.
	delayProbePeriod = 500 * time.Millisecond
	delayProbes      = 4
	// busyDelay is the delay of a timer from which on the processor counts as busy.
	busyDelay = 100 * time.Millisecond
	// slowCall is the duration from which on cancellations and queries are logged.
	slowCall = 500 * time.Millisecond
)

// watchProcessor measures how late timers run, and reports it while they run late.
func (g *Gate) watchProcessor(ctx context.Context) error {
	began, used := g.Timer.Now(), caprocessor.CPUTime()
	for {
		longest := time.Duration(0)
		for range delayProbes {
			due := g.Timer.Now().Add(delayProbePeriod)
			if err := g.Timer.Pause(ctx, delayProbePeriod); err != nil {
				return err
			}
			longest = max(longest, g.Timer.Now().Sub(due))
		}
		now, usedNow := g.Timer.Now(), caprocessor.CPUTime()
		g.reportProcessor(now.Sub(began), usedNow-used, longest)
		began, used = now, usedNow
	}
}

// reportProcessor reports the processor time of a span and the longest delay of a timer.
func (g *Gate) reportProcessor(span, used, longest time.Duration) {
	g.Scope.Timer("timer_delay").Record(longest)
	g.Scope.Gauge("processor").Update(float64(used) / float64(span))
	if longest < busyDelay {
		return
	}
	g.mu.Lock()
	leading := g.ledShardCount()
	g.mu.Unlock()
	caevent.Info(g.Log, caevent.ProcessorBusy).Dur("span", span).Float64("processor", float64(used)/float64(span)).
		Dur("longest_delay", longest).Int("leading", leading).Send()
}

// reportCall reports a forwarded call, and logs cancellations and queries that took long
// or failed.
func (l *link) reportCall(f forwarding, took time.Duration, err error) {
	g := l.gate
	scope := g.Scope.Tagged(map[string]string{"call": f.name})
	scope.Timer("forward").Record(took)
	failed := err != nil && cakind.Of(err) != cakind.KindNotFound
	if f.name == callSubmit || took < slowCall && !failed {
		return
	}
	caevent.Info(g.Log, caevent.CallWaited).Str("call", f.name).Str("job", string(f.job)).Int("shard", l.shard).Dur("took", took).
		Int("attempts", f.attempts).Dur("in_attempts", f.inAttempts).Dur("without_leader", took-f.inAttempts).Err(err).Send()
}
