package caapi_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/caapi"
)

// unconfirmedAuthorizer cannot confirm any key and has no public queue.
type unconfirmedAuthorizer struct{}

func (unconfirmedAuthorizer) AuthorizeKey(string) (cawork.TeamName, error) {
	return "", cakind.New(cakind.KindKeyUnconfirmed, "not confirmed").WithRetryAfter(1500 * time.Millisecond)
}

func (unconfirmedAuthorizer) AuthorizeQueue(string, cawork.WorkKind) (cawork.TeamName, error) {
	return "", cakind.New(cakind.KindForbidden, "no such queue")
}

// refusal is the part of an error response that a client can act on.
type refusal struct {
	Status     int
	Kind       cakind.Kind
	Retryable  bool
	RetryAfter string
	Outcome    string
	Allow      string
}

// A client must be able to parse every refusal, whichever layer refuses the
// call: the framework, the authorizer or the decoder.
func TestRefusalsShareOneFormat(t *testing.T) {
	api := caapi.NewAPI(caapi.Config{Authorizer: unconfirmedAuthorizer{}, Limits: caapi.Limits{BodyBytes: 1 << 20}})
	tests := []struct {
		method, path, key string
		want              refusal
	}{
		{"GET", "/v1/nothing", "", refusal{Status: 404, Kind: cakind.KindNotFound}},
		{"PUT", "/v1/jobs", "", refusal{Status: 405, Kind: cakind.KindMethodNotAllowed, Allow: "POST"}},
		{"POST", "/v1/jobs/1", "", refusal{Status: 405, Kind: cakind.KindMethodNotAllowed, Allow: "DELETE, GET"}},
		{"GET", "/v1/requests", "", refusal{Status: 405, Kind: cakind.KindMethodNotAllowed, Allow: "POST", Outcome: "not_run"}},
		{"POST", "/v1/requests", "", refusal{Status: 401, Kind: cakind.KindUnauthenticated, Outcome: "not_run"}},
		{"POST", "/v1/jobs", "", refusal{Status: 400, Kind: cakind.KindInvalid}},
		{"GET", "/v1/jobs/1", "k", refusal{Status: 503, Kind: cakind.KindKeyUnconfirmed, Retryable: true, RetryAfter: "2"}},
		{"POST", "/v1/requests", "k", refusal{
			Status: 503, Kind: cakind.KindKeyUnconfirmed, Retryable: true, RetryAfter: "2", Outcome: "not_run",
		}},
	}
	for _, tt := range tests {
		r := httptest.NewRequest(tt.method, tt.path, nil)
		if tt.key != "" {
			r.Header.Set("Authorization", "Bearer "+tt.key)
		}
		w := httptest.NewRecorder()
		api.Handler().ServeHTTP(w, r)
		if diff := cmp.Diff(tt.want, refusalOf(t, w.Result())); diff != "" {
			t.Errorf("%s %s (-want +got):\n%s", tt.method, tt.path, diff)
		}
	}
}

func refusalOf(t *testing.T, r *http.Response) refusal {
	t.Helper()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	var body cakind.ErrorBody
	if err := decoder.Decode(&body); err != nil {
		t.Fatal(err)
	}
	allow := strings.TrimPrefix(r.Header.Get("Allow"), "OPTIONS, ")
	return refusal{
		Status: r.StatusCode, Kind: body.Kind, Retryable: body.Retryable, Allow: allow,
		RetryAfter: r.Header.Get("Retry-After"), Outcome: r.Header.Get("X-Outcome"),
	}
}
