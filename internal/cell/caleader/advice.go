package caleader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
)

const (
	// asksPerEntry bounds the questions given to one entry: the advisor works
	// at one, and the next is on its way.
	asksPerEntry = 2
	// longShare is the fraction of entries that long questions may go through.
	longShare = 0.6
	// askSlack is added to the expected time of a question for its time-out.
	askSlack = 1500 * time.Millisecond
	// adviserRest keeps questions from an entry that did not answer one.
	adviserRest = 2 * time.Second
)

// adviserQueue keeps when each entry is expected to be done with the questions
// that it was given. The advisor serves one question of an entry at a time.
type adviserQueue struct {
	busyUntil map[cawork.VMID]time.Time
	restUntil map[cawork.VMID]time.Time
}

// choose returns the entry that is expected to have the answer first, and
// books the question there. Long questions leave some entries out.
func (q *adviserQueue) choose(now time.Time, names []cawork.VMID, ask caboard.Ask) (cawork.VMID, time.Time, bool) {
	if q.busyUntil == nil {
		q.busyUntil = make(map[cawork.VMID]time.Time)
		q.restUntil = make(map[cawork.VMID]time.Time)
	}
	usable := make([]cawork.VMID, 0, len(names))
	for _, name := range names {
		if !now.Before(q.restUntil[name]) {
			usable = append(usable, name)
		}
	}
	if len(usable) == 0 {
		usable = names
	}
	if len(usable) == 0 {
		return "", now, false
	}
	slices.Sort(usable)
	if ask.Long && len(usable) > 1 {
		usable = usable[:longEntries(len(usable))]
	} else {
		slices.Reverse(usable)
	}
	best := slices.MinFunc(usable, func(x, y cawork.VMID) int {
		return cmp.Compare(q.backlog(now, x), q.backlog(now, y))
	})
	done := now.Add(q.backlog(now, best) + ask.Cost)
	q.busyUntil[best] = done
	return best, done, true
}

// longEntries returns through how many of n entries long questions may go.
func longEntries(n int) int { return max(int(float64(n)*longShare+0.5), 1) }

// askSlots returns how many questions may be open with n entries.
func askSlots(n int) caboard.AskSlots {
	return caboard.AskSlots{All: n * asksPerEntry, Long: longEntries(n)}
}

func (q *adviserQueue) backlog(now time.Time, name cawork.VMID) time.Duration {
	return max(q.busyUntil[name].Sub(now), 0)
}

// advise asks the advisor through the entry that can soonest.
func (l *Leader) advise(ctx context.Context, ask caboard.Ask) {
	names := l.Advisers.Names()
	l.mu.Lock()
	now := l.Timer.Now()
	entry, done, ok := l.queue.choose(now, names, ask)
	l.mu.Unlock()
	var approved []caboard.Approval
	if ok {
		approved, ok = l.adviseThrough(ctx, entry, ask, done.Sub(now)+askSlack)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok && entry != "" {
		l.queue.restUntil[entry] = l.Timer.Now().Add(adviserRest)
	}
	l.board.SetNow(l.moment())
	l.board.Advised(ask, approved, ok)
	l.kick()
}

func (l *Leader) adviseThrough(ctx context.Context, entry cawork.VMID, ask caboard.Ask, timeout time.Duration) ([]caboard.Approval, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	approved, err := l.Advisers.AdviseThrough(ctx, entry, ask)
	if err != nil && ctx.Err() == nil {
		caevent.Warn(l.Log, caevent.AdvisorUnavailable).Str("entry", string(entry)).Str("job", string(ask.Job)).Err(err).Send()
	}
	return approved, err == nil
}
