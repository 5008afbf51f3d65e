package caboard

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// newZones returns a scene with upstreams of 16 cores in three availability zones.
func newZones(t *testing.T, each int) *scene {
	t.Helper()
	s := newScene(t, 0, plainQueue())
	var list []caspec.Upstream
	for i := range 3 * each {
		list = append(list, caspec.Upstream{
			ID: cawork.UpstreamID(fmt.Sprintf("up-%02d", i)), Address: "address", Pool: "pool", Born: 1,
			Zone:     cawork.ZoneName(fmt.Sprintf("zone-%d", i/each)),
			Capacity: cawork.Resources{CPU: cawork.Cores(16), Memory: 32 * cawork.GiB},
		})
	}
	s.board.SetUpstreams(list)
	for _, u := range list {
		s.report(u.ID, nil, nil)
	}
	return s
}

// TestCutZoneGetsNoWorkSoon replays the cut of an availability zone under a steady load
// of short work, with a leader that stays: nothing is started behind the cut later than
// 150 ms after it, and nothing that could run elsewhere waits.
func TestCutZoneGetsNoWorkSoon(t *testing.T) {
	const (
		cutAt   = time.Second
		answers = 6 * time.Millisecond
		step    = 10 * time.Millisecond
	)
	s := newZones(t, 6)
	began := s.now
	behind := func(id cawork.UpstreamID) bool { return s.board.upstreams[id].info.Zone == "zone-1" }
	type call struct {
		at    time.Time
		order StartOrder
	}
	var calls []call
	lastBehind, looks := time.Duration(0), 0
	for n := 0; s.now.Sub(began) < 3*time.Second; n++ {
		cut := s.now.Sub(began) >= cutAt
		s.submit(fmt.Sprintf("job-%03d", n), "queue", smallStep(2))
		looks += len(s.board.Plan().Looks)
		for _, o := range s.commit() {
			calls = append(calls, call{at: s.now, order: o})
			if cut && behind(o.Upstream) {
				lastBehind = s.now.Sub(began) - cutAt
			}
		}
		s.advance(step)
		for _, c := range calls {
			if s.now.Sub(c.at) > answers && s.now.Sub(c.at) <= answers+step && !(cut && behind(c.order.Upstream)) {
				s.board.Started(c.order, StartAccepted, s.now.UnixMilli())
			}
		}
		for _, u := range s.board.inOrder {
			for _, r := range runsAt(u) {
				if s.now.Sub(r.at) > 500*time.Millisecond && !(cut && behind(u.info.ID)) {
					s.endAs(u.info.ID, r.id, EndingDone)
				}
			}
		}
	}
	if lastBehind > 150*time.Millisecond {
		t.Errorf("work was started behind the cut %v after it, want at most 150ms", lastBehind)
	}
	if looks == 0 {
		t.Error("no upstream behind the cut was asked for a report")
	}
	for _, st := range s.board.steps {
		if st.waiting > 0 && st.runs == 0 {
			t.Errorf("job %s waits though two zones have room", st.job.Submission.ID)
		}
	}
}

// TestDoubtEndsWithAnyAnswer tells what makes an upstream get work again.
func TestDoubtEndsWithAnyAnswer(t *testing.T) {
	s := newZones(t, 1)
	u := s.board.upstreams["up-00"]
	doubt := func() {
		t.Helper()
		s.advance(time.Second)
		s.board.doubt(u, s.now)
		if u.accepts(s.now) {
			t.Fatal("an upstream that leaves a call unanswered gets work")
		}
		s.advance(time.Millisecond)
	}
	doubt()
	s.report("up-00", nil, nil)
	if !u.accepts(s.now) {
		t.Error("no work after a report")
	}
	doubt()
	s.submit("job", "queue", smallStep(1))
	s.board.Plan()
	for _, o := range s.commit() {
		if diff := cmp.Diff(false, o.Upstream == "up-00"); diff != "" {
			t.Errorf("started at a doubted upstream (-want +got):\n%s", diff)
		}
	}
	s.board.noteAnswered(u, s.now)
	if u.isDoubted() {
		t.Error("doubted after an answer to a later call")
	}
}
