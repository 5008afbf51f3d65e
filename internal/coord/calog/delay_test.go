package calog

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

// TestEntriesShareAnAppend adds two entries within one period after an hour
// without entries. It expects them in one append, followed by the periodic
// snapshot.
func TestEntriesShareAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{rng: rand.New(rand.NewPCG(1, 2)), retained: 100}
		s := &fakeShard{shard: "s"}
		o := DefaultOptions()
		o.Log, o.Topic, o.WriterID, o.Snapshots = l, "jobs", "e1/1", s
		o.Timer, o.Logger, o.Scope = catimer.NewService(), zerolog.Nop(), tally.NoopScope
		o.Period, o.SnapshotPeriod = 250*time.Millisecond, time.Minute
		w, err := NewWriter(o)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = w.Run(t.Context()) }()
		time.Sleep(time.Hour)
		began := time.Now()
		w.Add(s.nextRecord())
		time.Sleep(200 * time.Millisecond)
		w.Add(s.nextRecord())
		time.Sleep(90 * time.Second)
		synctest.Wait()
		var got []time.Duration
		for _, at := range l.appendTimes {
			got = append(got, at.Sub(began))
		}
		// An append takes 50 ms.
		want := []time.Duration{300 * time.Millisecond, time.Minute + 50*time.Millisecond}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("ends of the appends (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(s.state, l.restoreState(t, "s")); diff != "" {
			t.Errorf("state from the log (-want +got):\n%s", diff)
		}
	})
}
