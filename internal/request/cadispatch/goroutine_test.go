package cadispatch

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestRunOnGoroutinePassesErrorsAndPanics(t *testing.T) {
	cause := errors.New("cause")
	if diff := cmp.Diff(cause, runOnGoroutine(func() error { return cause }), cmpopts.EquateErrors()); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
	if got := panicOf(func() { panic(http.ErrAbortHandler) }); got != http.ErrAbortHandler {
		t.Errorf("http.ErrAbortHandler was propagated as %v", got)
	}
	got, ok := panicOf(overrun).(error)
	if !ok || !strings.Contains(got.Error(), "index out of range") || !strings.Contains(got.Error(), "overrun") {
		t.Errorf("the panic was propagated without its message or stack: %v", got)
	}
}

// overrun panics with an index out of range.
func overrun() {
	var none []int
	none[len(none)]++
}

// panicOf runs f by runOnGoroutine and returns the value of its panic.
func panicOf(f func()) (value any) {
	defer func() { value = recover() }()
	_ = runOnGoroutine(func() error {
		f()
		return nil
	})
	return nil
}
