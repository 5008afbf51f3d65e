package cadispatch_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

// seen is what a caller sees of an answer.
type seen struct {
	Status  int
	Outcome string
	Body    string
}

func seenOf(res *http.Response, body string) seen {
	return seen{res.StatusCode, res.Header.Get(cadispatch.HeaderOutcome), body}
}

func TestServeRequestAnswers(t *testing.T) {
	up := newStandin(t, echo)
	e := newEntry(t, nil)
	e.PutUpstream(up.upstream("u1"))
	want := seen{http.StatusOK, "done", "hello"}
	for range 3 {
		res, body := e.post(t, "hello")
		if diff := cmp.Diff(want, seenOf(res, body)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	}
}
