package cahttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/platform/cahttp"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

type fixedList struct{ vms []caplatform.VM }

func (f *fixedList) List(context.Context) ([]caplatform.VM, error) { return f.vms, nil }

// TestUnchangedListIsNotSentAgain checks that the server omits an unchanged list
// and that the client returns its cached copy.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	list := &fixedList{vms: []caplatform.VM{{ID: "u1", Zone: "a"}, {ID: "u2", Zone: "a"}}}
	mux := http.NewServeMux()
	cahttp.HandleVMList(mux, list)
	var sizes []int
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, r)
		sizes = append(sizes, recorder.Body.Len())
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	client := cahttp.NewVMList(cahttp.NewClient(10*time.Second), server.URL)
	for i := range 3 {
		if i == 2 {
			list.vms = list.vms[:1]
		}
		got, err := client.List(context.Background())
		if err != nil {
			t.Fatalf("List: %v", err)
		}
		if diff := cmp.Diff(list.vms, got); diff != "" {
			t.Errorf("list %d mismatch (-want +got):\n%s", i, diff)
		}
	}
	if sizes[1] >= sizes[2] || sizes[2] >= sizes[0] {
		t.Errorf("bytes of a full, an unchanged and a shorter list: %v", sizes)
	}
}
