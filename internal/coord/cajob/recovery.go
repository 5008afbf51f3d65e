package cajob

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

//go:generate go tool enumer -type=Fate -trimprefix=Fate -transform=snake -text -output=fate_names.go

// Fate tells what becomes of an open attempt after a takeover.
type Fate int

// The fates.
const (
	// FateWait means that the attempt may run where nobody can see it.
	FateWait Fate = iota
	// FateAdopt means that the attempt runs on under the new primary.
	FateAdopt
	// FateSettle means that the attempt is over and its end can be recorded.
	FateSettle
)

// FenceAnswer is the answer of one upstream that was fenced: every attempt of
// the shard that it knows. After it, the upstream starts no attempt of a view
// below View, the first one of the present lead. An attempt of the present
// lead that is absent may still arrive.
type FenceAnswer struct {
	Upstream cawork.UpstreamID
	View     int64
	Tasks    []caplatform.TaskStatus
}

// Unanswered is an upstream that could not be fenced. LapsedAt is the time
// from which none of its tasks can run, zero while that is not known: an
// entry that still reaches the upstream keeps renewing its leases.
type Unanswered struct {
	Upstream cawork.UpstreamID
	LapsedAt time.Time
}

// Resolution is the fate of one open attempt. Settled is set for FateSettle.
type Resolution struct {
	Attempt Attempt
	Fate    Fate
	Settled AttemptSettled
}

// Recovery is what a new primary does with the attempts of the former one.
type Recovery struct {
	Resolutions []Resolution
	// Orphans run at an upstream but are not open in the shard: to be stopped.
	Orphans []Orphan
}

// Orphan is an attempt that runs without a record.
type Orphan struct {
	Upstream cawork.UpstreamID
	Attempt  cawork.AttemptID
}

// Settle decides the fate of every open attempt after all upstreams of the
// zone were fenced. An attempt on an upstream that is in neither list waits.
func (s *State) Settle(now time.Time, answers []FenceAnswer, unanswered []Unanswered) Recovery {
	var rec Recovery
	for _, a := range s.attempts {
		rec.Resolutions = append(rec.Resolutions, resolve(*a, now, answers, unanswered))
	}
	slices.SortFunc(rec.Resolutions, func(x, y Resolution) int { return cmp.Compare(x.Attempt.ID, y.Attempt.ID) })
	for _, answer := range answers {
		for _, t := range answer.Tasks {
			a, open := s.attempts[t.Attempt]
			if t.State == cawork.TaskStateRunning && (!open || a.Upstream != answer.Upstream) {
				rec.Orphans = append(rec.Orphans, Orphan{Upstream: answer.Upstream, Attempt: t.Attempt})
			}
		}
	}
	return rec
}

func resolve(a Attempt, now time.Time, answers []FenceAnswer, unanswered []Unanswered) Resolution {
	for _, answer := range answers {
		if answer.Upstream == a.Upstream {
			return fromStatus(a, answer)
		}
	}
	for _, u := range unanswered {
		if u.Upstream == a.Upstream && !u.LapsedAt.IsZero() && !now.Before(u.LapsedAt) {
			return settled(a, AttemptSettled{Attempt: a.ID, State: cawork.TaskStateLapsed})
		}
	}
	return Resolution{Attempt: a, Fate: FateWait}
}

func fromStatus(a Attempt, answer FenceAnswer) Resolution {
	for _, t := range answer.Tasks {
		switch {
		case t.Attempt != a.ID:
		case t.State == cawork.TaskStateRunning:
			return Resolution{Attempt: a, Fate: FateAdopt}
		case t.State.Ended():
			return settled(a, AttemptSettled{Attempt: a.ID, State: t.State, Observed: true, Result: t.Result})
		}
	}
	if answer.View > 0 && a.View >= answer.View {
		return Resolution{Attempt: a, Fate: FateWait}
	}
	return settled(a, AttemptSettled{Attempt: a.ID, State: cawork.TaskStateFenced, Observed: true})
}

func settled(a Attempt, s AttemptSettled) Resolution {
	return Resolution{Attempt: a, Fate: FateSettle, Settled: s}
}

// FencesNeeded returns the upstreams that must be fenced before the attempts
// of the former primary can be settled. Others cannot hold one: a start is
// sent only after its record took effect. After a rebuild from the log, which
// may lack records, every upstream of the zone is needed.
func (s *State) FencesNeeded() []cawork.UpstreamID {
	var out []cawork.UpstreamID
	for _, a := range s.attempts {
		out = append(out, a.Upstream)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
