package caleader

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
)

// commitLoop stores the changes of the board, one batch after the other, and
// renews the claim when there are none.
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

// awaitChanges returns when there is something to store or the claim is to be
// renewed.
func (l *Leader) awaitChanges(ctx context.Context) error {
	for {
		l.mu.Lock()
		due := l.Timer.Now().Sub(l.lastAppend) >= RenewPeriod
		changes := l.board.HasChanges() || len(l.extra) > 0
		l.mu.Unlock()
		if due || l.isReleased() {
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

// commit stores one batch and carries out what waited for it.
func (l *Leader) commit(ctx context.Context) error {
	last := l.isReleased()
	batch, entries, began, err := l.takeBatch()
	if err != nil {
		return err
	}
	l.writer.claim.Released = last
	if err := l.writer.append(ctx, entries); err != nil {
		caevent.Warn(l.Log, caevent.OwnershipLost).Int64("token", l.token).Err(err).
			Int("records", len(entries)).Dur("took", l.Timer.Now().Sub(began)).Send()
		return err
	}
	l.noteAppend(l.Timer.Now().Sub(began), len(entries))
	l.divide()
	l.dispatchStarts(ctx, l.committed(batch, began))
	if last {
		caevent.Info(l.Log, caevent.OwnershipReleased).Int64("token", l.token).Send()
		return cakind.New(cakind.KindDraining, "the leader hands over")
	}
	return nil
}

// noteAppend measures an append that was stored after the time.
func (l *Leader) noteAppend(took time.Duration, records int) {
	l.Scope.Timer("append").Record(took)
	if took > storeAwayAfter {
		caevent.Warn(l.Log, caevent.AppendSlow).Int64("token", l.token).Int("records", records).
			Dur("took", took).Dur("target", storeAwayAfter).Send()
	}
}

func (l *Leader) takeBatch() (caboard.Batch, []Entry, time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.moment()
	l.board.SetNow(now)
	batch, err := l.board.NextBatch()
	if err != nil {
		return caboard.Batch{}, nil, now.Steady, err
	}
	entries := make([]Entry, 0, len(batch.Records)+len(l.extra))
	entries = append(entries, l.extra...)
	l.extra = nil
	l.flying = make(map[cawork.JobID]bool, len(batch.Records))
	for _, r := range batch.Records {
		entries = append(entries, Entry{Key: jobPrefix + string(r.Job), Value: r.Value})
		l.flying[r.Job] = true
		if waiting, ok := l.waiters[r.Job]; ok {
			l.flyingWaiters[r.Job] = append(l.flyingWaiters[r.Job], waiting...)
			delete(l.waiters, r.Job)
		}
	}
	l.flyingSince = now.Steady
	return batch, entries, now.Steady, nil
}

// committed notes that a batch is stored and returns the orders that waited
// for it.
func (l *Leader) committed(batch caboard.Batch, began time.Time) []caboard.StartOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.SetNow(l.moment())
	l.lastAppend = began
	l.appendTook = l.Timer.Now().Sub(began)
	l.flyingSince = time.Time{}
	l.flying = nil
	orders := l.board.Committed(batch)
	for _, r := range batch.Records {
		resolve(l.flyingWaiters, r.Job, nil)
	}
	return orders
}

// isDeposed reports whether an error means that another leader stands.
func isDeposed(err error) bool { return cakind.Of(err) == cakind.KindFenced }

// Release gives the cell up with the next append, so that another entry may
// claim it at once. It may be called more than once.
func (l *Leader) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
}

// isReleased reports whether the cell is to be given up.
func (l *Leader) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}
