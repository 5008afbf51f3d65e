package caleader

import (
	"context"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// commitLoop stores the changes of the planner, one batch at a time. Without
// changes it appends only the claim, to renew it.
func (l *Leader) commitLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.awaitChanges(ctx); err != nil {
			return err
		}
		if err := l.commit(ctx); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// awaitChanges returns when there are changes to store, the claim is due for
// renewal, no claim is stored yet by which the leader may grant leases, or the
// shard is to be released.
func (l *Leader) awaitChanges(ctx context.Context) error {
	for {
		l.lock(partCommit)
		due := !l.granting.Load() || l.Timer.Now().Sub(l.lastAppend.load()) >= ClaimRenewPeriod
		changes := l.planner.HasChanges() || len(l.extraEntries) > 0
		l.mu.unlock()
		if due || l.released.Load() {
			return nil
		}
		if err := l.Timer.Pause(ctx, commitLinger); err != nil {
			return err
		}
		if changes {
			return nil
		}
	}
}

// commit stores one batch, applies a layout stored with it, and dispatches the
// start orders that depend on it.
func (l *Leader) commit(ctx context.Context) error {
	releasing := l.released.Load()
	batch, entries, began, err := l.takeBatch()
	if err != nil {
		return err
	}
	l.writer.claim.Released, l.writer.claim.Silent, l.writer.claim.InheritedRemaining = releasing, batch.Silent, batch.InheritedRemaining
	l.writer.claim.LongLeases = batch.LongLeases
	l.writer.claim.RequestDelay = batch.RequestDelay
	l.writer.claim.GrantsNone, l.writer.claim.Granter = false, nil
	refused, err := l.writer.append(ctx, entries)
	if err != nil {
		caevent.Warn(l.Log, caevent.OwnershipLost).Int64("token", l.token).Err(err).
			Int("records", len(entries)).Dur("took", l.Timer.Now().Sub(began)).Send()
		return err
	}
	l.writer.claim.AppendTook = l.Timer.Now().Sub(began)
	l.recordAppend(l.writer.claim.AppendTook, len(entries))
	l.logRefused(refused)
	l.applyStoredLayout(refused)
	l.dispatchStarts(ctx, l.committed(batch, refused, began))
	if releasing {
		return l.noteReleased()
	}
	return nil
}

// noteReleased logs that the shard is released. It returns the error that ends the leader.
func (l *Leader) noteReleased() error {
	caevent.Info(l.Log, caevent.OwnershipReleased).Int64("token", l.token).Send()
	return cakind.New(cakind.KindDraining, "the leader is handing over")
}

// recordAppend records the duration of a successful append and logs slow ones.
func (l *Leader) recordAppend(took time.Duration, records int) {
	l.appendTook.Store(int64(took))
	l.Scope.Timer("append").Record(took)
	if took > minStoreSuspectTime {
		caevent.Warn(l.Log, caevent.AppendSlow).Int64("token", l.token).Int("records", records).
			Dur("took", took).Dur("target", minStoreSuspectTime).Send()
	}
}

func (l *Leader) takeBatch() (caboard.Batch, []LogEntry, time.Time, error) {
	l.lock(partCommit)
	defer l.mu.unlock()
	now := l.now()
	l.planner.SetNow(now)
	l.writer.claim.AdvisorSlowness = l.proxies.Slowness(now.Monotonic)
	batch, err := l.planner.NextBatch()
	if err != nil {
		return caboard.Batch{}, nil, now.Monotonic, err
	}
	l.rejectDropped(batch)
	l.followKeys()
	entries := make([]LogEntry, 0, len(batch.Terms)+len(batch.Crashes)+len(batch.Records)+len(l.extraEntries))
	entries = append(entries, l.extraEntries...)
	l.extraEntries = nil
	for _, r := range batch.Terms {
		entries = append(entries, LogEntry{Key: r.Key, Value: r.Value})
	}
	for _, r := range batch.Crashes {
		entries = append(entries, LogEntry{Key: crashPrefix + string(r.Job), Value: r.Value})
	}
	l.inFlightJobs = make(map[cawork.JobID]bool, len(batch.Records))
	for _, r := range batch.Records {
		entries = append(entries, LogEntry{Key: jobPrefix + string(r.Job), Value: r.Value})
		l.inFlightJobs[r.Job] = true
		if waiters, ok := l.waiters[r.Job]; ok {
			l.inFlightWaiters[r.Job] = append(l.inFlightWaiters[r.Job], waiters...)
			delete(l.waiters, r.Job)
		}
	}
	l.inFlightSince = now.Monotonic
	return batch, entries, now.Monotonic, nil
}

// rejectDropped rejects the submitted jobs whose records cannot be stored, and counts all records that
// are held back. The lock is held.
func (l *Leader) rejectDropped(batch caboard.Batch) {
	if batch.Held > 0 {
		l.Scope.Counter("records_held").Inc(int64(batch.Held))
	}
	for _, id := range batch.Dropped {
		err := cakind.New(cakind.KindTooLarge, "the store takes no record as large as that of job %s", id)
		notifyWaiters(l.waiters, id, err)
		notifyWaiters(l.inFlightWaiters, id, err)
	}
}

// logRefused logs the records that the store refuses, other than those of jobs, which are held.
func (l *Leader) logRefused(refused []LogEntry) {
	for _, e := range refused {
		if !strings.HasPrefix(e.Key, jobPrefix) {
			l.Scope.Counter("records_refused").Inc(1)
			caevent.Warn(l.Log, caevent.RecordHeld).Str("key", e.Key).Int("bytes", len(e.Value)).Int("bound", l.RecordBytes).Send()
		}
	}
}

// markRefused holds back the jobs whose records the store refuses. It returns the rest of the
// batch. The lock is held.
func (l *Leader) markRefused(batch caboard.Batch, refused []LogEntry) caboard.Batch {
	var jobs []cawork.JobID
	for _, e := range refused {
		if id, ok := strings.CutPrefix(e.Key, jobPrefix); ok {
			jobs = append(jobs, cawork.JobID(id))
		}
	}
	if len(jobs) == 0 {
		return batch
	}
	batch.Held, batch.Dropped = 0, nil
	batch = l.planner.MarkRefused(batch, jobs)
	l.rejectDropped(batch)
	return batch
}

// committed marks a batch as stored but for the refused records, notifies the callers that wait
// for it, and returns the start orders that depend on it.
func (l *Leader) committed(batch caboard.Batch, refused []LogEntry, began time.Time) []caorder.StartOrder {
	l.lock(partCommit)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	l.lastAppend.store(began)
	l.granting.Store(true)
	l.lastAppendTook = l.Timer.Now().Sub(began)
	l.inFlightSince = time.Time{}
	l.inFlightJobs = nil
	batch = l.markRefused(batch, refused)
	l.planner.SetLogEnd(l.writer.end)
	orders := l.planner.MarkStored(batch)
	for _, r := range batch.Records {
		notifyWaiters(l.inFlightWaiters, r.Job, nil)
	}
	return orders
}

// isFenced reports whether an error means that another leader has taken over.
func isFenced(err error) bool { return cakind.Of(err) == cakind.KindFenced }

// Release makes the leader release the shard with its next append, so that
// another entry can claim it at once. It may be called more than once.
func (l *Leader) Release() { l.released.Store(true) }
