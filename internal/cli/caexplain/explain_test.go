package caexplain

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cli/caloglines"
)

// timeAt returns the time of a line, in milliseconds after the first.
func timeAt(ms int) string {
	return time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format("2006-01-02T15:04:05.000Z")
}

// leaderLog and followerLog are the logs of two entries about three jobs. "late" is refused
// once, runs two steps, and loses a run of the second step with its upstream. "prompt" is
// completed in time. "away" is never accepted.
func leaderLog() string {
	return strings.Join([]string{
		fmt.Sprintf(`{"level":"info","event":400,"name":"job_accepted","job":"late","queue":"checks","team":"north","objective":2000,"time":%q}`, timeAt(1100)),
		"not a log line",
		fmt.Sprintf(`  12.3 entry-1 {"event":402,"job":"late","step":0,"task":0,"run":1,"upstream":"u1","outcome":"accepted","time":%q}`, timeAt(1200)),
		fmt.Sprintf(`{"event":403,"job":"late","step":0,"task":0,"run":1,"upstream":"u1","ending":"done","time":%q}`, timeAt(1700)),
		fmt.Sprintf(`{"event":402,"job":"late","step":1,"task":0,"run":1,"upstream":"u2","outcome":"accepted","time":%q}`, timeAt(1800)),
		fmt.Sprintf(`{"event":400,"job":"prompt","queue":"checks","team":"south","objective":2000,"time":%q}`, timeAt(2000)),
		fmt.Sprintf(`{"event":402,"job":"prompt","step":0,"task":0,"run":1,"upstream":"u1","outcome":"accepted","time":%q}`, timeAt(2100)),
		fmt.Sprintf(`{"event":403,"job":"prompt","step":0,"task":0,"run":1,"upstream":"u1","ending":"done","time":%q}`, timeAt(2600)),
		fmt.Sprintf(`{"event":407,"job":"prompt","phase":"completed","time":%q}`, timeAt(2600)),
		fmt.Sprintf(`{"event":411,"job":"late","step":1,"task":0,"run":1,"upstream":"u2","cause":"lease is over","time":%q}`, timeAt(8000)),
		fmt.Sprintf(`{"event":402,"job":"late","step":1,"task":0,"run":2,"upstream":"u1","outcome":"accepted","time":%q}`, timeAt(8100)),
		fmt.Sprintf(`{"event":403,"job":"late","step":1,"task":0,"run":2,"upstream":"u1","ending":"done","time":%q}`, timeAt(8600)),
		fmt.Sprintf(`{"event":407,"job":"late","phase":"completed","time":%q}`, timeAt(8600)),
	}, "\n")
}

func followerLog() string {
	return strings.Join([]string{
		fmt.Sprintf(`{"event":501,"method":"POST","job":"late","queue":"checks","team":"north","status":429,"took":10,"error":"the expected wait is 300 ms","time":%q}`, timeAt(10)),
		fmt.Sprintf(`{"event":501,"method":"POST","job":"away","queue":"checks","team":"north","status":503,"took":400,"time":%q}`, timeAt(500)),
		fmt.Sprintf(`{"event":502,"method":"POST","job":"late","queue":"checks","team":"north","status":200,"took":30,"time":%q}`, timeAt(1120)),
		fmt.Sprintf(`{"event":502,"method":"POST","job":"prompt","queue":"checks","team":"south","status":200,"took":30,"time":%q}`, timeAt(2020)),
	}, "\n")
}

func newTestReader() *caloglines.Reader {
	return caloglines.NewReader(caloglines.Log{Name: "a", Content: strings.NewReader(leaderLog())}, caloglines.Log{Name: "b", Content: strings.NewReader(followerLog())})
}

func TestSummaryOfLogs(t *testing.T) {
	got, err := Summarize(newTestReader(), Filter{}, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	all := Group{Jobs: 3, Completed: 2, Late: 1, Refused: 1}
	withName := func(name string, g Group) Group {
		g.Name = name
		return g
	}
	want := Summary{
		All: withName("all", all), Queues: []Group{withName("checks", all)},
		Teams: []Group{
			{Name: "north", Jobs: 2, Completed: 1, Late: 1, Refused: 1}, {Name: "south", Jobs: 1, Completed: 1},
		},
		Windows: []Group{withName("0s", all)},
		Causes: []CauseCount{
			{Cause: CauseNotAccepted, SecondsTotal: 1.1, SecondsLongest: 1.1},
			{Cause: CauseWait, SecondsTotal: 0.2, SecondsLongest: 0.2},
			{Cause: CauseLost, Jobs: 1, SecondsTotal: 6.3, SecondsLongest: 6.3},
			{Cause: CauseRun, SecondsTotal: 1, SecondsLongest: 1},
		},
		Lines: 17, Unreadable: 1,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("account (-want +got):\n%s", diff)
	}
}

func TestFilterSelectsJobs(t *testing.T) {
	for _, test := range []struct {
		filter Filter
		want   int
	}{{Filter{Team: "south"}, 1}, {Filter{Queue: "none"}, 0}, {Filter{From: time.Second}, 1}, {Filter{To: time.Second}, 2}} {
		got, err := Summarize(newTestReader(), test.filter, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(test.want, got.All.Jobs); diff != "" {
			t.Errorf("jobs under %+v (-want +got):\n%s", test.filter, diff)
		}
	}
}

// TestHistoryOfALateJob checks that the times by cause add up to the time that the job took.
func TestHistoryOfALateJob(t *testing.T) {
	h, found, err := ReadHistory(newTestReader(), "late")
	if err != nil || !found {
		t.Fatalf("found %v, error %v", found, err)
	}
	var total time.Duration
	for _, s := range h.CauseTimes {
		total += s.Took
	}
	if diff := cmp.Diff(h.Took, total); diff != "" {
		t.Errorf("sum of the times by cause (-want +got):\n%s", diff)
	}
	if !h.Late || h.Refusals != 1 || len(h.Timeline) != 10 {
		t.Errorf("late %v, %d refusals, %d moments, want true, 1, 10", h.Late, h.Refusals, len(h.Timeline))
	}
	var text strings.Builder
	if err := h.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"completed after 8.600 s, objective 2.000 s, late", "lost          6.300 s", "task_lapsed step 1 task 0 run 1 on u2 lease is over"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in:\n%s", want, text.String())
		}
	}
}

// TestEndedJobsAreEvicted checks that jobs are dropped jobRetention after their end.
// Otherwise the memory use would grow with the length of the logs.
func TestEndedJobsAreEvicted(t *testing.T) {
	c := &collector{
		window: time.Second, jobs: make(map[string]*job), queues: make(map[string]*Group), teams: make(map[string]*Group),
		windows: make(map[time.Duration]*Group), causes: make(map[Cause]*CauseCount),
	}
	start := time.Unix(1000, 0)
	for i := range 1000 {
		l := caloglines.Line{Time: start.Add(time.Duration(i) * time.Second), Job: fmt.Sprint(i), Event: 400, Objective: 1000}
		c.addLine(l)
		l.Event, l.Phase = 407, "completed"
		c.addLine(l)
	}
	if limit := int(jobRetention.Seconds()) + 2; len(c.jobs) > limit {
		t.Errorf("%d jobs are kept, want at most %d", len(c.jobs), limit)
	}
	if diff := cmp.Diff(1000-len(c.jobs), c.all.Completed); diff != "" {
		t.Errorf("counted jobs (-want +got):\n%s", diff)
	}
}

// FuzzDecode checks that malformed lines do not crash the reader.
func FuzzDecode(f *testing.F) {
	for _, line := range strings.Split(leaderLog(), "\n") {
		f.Add(line)
	}
	f.Fuzz(func(_ *testing.T, text string) {
		r := caloglines.NewReader(caloglines.Log{Content: strings.NewReader(text)})
		for _, ok := r.Next(); ok; _, ok = r.Next() {
		}
	})
}

// TestIncompleteLogEnds reads a log that lacks the start of the first of two steps, as after
// lines were dropped. The summary must end, and count the job.
func TestIncompleteLogEnds(t *testing.T) {
	log := strings.Join([]string{
		fmt.Sprintf(`{"event":400,"job":"late","queue":"checks","team":"north","objective":100,"time":%q}`, timeAt(0)),
		fmt.Sprintf(`{"event":403,"job":"late","step":0,"task":0,"run":1,"upstream":"u1","ending":"done","time":%q}`, timeAt(1000)),
		fmt.Sprintf(`{"event":402,"job":"late","step":1,"task":0,"run":1,"upstream":"u1","outcome":"accepted","time":%q}`, timeAt(1200)),
		fmt.Sprintf(`{"event":403,"job":"late","step":1,"task":0,"run":1,"upstream":"u1","ending":"done","time":%q}`, timeAt(2000)),
		fmt.Sprintf(`{"event":407,"job":"late","phase":"completed","time":%q}`, timeAt(2000)),
	}, "\n")
	ended := make(chan Group, 1)
	go func() {
		summary, _ := Summarize(caloglines.NewReader(caloglines.Log{Content: strings.NewReader(log)}), Filter{}, 5*time.Second)
		ended <- summary.All
	}()
	select {
	case got := <-ended:
		if diff := cmp.Diff(Group{Name: got.Name, Jobs: 1, Completed: 1, Late: 1}, got); diff != "" {
			t.Errorf("counts (-want +got):\n%s", diff)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the summary does not end")
	}
}

// TestHistoryNamesCrashes guards against a failed job whose history does not say that upstreams
// crashed under it. The lines about a crash name no single job.
func TestHistoryNamesCrashes(t *testing.T) {
	log := strings.Join([]string{
		fmt.Sprintf(`{"event":400,"job":"bad","queue":"checks","team":"north","objective":2000,"time":%q}`, timeAt(0)),
		fmt.Sprintf(`{"event":402,"job":"bad","step":0,"task":1,"run":1,"upstream":"u1","outcome":"accepted","time":%q}`, timeAt(100)),
		fmt.Sprintf(`{"event":419,"upstream":"u1","cause":"upstream restarted","suspect_jobs":["bad","other"],"time":%q}`, timeAt(3000)),
		fmt.Sprintf(`{"event":419,"upstream":"u9","cause":"upstream restarted","suspect_jobs":["other"],"time":%q}`, timeAt(3100)),
		fmt.Sprintf(`{"event":419,"upstream":"u2","cause":"lease is over","suspect_jobs":["bad"],"time":%q}`, timeAt(9000)),
		fmt.Sprintf(`{"event":420,"job":"bad","step":0,"task":1,"upstreams":["u1","u2"],"time":%q}`, timeAt(10000)),
		fmt.Sprintf(`{"event":407,"job":"bad","phase":"failed","time":%q}`, timeAt(10000)),
	}, "\n")
	h, found, err := ReadHistory(caloglines.NewReader(caloglines.Log{Content: strings.NewReader(log)}), "bad")
	if err != nil || !found {
		t.Fatalf("found %v, error %v", found, err)
	}
	var got []string
	for _, m := range h.Timeline {
		if m.Line.Event == caevent.UpstreamCrashed || m.Line.Event == caevent.JobGivenUp {
			got = append(got, m.Line.Text())
		}
	}
	want := []string{
		"upstream_crashed u1, suspected of it: bad, other; upstream restarted",
		"upstream_crashed u2, suspected of it: bad; lease is over",
		"job_given_up step 0 task 1, crashed under it: u1, u2",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines about crashes (-want +got):\n%s", diff)
	}
}

// TestTimelineTellsThatQueueWasRemoved guards against an operator who looks for the reason of a wait and does not learn that
// the queue or the team of the job is gone, or in which shard the job was looked for.
func TestTimelineTellsThatQueueWasRemoved(t *testing.T) {
	log := leaderLog() + "\n" + strings.Join([]string{
		fmt.Sprintf(`{"event":432,"queue":"checks","jobs":1,"policy":7,"listed_by":6,"time":%q}`, timeAt(8700)),
		fmt.Sprintf(`{"event":400,"job":"open","queue":"checks","team":"north","objective":2000,"time":%q}`, timeAt(8800)),
		fmt.Sprintf(`{"event":432,"queue":"others","jobs":1,"policy":8,"listed_by":6,"time":%q}`, timeAt(8900)),
		fmt.Sprintf(`{"event":432,"queue":"checks","jobs":1,"policy":9,"listed_by":8,"time":%q}`, timeAt(9000)),
	}, "\n")
	log += fmt.Sprintf("\n"+`{"event":434,"team":"north","successor":"north-b","jobs":1,"policy":9,"listed_by":8,"time":%q}`, timeAt(9100))
	log += fmt.Sprintf("\n"+`{"event":508,"call":"cell.phase","job":"open","team":"south","shard":1,"found_in":0,"time":%q}`, timeAt(9200))
	for id, want := range map[string][]string{"prompt": nil, "open": {"checks", "north", "south"}} {
		h, _, err := ReadHistory(caloglines.NewReader(caloglines.Log{Name: "a", Content: strings.NewReader(log)}), id)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, m := range h.Timeline {
			if slices.Contains([]caevent.Number{caevent.QueueRemoved, caevent.TeamRemoved, caevent.JobSought}, m.Line.Event) {
				got = append(got, m.Line.Queue+m.Line.Team)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("job %s, queues and teams of what changed while it was open (-want +got):\n%s", id, diff)
		}
	}
}
