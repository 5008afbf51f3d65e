package caleader

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/caguard"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// loadFailingAfter is how long all reads of the jobs must have failed before another entry that
// reaches the store may take over.
const loadFailingAfter = time.Second

// loadRenewing loads the jobs and renews the claim meanwhile: other entries would take a
// leader without appends for a failed one.
func (l *Leader) loadRenewing(ctx context.Context) error {
	claim, claimedAt := l.writer.claim, l.lastAppend.load()
	loaded := make(chan error, 1)
	go func() {
		loaded <- caguard.Do(l.Log, "leader load", func() error { return l.load(ctx) })
	}()
	for {
		if done, err := l.awaitLoad(loaded); done {
			return err
		}
		if err := l.renewWhileLoading(ctx, claim, claimedAt); err != nil {
			l.stopLeading(err)
			<-loaded
			return err
		}
	}
}

// renewWhileLoading renews the claim that was stored at the given time. It returns an error if the
// claim cannot be renewed, or if the renewal has released the shard.
func (l *Leader) renewWhileLoading(ctx context.Context, claim Claim, claimedAt time.Time) error {
	began := l.Timer.Now()
	releasing := l.released.Load()
	aged := claim.after(began.Sub(claimedAt))
	l.writer.claim.Released, l.writer.claim.Silent, l.writer.claim.InheritedRemaining = releasing, aged.Silent, aged.InheritedRemaining
	l.writer.claim.LongLeases = aged.LongLeases
	if _, err := l.writer.append(ctx, nil); err != nil {
		return err
	}
	l.lastAppend.store(began)
	l.writer.claim.AppendTook = l.Timer.Now().Sub(began)
	l.appendTook.Store(int64(l.writer.claim.AppendTook))
	if releasing {
		return l.noteReleased()
	}
	return nil
}

// awaitLoad waits until the jobs are loaded or the claim is due for renewal.
func (l *Leader) awaitLoad(loaded <-chan error) (done bool, err error) {
	due := l.Timer.After(ClaimRenewPeriod)
	defer due.Close()
	select {
	case err := <-loaded:
		return true, err
	case <-due.C:
		return false, nil
	}
}

// load reads the jobs and the list of upstreams into the planner.
func (l *Leader) load(ctx context.Context) error {
	began := l.Timer.Now()
	type result struct {
		list []caspec.Upstream
		err  error
	}
	results := make(chan result, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, loadReadTimeout)
		defer cancel()
		list, err := l.Registry.List(callCtx)
		results <- result{list, err}
	}()
	state, err := loadState(ctx, l.Store, l.Timer.Pause, l.recordLoadRead)
	if err != nil {
		return err
	}
	l.useStoredLayout(state.layout)
	upstreams := <-results
	proxies := l.AdvisorProxies.Names()
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	if upstreams.err == nil {
		l.planner.SetUpstreamsReadAt(l.ownUpstreams(upstreams.list), began)
		l.listReadAt = began
	}
	l.updateListValidity()
	unreadableTerms := l.planner.RestoreTerms(state.terms)
	for _, j := range state.jobs {
		l.planner.Restore(j)
	}
	l.planner.LogRemoved()
	l.planner.RestoreCrashes(state.crashes)
	l.inheritRunTimes(state.runTimes)
	l.setAdvisorProxies(l.Timer.Now(), proxies)
	l.countUnstarted()
	l.loaded.Store(true)
	l.startRenewals(ctx)
	caevent.Info(l.Log, caevent.OwnershipGained).Int64("token", l.token).Int("jobs", len(state.jobs)).
		Int("unreadable", state.unreadableJobs).Int("crashes", len(state.crashes)).
		Int("unreadable_crashes", state.unreadableCrashes).Int("definitions", len(state.terms)).Int("unreadable_definitions", unreadableTerms).Int("upstreams", len(upstreams.list)).AnErr("list_error", upstreams.err).
		Dur("load_took", l.Timer.Now().Sub(began)).Send()
	return nil
}

// recordLoadRead records the outcome of a read of the jobs.
func (l *Leader) recordLoadRead(err error) {
	switch {
	case err == nil:
		l.loadFailingSince.store(time.Time{})
	case l.loadFailingSince.load().IsZero():
		l.loadFailingSince.store(l.Timer.Now())
	}
}

// IsLoadFailing reports whether all reads of the jobs have failed for so long that another entry
// that reaches the store should lead.
func (l *Leader) IsLoadFailing() bool {
	since := l.loadFailingSince.load()
	return !since.IsZero() && l.Timer.Now().Sub(since) > loadFailingAfter
}
