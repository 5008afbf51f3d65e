package calaunch

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// unseenOwner bounds the time for which an entry may run before it is listed.
// An upstream must have been silent for as much longer, so that one that is not
// known yet finds no running task to renew.
const unseenOwner = 10 * time.Second

// silenceNeeded returns the silence towards every possible owner after which
// the tasks of an upstream have ended. The owners are asked within peerTimeout,
// not at one moment.
func (l *Launcher) silenceNeeded() time.Duration {
	return l.LapseAfter + unseenOwner + peerTimeout
}

// settleSilent settles attempts on upstreams that hang although the platform
// lists them, once it is proved that nobody renews the leases of their tasks.
func (l *Launcher) settleSilent() {
	// The directory has to be asked all the time: it tells of the time before.
	owners, ok := l.Directory.PossibleOwners(l.now(), l.silenceNeeded())
	silent := l.silentUpstreams()
	if !ok || l.proving || len(silent) == 0 {
		return
	}
	l.proving = true
	since := l.now()
	l.background(func(ctx context.Context) func() {
		silent := l.silentForAll(ctx, owners, silent)
		return func() {
			l.proving = false
			l.settleLapsed(silent, since)
		}
	})
}

// silentUpstreams returns the upstreams with open attempts of led shards that
// have not answered here for long enough.
func (l *Launcher) silentUpstreams() []cawork.UpstreamID {
	var silent []cawork.UpstreamID
	for _, a := range l.attempts {
		if l.mayHaveLapsed(a, l.now()) && l.Leases.Silence(a.upstream) >= l.silenceNeeded() {
			silent = append(silent, a.upstream)
		}
	}
	slices.Sort(silent)
	return slices.Compact(silent)
}

// mayHaveLapsed reports whether an attempt can be settled by the silence of its
// upstream until now. One that is tracked since shortly before may have been
// sent through an owner that has yet to start it.
func (l *Launcher) mayHaveLapsed(a *attempt, now time.Time) bool {
	return a.phase != phaseIntended && a.phase != phaseSettling && now.Sub(a.since) >= l.silenceNeeded()
}

// silentForAll returns those of the upstreams that have not answered any of the
// owners for long enough. An owner that does not tell may renew leases.
func (l *Launcher) silentForAll(ctx context.Context, owners []cawork.VMID, silent []cawork.UpstreamID) []cawork.UpstreamID {
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
			if d < l.silenceNeeded() {
				lapsed = slices.DeleteFunc(lapsed, func(u cawork.UpstreamID) bool { return u == silent[i] })
			}
		}
	}
	return lapsed
}

// settleLapsed settles the attempts on upstreams whose tasks had ended by then.
func (l *Launcher) settleLapsed(upstreams []cawork.UpstreamID, then time.Time) {
	for _, a := range l.attempts {
		if !slices.Contains(upstreams, a.upstream) || !l.mayHaveLapsed(a, then) {
			continue
		}
		caevent.Warn(l.Logger, caevent.TaskLapsed).Str("task", a.task.String()).Str("attempt", string(a.id)).
			Str("upstream", string(a.upstream)).Dur("silent_ms", l.Leases.Silence(a.upstream)).Send()
		l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateLapsed}, false)
	}
}

// HandleSilence tells another entry for how long upstreams have not answered
// this one.
func (l *Launcher) HandleSilence(_ context.Context, call SilenceCall) (SilenceReply, error) {
	var reply SilenceReply
	for _, u := range call.Upstreams {
		reply.Silences = append(reply.Silences, l.Leases.Silence(u))
	}
	return reply, nil
}
