package caboard

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// play starts what is due, and ends each run after the time that takes says, in steps of
// 20 ms for so long. At the upstream that is broken all runs fail at once.
func (s *scene) play(during time.Duration, broken cawork.UpstreamID, each func(n int)) (failedThere int) {
	s.t.Helper()
	began := s.now
	for n := 0; s.now.Sub(began) < during; n++ {
		each(n)
		s.startAll()
		s.advance(20 * time.Millisecond)
		for _, u := range s.board.inOrder {
			for _, r := range runsAt(u) {
				switch {
				case u.info.ID == broken:
					failedThere++
					s.endAs(u.info.ID, r.id, EndingFailed)
				case s.now.Sub(r.at) > 300*time.Millisecond:
					s.endAs(u.info.ID, r.id, EndingDone)
				}
			}
		}
	}
	return failedThere
}

// runsAt returns the runs at an upstream in the order of their names.
func runsAt(u *upstream) []*run {
	return slices.SortedFunc(maps.Values(u.runs), func(x, y *run) int { return x.id.compare(y.id) })
}

// endAs reports the end of a run, and what else runs there.
func (s *scene) endAs(id cawork.UpstreamID, run RunID, how Ending) {
	s.ends[id]++
	var rows []RunningRow
	for _, row := range s.rowsAt(id) {
		if row.Run != run {
			rows = append(rows, row)
		}
	}
	s.board.Observe(Report{
		Upstream: id, Born: 1, SentAt: s.now, ReceivedAt: s.now, ClockMS: s.now.UnixMilli(), Running: rows,
		Ended: []EndedRow{{Number: s.ends[id], Run: run, Ending: how}},
	})
}

// TestUpstreamThatFailsAllItStarts replays an upstream that fails all that it starts
// after it worked well for a while, under a steady load: what fails there at once makes
// room there at once. No job that could be done fails, and few runs are lost there.
func TestUpstreamThatFailsAllItStarts(t *testing.T) {
	// Two jobs of four tasks, and one more after the first rest.
	const mostLost = 12
	s := newScene(t, 8, plainQueue())
	submit := func(n int) { s.submit(fmt.Sprintf("job-%04d", n), "queue", smallStep(4)) }
	s.play(2*time.Second, "", submit)
	lost := s.play(3*time.Second, "up-00", func(n int) { submit(1000 + n) })
	if lost > mostLost {
		t.Errorf("%d runs were lost to the upstream, want at most %d", lost, mostLost)
	}
	for id, j := range s.board.jobs {
		if j.Phase == castate.PhaseFailed {
			t.Errorf("job %s failed though seven upstreams work", id)
		}
	}
}

// TestJobThatFailsEverywhereEjectsNobody replays jobs that can never be done beside work
// that can.
func TestJobThatFailsEverywhereEjectsNobody(t *testing.T) {
	s := newScene(t, 8, plainQueue())
	s.play(time.Second, "", func(n int) { s.submit(fmt.Sprintf("job-%04d", n), "queue", smallStep(4)) })
	s.submit("poison", "queue", smallStep(30))
	s.startAll()
	for _, u := range s.board.inOrder {
		for _, r := range runsAt(u) {
			if r.id.Job == "poison" {
				s.endAs(u.info.ID, r.id, EndingFailed)
			}
		}
	}
	var out []cawork.UpstreamID
	for _, u := range s.board.inOrder {
		if u.sick.isOut(s.now) {
			out = append(out, u.info.ID)
		}
	}
	if diff := cmp.Diff([]cawork.UpstreamID(nil), out); diff != "" {
		t.Errorf("upstreams that were ejected (-want +got):\n%s", diff)
	}
}

// TestRowsOfFailures tells after how many jobs in a row an upstream is taken for sick,
// by what part of all runs fails.
func TestRowsOfFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		failedOf100 int
		want        int
	}{{1, 2}, {8, 2}, {20, 3}, {30, 4}} {
		var all, h health
		for i := range 100 {
			all.note(now, cawork.JobID(fmt.Sprint("other-", i)), i < test.failedOf100)
		}
		for range 30 {
			h.note(now, "good", false)
		}
		got := 0
		for !h.isSick(all) && got < 20 {
			got++
			h.note(now, cawork.JobID(fmt.Sprint(got)), true)
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("jobs in a row where %d of 100 fail (-want +got):\n%s", test.failedOf100, diff)
		}
	}
}
