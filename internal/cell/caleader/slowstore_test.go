package caleader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// slowLog is a log whose calls take long and always succeed. It carries out an append also when its
// caller gives up.
type slowLog struct {
	latency  time.Duration
	end      int64
	newest   LogEntry
	attempts int
}

// Append implements Log.
func (s *slowLog) Append(ctx context.Context, at int64, entries []LogEntry) (int64, error) {
	s.attempts++
	ended := s.wait(ctx)
	if at != s.end {
		if ended != nil {
			return 0, ended
		}
		return 0, cakind.New(cakind.KindConflict, "the log ends at %d", s.end)
	}
	s.end += int64(len(entries))
	s.newest = entries[0]
	return s.end, ended
}

// Read implements Log.
func (s *slowLog) Read(ctx context.Context, _ int64, _ time.Duration) ([]LogEntry, int64, error) {
	return nil, s.end, s.wait(ctx)
}

// Newest implements Log.
func (s *slowLog) Newest(ctx context.Context, _ string) (Page, error) {
	if err := s.wait(ctx); err != nil {
		return Page{}, err
	}
	return Page{Entries: []LogEntry{s.newest}, End: s.end}, nil
}

func (s *slowLog) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return cakind.Wrap(cakind.KindUnknown, ctx.Err(), "call the store")
	case <-time.After(s.latency):
		return nil
	}
}

// TestAppendToSlowStoreEnds guards against records that are appended again and again to a store that
// stores each of them and answers later than a fixed timeout.
func TestAppendToSlowStoreEnds(t *testing.T) {
	for name, latency := range map[string]time.Duration{"below the timeout": 800 * time.Millisecond, "above it": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &slowLog{latency: latency}
				w := writer{log: log, claim: Claim{Token: 1, Seq: 1}, pause: func(_ context.Context, d time.Duration) error {
					time.Sleep(d)
					return nil
				}}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				if _, err := w.append(ctx, []LogEntry{{Key: "job", Value: []byte("value")}}); err != nil {
					t.Errorf("after a minute and %d attempts: %v", log.attempts, err)
				}
			})
		})
	}
}
