package caloglines_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cli/caloglines"
)

// Lines of several logs come in the order of their times. Prefixes of log collectors are
// ignored, other text is counted, and a line whose time goes back gets the time before it.
func TestReaderMergesLogsByTime(t *testing.T) {
	first := strings.Join([]string{
		`{"event":400,"job":"a","time":"2026-12-04T10:00:01Z"}`,
		`not a log line`,
		`entry-1 {"event":407,"job":"b","time":"2026-12-04T10:00:03Z"}`,
		`{"event":407,"job":"c","time":"2026-12-04T10:00:00Z"}`,
	}, "\n")
	second := `{"event":400,"job":"d","time":"2026-12-04T10:00:02Z"}`
	r := caloglines.NewReader(
		caloglines.Log{Name: "first", Content: strings.NewReader(first)},
		caloglines.Log{Name: "second", Content: strings.NewReader(second)},
	)
	var got []string
	for line, ok := r.Next(); ok; line, ok = r.Next() {
		got = append(got, line.Job+" "+line.Time.Format("05"))
	}
	if diff := cmp.Diff([]string{"a 01", "d 02", "b 03", "c 03"}, got); diff != "" {
		t.Errorf("jobs and seconds (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{5, 1}, []int{r.Lines, r.Unreadable}); diff != "" {
		t.Errorf("lines and unreadable lines (-want +got):\n%s", diff)
	}
	if err := r.Err(); err != nil {
		t.Error(err)
	}
}

// TestTextNamesLackedRoom guards against a job that waits for ever and whose history does not say why.
func TestTextNamesLackedRoom(t *testing.T) {
	log := strings.Join([]string{
		`{"event":426,"job":"a","step":1,"lacks":true,"at_once":48,"places":42,"approved":14,"time":"2026-12-04T10:00:01Z"}`,
		`{"event":426,"job":"a","step":1,"lacks":false,"at_once":48,"places":48,"approved":16,"time":"2026-12-04T10:00:02Z"}`,
	}, "\n")
	r := caloglines.NewReader(caloglines.Log{Content: strings.NewReader(log)})
	var got []string
	for line, ok := r.Next(); ok; line, ok = r.Next() {
		got = append(got, line.Text())
	}
	want := []string{
		"step_lacks_room step 1 needs 48 places at once, 14 approved upstreams have 42 when empty",
		"step_lacks_room step 1 may fit again",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines of a step without room (-want +got):\n%s", diff)
	}
}
