package caleader

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// slowLog is a log whose calls take long and always succeed. It carries out an append also when its
// caller gives up.
type slowLog struct {
	latency  time.Duration
	mu       sync.Mutex
	end      int64
	newest   LogEntry
	attempts int
	// loseNext drops the answer of the next append.
	loseNext bool
}

// Append implements Log.
func (s *slowLog) Append(ctx context.Context, at int64, entries []LogEntry) (int64, error) {
	ended := s.wait(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	if at != s.end {
		if ended != nil {
			return 0, ended
		}
		return 0, cakind.New(cakind.KindConflict, "the log ends at %d", s.end)
	}
	s.end += int64(len(entries))
	s.newest = entries[0]
	if s.loseNext {
		s.loseNext = false
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return 0, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "call the store")
	}
	return s.end, ended
}

// Read implements Log.
func (s *slowLog) Read(ctx context.Context, _ int64, _ time.Duration) ([]LogEntry, int64, error) {
	ended := s.wait(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.end, ended
}

// Newest implements Log.
func (s *slowLog) Newest(ctx context.Context, _ string) (Page, error) {
	if err := s.wait(ctx); err != nil {
		return Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
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
				w := newWriter(log, Claim{Token: 1, Seq: 1}, 0, func(_ context.Context, d time.Duration) error {
					time.Sleep(d)
					return nil
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				if _, err := w.append(ctx, []LogEntry{{Key: "job", Value: []byte("value")}}); err != nil {
					t.Errorf("after a minute and %d attempts: %v", log.attempts, err)
				}
			})
		})
	}
}

// TestSilentStoreIsNoticedAfterSlowAnswers guards against a leader that does not step aside in time for
// entries that reach the store, since the answers before were slow.
func TestSilentStoreIsNoticedAfterSlowAnswers(t *testing.T) {
	for _, test := range []struct{ before, want time.Duration }{
		{10 * time.Millisecond, minAppendTimeout}, {time.Second, maxAppendTimeout}, {4 * time.Second, maxAppendTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWriter(&slowLog{latency: time.Hour}, Claim{AppendTook: test.before}, 0, nil)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			began, overdue := time.Now(), time.Duration(0)
			w.onAttempt = func(error) {
				if overdue == 0 {
					overdue = time.Since(began)
				}
			}
			if _, err := w.append(ctx, nil); cakind.Of(err) != cakind.KindUnknown {
				t.Errorf("append to a store that does not answer: %v", err)
			}
			if diff := cmp.Diff(test.want, overdue); diff != "" {
				t.Errorf("the append is overdue after answers in %v (-want +got):\n%s", test.before, diff)
			}
		})
	}
}

// TestLostAnswerOfAppendIsSoonReplaced guards against a store whose answers were slow once, so that one
// that is lost delays all changes of jobs.
func TestLostAnswerOfAppendIsSoonReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{latency: 10 * time.Millisecond}
		w := newWriter(log, Claim{AppendTook: 4 * time.Second}, 0, nil)
		for range 10 {
			if _, err := w.append(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
		}
		log.loseNext = true
		began := time.Now()
		if _, err := w.append(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > minAppendTimeout+100*time.Millisecond {
			t.Errorf("an append whose answer was lost took %v", took)
		}
	})
}
