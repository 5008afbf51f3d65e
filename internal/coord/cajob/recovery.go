package cajob

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

//go:generate go tool enumer -type=Fate -trimprefix=Fate -transform=snake -text -output=fate_names.go

// Fate is how a new primary resolves an open attempt.
type Fate int

// The ways to resolve an attempt.
const (
	// FateWait means that the attempt may still run or start, but its state is
	// not known.
	FateWait Fate = iota
	// FateAdopt means that the attempt runs and continues under the new primary.
	FateAdopt
	// FateSettle means that the attempt has ended or cannot start any more, and
	// can be settled.
	FateSettle
)

// FenceAnswer is the response of an upstream to a fencing request. Tasks lists
// every attempt of the shard that the upstream has. After the response, the
// upstream starts no attempt of a view below View, the first view of the
// current primary. An attempt of the current primary that is not listed may
// still arrive.
type FenceAnswer struct {
	Upstream cawork.UpstreamID
	View     int64
	Tasks    []caplatform.TaskStatus
}

// UnfencedUpstream is an upstream that could not be fenced. LapsedAt is the time at
// which its leases have expired and none of its tasks can run any more. It is
// zero while that time is unknown, because an entry that still reaches the
// upstream keeps renewing the leases.
type UnfencedUpstream struct {
	Upstream cawork.UpstreamID
	LapsedAt time.Time
}

// Resolution is how one open attempt is resolved. Settled is set for FateSettle.
type Resolution struct {
	Attempt Attempt
	Fate    Fate
	Settled AttemptSettled
}

// Recovery is how a new primary handles the attempts of the previous one.
type Recovery struct {
	Resolutions []Resolution
	// Orphans run on an upstream without an open attempt there in the shard, and
	// must be stopped.
	Orphans []Orphan
}

// Orphan is a running attempt that is not open in the shard at that upstream.
type Orphan struct {
	Upstream cawork.UpstreamID
	Attempt  cawork.AttemptID
}

// ResolveAttempts resolves every open attempt by the results of fencing the upstreams. An
// attempt on an upstream that is in neither list waits.
func (s *State) ResolveAttempts(now time.Time, answers []FenceAnswer, unanswered []UnfencedUpstream) Recovery {
	var recovery Recovery
	for _, a := range s.attempts {
		recovery.Resolutions = append(recovery.Resolutions, resolveAttempt(*a, now, answers, unanswered))
	}
	slices.SortFunc(recovery.Resolutions, func(x, y Resolution) int { return cmp.Compare(x.Attempt.ID, y.Attempt.ID) })
	for _, answer := range answers {
		for _, t := range answer.Tasks {
			a, open := s.attempts[t.Attempt]
			if t.State == cawork.TaskStateRunning && (!open || a.Upstream != answer.Upstream) {
				recovery.Orphans = append(recovery.Orphans, Orphan{Upstream: answer.Upstream, Attempt: t.Attempt})
			}
		}
	}
	return recovery
}

func resolveAttempt(a Attempt, now time.Time, answers []FenceAnswer, unanswered []UnfencedUpstream) Resolution {
	for _, answer := range answers {
		if answer.Upstream == a.Upstream {
			return resolveAnswered(a, answer)
		}
	}
	for _, u := range unanswered {
		if u.Upstream == a.Upstream && !u.LapsedAt.IsZero() && !now.Before(u.LapsedAt) {
			return settledResolution(a, AttemptSettled{Attempt: a.ID, State: cawork.TaskStateLapsed})
		}
	}
	return Resolution{Attempt: a, Fate: FateWait}
}

func resolveAnswered(a Attempt, answer FenceAnswer) Resolution {
	for _, t := range answer.Tasks {
		switch {
		case t.Attempt != a.ID:
		case t.State == cawork.TaskStateRunning:
			return Resolution{Attempt: a, Fate: FateAdopt}
		case t.State.Ended():
			return settledResolution(a, AttemptSettled{Attempt: a.ID, State: t.State, Observed: true, Result: t.Result})
		}
	}
	if answer.View > 0 && a.View >= answer.View {
		return Resolution{Attempt: a, Fate: FateWait}
	}
	return settledResolution(a, AttemptSettled{Attempt: a.ID, State: cawork.TaskStateFenced, Observed: true})
}

func settledResolution(a Attempt, s AttemptSettled) Resolution {
	return Resolution{Attempt: a, Fate: FateSettle, Settled: s}
}

// UpstreamsToFence returns the upstreams that must be fenced before the attempts of
// the previous primary can be resolved. Other upstreams have none of its
// attempts, since a start is sent only after its record is applied. After a
// rebuild from the log, which may lack records, every upstream of the zone must
// be fenced instead.
func (s *State) UpstreamsToFence() []cawork.UpstreamID {
	var out []cawork.UpstreamID
	for _, a := range s.attempts {
		out = append(out, a.Upstream)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
