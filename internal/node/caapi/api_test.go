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

// busy refuses all keys and has no open queue.
type busy struct{}

func (busy) AuthorizeKey(string) (cawork.TeamName, error) {
	return "", cakind.New(cakind.KindKeyUnconfirmed, "not confirmed").WithRetryAfter(1500 * time.Millisecond)
}

func (busy) AuthorizeQueue(string, cawork.WorkKind) (cawork.TeamName, error) {
	return "", cakind.New(cakind.KindForbidden, "no such queue")
}

// refused is what a caller sees of a refusal.
type refused struct {
	Status     int
	Kind       cakind.Kind
	Retryable  bool
	RetryAfter string
	Outcome    string
	Allow      string
}

// Every refusal has the one body, its status and headers.
func TestRefusalsHaveOneForm(t *testing.T) {
	api := caapi.NewAPI(caapi.Config{Authorizer: busy{}, Limits: caapi.Limits{BodyBytes: 1 << 20}})
	tests := []struct {
		method, path, key string
		want              refused
	}{
		{"GET", "/v1/nothing", "", refused{Status: 404, Kind: cakind.KindNotFound}},
		{"PUT", "/v1/jobs", "", refused{Status: 405, Kind: cakind.KindMethodNotAllowed, Allow: "POST"}},
		{"POST", "/v1/jobs/1", "", refused{Status: 405, Kind: cakind.KindMethodNotAllowed, Allow: "DELETE, GET"}},
		{"GET", "/v1/requests", "", refused{Status: 405, Kind: cakind.KindMethodNotAllowed, Allow: "POST", Outcome: "not_run"}},
		{"POST", "/v1/requests", "", refused{Status: 401, Kind: cakind.KindUnauthenticated, Outcome: "not_run"}},
		{"POST", "/v1/jobs", "", refused{Status: 400, Kind: cakind.KindInvalid}},
		{"GET", "/v1/jobs/1", "k", refused{Status: 503, Kind: cakind.KindKeyUnconfirmed, Retryable: true, RetryAfter: "2"}},
		{"POST", "/v1/requests", "k", refused{
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
		if diff := cmp.Diff(tt.want, refusedOf(t, w.Result())); diff != "" {
			t.Errorf("%s %s (-want +got):\n%s", tt.method, tt.path, diff)
		}
	}
}

func refusedOf(t *testing.T, r *http.Response) refused {
	t.Helper()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	var body cakind.ErrorBody
	if err := decoder.Decode(&body); err != nil {
		t.Fatal(err)
	}
	allow := strings.TrimPrefix(r.Header.Get("Allow"), "OPTIONS, ")
	return refused{
		Status: r.StatusCode, Kind: body.Kind, Retryable: body.Retryable, Allow: allow,
		RetryAfter: r.Header.Get("Retry-After"), Outcome: r.Header.Get("X-Outcome"),
	}
}
