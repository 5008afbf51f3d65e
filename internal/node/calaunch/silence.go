package calaunch

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// maxListingDelay bounds the time for which an entry may run before the
// platform lists it. An upstream must have been silent for this much longer, so
// that an entry not yet listed finds no running task whose lease it could
// renew.
const maxListingDelay = 10 * time.Second

// requiredSilence returns how long an upstream must not have answered any
// possible owner until its tasks have certainly ended. It includes peerTimeout
// because the owners do not answer at the same moment.
func (l *Launcher) requiredSilence() time.Duration {
	return l.LapseAfter + maxListingDelay + peerTimeout
}

// settleSilent settles attempts on upstreams that hang although the platform
// lists them, once no possible owner can have renewed the leases of their
// tasks.
func (l *Launcher) settleSilent() {
	// The directory must be asked in every round, because it tracks owners
	// over the past window.
	owners, ok := l.Directory.PossibleOwners(l.now(), l.requiredSilence())
	silent := l.silentUpstreams()
	if !ok || l.checkingSilence || len(silent) == 0 {
		return
	}
	l.checkingSilence = true
	asOf := l.now()
	l.runInBackground(func(ctx context.Context) func() {
		silent := l.silentToAllOwners(ctx, owners, silent)
		return func() {
			l.checkingSilence = false
			l.settleLapsed(silent, asOf)
		}
	})
}

// silentUpstreams returns the upstreams with open attempts of led shards that
// have not answered this entry for the required time.
func (l *Launcher) silentUpstreams() []cawork.UpstreamID {
	var silent []cawork.UpstreamID
	for _, a := range l.attempts {
		if l.mayHaveLapsed(a, l.now()) && l.Leases.TimeSinceAnswer(a.upstream) >= l.requiredSilence() {
			silent = append(silent, a.upstream)
		}
	}
	slices.Sort(silent)
	return slices.Compact(silent)
}

// mayHaveLapsed reports whether an attempt can be settled because its upstream
// has been silent up to now. A recently tracked attempt does not qualify: it
// may have been sent to an owner that has not started it yet.
func (l *Launcher) mayHaveLapsed(a *attempt, now time.Time) bool {
	return a.phase != phaseIntended && a.phase != phaseSettling && now.Sub(a.trackedSince) >= l.requiredSilence()
}

// silentToAllOwners returns the upstreams that have not answered any of the
// owners for the required time. It returns none if an owner does not answer,
// since that owner may be renewing leases.
func (l *Launcher) silentToAllOwners(ctx context.Context, owners []cawork.VMID, silent []cawork.UpstreamID) []cawork.UpstreamID {
	type answer struct {
		reply SilenceReply
		err   error
	}
	answers := make(chan answer, len(owners))
	for _, vm := range owners {
		go func() {
			reply, err := l.Peers.Silence(ctx, vm, SilenceCall{Upstreams: silent})
			answers <- answer{reply, err}
		}()
	}
	lapsed := slices.Clone(silent)
	for range owners {
		a := <-answers
		if a.err != nil || len(a.reply.Silences) != len(silent) {
			return nil
		}
		for i, d := range a.reply.Silences {
			if d < l.requiredSilence() {
				lapsed = slices.DeleteFunc(lapsed, func(u cawork.UpstreamID) bool { return u == silent[i] })
			}
		}
	}
	return lapsed
}

// settleLapsed settles the attempts on upstreams whose tasks had ended by the
// time asOf.
func (l *Launcher) settleLapsed(upstreams []cawork.UpstreamID, asOf time.Time) {
	for _, a := range l.attempts {
		if !slices.Contains(upstreams, a.upstream) || !l.mayHaveLapsed(a, asOf) {
			continue
		}
		caevent.Warn(l.Logger, caevent.TaskLapsed).Str("task", a.task.String()).Str("attempt", string(a.id)).
			Str("upstream", string(a.upstream)).Dur("silent_ms", l.Leases.TimeSinceAnswer(a.upstream)).Send()
		l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateLapsed}, false)
	}
}

// HandleSilence returns to another entry how long upstreams have not answered
// this entry.
func (l *Launcher) HandleSilence(_ context.Context, call SilenceCall) (SilenceReply, error) {
	var reply SilenceReply
	for _, u := range call.Upstreams {
		reply.Silences = append(reply.Silences, l.Leases.TimeSinceAnswer(u))
	}
	return reply, nil
}
