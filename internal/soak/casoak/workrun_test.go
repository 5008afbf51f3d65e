package casoak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/soak/caconn"
	"celeryarch.example/celeryarch/internal/soak/caworkload"
)

// TestSilentJobIsLeftOut guards against an accepted job for which no node answers, and which counts as
// neither open nor lost.
func TestSilentJobIsLeftOut(t *testing.T) {
	l := newOutcomeLog()
	c := &cell{transport: &caconn.Transport{}, nodes: []*node{{name: "node", ip: loopbackIP(0, 0)}}}
	load := caworkload.Workload{Teams: []caworkload.Team{{Name: "north", Key: "key"}}}
	r := &workRun{cell: c, work: newWorkGenerator(load, l, 1), outcomes: l, silent: make(map[cawork.JobID]bool)}
	r.work.addCallers(c)
	job := caworkload.Job{Team: load.Teams[0], Spec: caspec.Submission{ID: "j"}}
	r.work.jobs["j"] = job
	l.record("j", outcomeAccepted)
	open, silent := r.openJobs(t.Context())
	if len(open) != 1 || len(silent) != 1 {
		t.Fatalf("%d jobs are open, %d without an answer, want 1 and 1", len(open), len(silent))
	}
	var counts []int
	for _, afterLoad := range []time.Duration{finishTime, finishTime + time.Second, watchTime} {
		r.checkSilent(silent, afterLoad)
		counts = append(counts, len(l.violationList()))
	}
	if diff := cmp.Diff([]int{0, 1, 1}, counts); diff != "" {
		t.Errorf("violations at times after the load (-want +got):\n%s", diff)
	}
}

// TestWatchEnds checks when the watch of the jobs after the load ends.
func TestWatchEnds(t *testing.T) {
	for name, c := range map[string]struct {
		afterLoad           time.Duration
		isFinished, isStill bool
		want                bool
	}{
		"all have ended":           {time.Second, true, true, true},
		"none makes progress yet":  {watchTime, false, true, false},
		"none makes progress":      {watchTime + 1, false, true, true},
		"some make progress":       {watchTime + 1, false, false, false},
		"some make progress still": {maxWatchTime + 1, false, false, true},
	} {
		if got := isWatchOver(c.afterLoad, c.isFinished, c.isStill); got != c.want {
			t.Errorf("%s: over is %v, want %v", name, got, c.want)
		}
	}
}
