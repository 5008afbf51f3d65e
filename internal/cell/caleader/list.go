package caleader

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/calatency"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/caview"
)

const (
	// listPeriod is the time between two reads of the list of upstreams.
	listPeriod = 350 * time.Millisecond
	// listTimeout bounds one read of the list, up to maxListTimeout where reads take long.
	listTimeout    = time.Second
	maxListTimeout = 2 * time.Second
	// maxListPause is the time after a read of the list in which the next one must end.
	// A leader that takes longer was suspended.
	maxListPause = 2 * (listPeriod + listTimeout)
	// listReadsPerBound is how many reads of the list may time out within the bound of its age.
	listReadsPerBound = 4
)

// listLoop reads the list of upstreams periodically and applies it.
func (l *Leader) listLoop(ctx context.Context) error {
	failing := false
	var retention listRetention
	latency := calatency.NewPeak(calatency.Bounds{Min: l.firstListTimeout(), Max: maxListTimeout})
	for {
		if err := l.Timer.Pause(ctx, listPeriod); err != nil {
			return err
		}
		began := l.Timer.Now()
		list, err := l.readList(ctx, latency)
		if err != nil {
			l.noteListRead()
			if !failing {
				caevent.Warn(l.Log, caevent.VMListUnavailable).Err(err).Send()
			}
			failing = true
			continue
		}
		retention.noteRead(l.Timer.Now(), failing)
		failing = false
		l.applyList(ctx, retention.complete(l.Timer.Now(), list), began)
		l.noteListRead()
	}
}

// readList reads the list of upstreams. After a read without an answer the next one may take longer.
func (l *Leader) readList(ctx context.Context, latency *calatency.Peak) ([]caspec.Upstream, error) {
	callCtx, cancel := context.WithTimeout(ctx, latency.Timeout())
	defer cancel()
	began := l.Timer.Now()
	list, err := l.Registry.List(callCtx)
	if err == nil || callCtx.Err() != nil {
		latency.Observe(l.Timer.Now().Sub(began))
	}
	return list, err
}

// noteListRead records that an attempt to read the list has ended, also one that failed.
func (l *Leader) noteListRead() {
	l.lock(partReport)
	defer l.mu.unlock()
	l.updateListValidity()
}

// updateListValidity sets until when runs may start by the last list, after an attempt to read
// it. A leader that cannot read the list goes on by the last one within ListBound, a suspended one
// does not. The lock is held.
func (l *Leader) updateListValidity() {
	until := l.Timer.Now().Add(maxListPause)
	if l.ListBound > 0 {
		byAge := caview.ValidUntil(l.listReadAt, l.ListBound, l.startLatency.typical.Timeout())
		until = earliest(until, byAge)
	}
	l.planner.SetListValidUntil(until)
}

func earliest(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}

// firstListTimeout returns how long a read of the list may take while reads are fast: within the
// bound of its age there is time for another one.
func (l *Leader) firstListTimeout() time.Duration {
	if l.ListBound <= 0 {
		return listTimeout
	}
	return min(listTimeout, l.ListBound/listReadsPerBound)
}

// applyList passes the list of upstreams, whose reading began at readAt, to the planner and starts
// renewals for new ones.
func (l *Leader) applyList(ctx context.Context, list []caspec.Upstream, readAt time.Time) {
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	l.proposeLayout(len(list))
	l.planner.SetUpstreamsReadAt(l.ownUpstreams(list), readAt)
	l.listReadAt = readAt
	l.startRenewals(ctx)
}
