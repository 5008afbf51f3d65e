package caopenjobs_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cli/caopenjobs"
)

// TestReadAddsUpEntries guards against counts of one entry that are taken for those of the cell: each shard has a leader
// of its own, and an entry that does not answer may lead one.
func TestReadAddsUpEntries(t *testing.T) {
	serve := func(status int, body string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	first := serve(200, "# TYPE x_open_jobs gauge\nx_open_jobs{queue=\"north\",shard=\"0\"} 3\nx_open_jobs{queue=\"south\",shard=\"0\"} 0\nother 7\n"+
		"# TYPE x_cores_of_team gauge\nx_cores_of_team{team=\"t\",shard=\"0\"} 1.5\n# TYPE x_open_jobs_of_team gauge\nx_open_jobs_of_team{team=\"t\",shard=\"0\"} 3\n")
	second := serve(200, "# TYPE x_open_jobs gauge\nx_open_jobs{queue=\"north\",shard=\"1\"} 4\n# TYPE x_cores_of_team gauge\nx_cores_of_team{team=\"t\",shard=\"1\"} 2\n")
	got, err := caopenjobs.Read(t.Context(), http.DefaultClient, "x", []string{first, second, serve(200, "")})
	want := caopenjobs.OpenWork{
		Queues: map[string]float64{"north": 7, "south": 0}, Teams: map[string]float64{"t": 3}, Cores: map[string]float64{"t": 3.5},
	}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("counts, error %v (-want +got):\n%s", err, diff)
	}
	for name, test := range map[string]struct {
		url  string
		want cakind.Kind
	}{
		"an entry fails": {serve(500, ""), cakind.KindUnavailable},
		"no metrics":     {serve(200, "{]"), cakind.KindInvalid},
		"no entry":       {"http://127.0.0.1:1/metrics", cakind.KindUnavailable},
		"not an address": {":", cakind.KindInvalid},
	} {
		_, err := caopenjobs.Read(t.Context(), http.DefaultClient, "x", []string{first, test.url})
		if diff := cmp.Diff(test.want, cakind.Of(err)); diff != "" {
			t.Errorf("%s: error %v (-want +got):\n%s", name, err, diff)
		}
	}
}
