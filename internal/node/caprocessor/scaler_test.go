package caprocessor_test

import (
	"context"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/node/caprocessor"
)

// GOMAXPROCS applies to the whole process, so no other test of this package may
// run in parallel with this one.
func TestRunRestoresProcessors(t *testing.T) {
	before := runtime.GOMAXPROCS(2)
	defer runtime.GOMAXPROCS(before)
	part := caprocessor.NewScaler(0, catimer.NewService(), tally.NoopScope)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := part.Run(ctx); err != nil {
		t.Fatal(err)
	}
	<-part.Done()
	if diff := cmp.Diff(2, runtime.GOMAXPROCS(0)); diff != "" {
		t.Errorf("processors (-want +got):\n%s", diff)
	}
}
