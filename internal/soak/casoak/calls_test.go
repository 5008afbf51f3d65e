package casoak

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/soak/caconn"
	"celeryarch.example/celeryarch/platform"
)

// TestDialTimeoutIsTakenForCut guards against calls that count as unanswered although no connection was
// opened, and against unanswered calls that do not count.
func TestDialTimeoutIsTakenForCut(t *testing.T) {
	for name, c := range map[string]struct {
		kind   cakind.Kind
		cause  error
		counts CallCounts
		broken int
	}{
		"refused":           {cakind.KindUnavailable, syscall.ECONNREFUSED, CallCounts{Refused: 1}, 0},
		"timeout of a dial": {cakind.KindUnavailable, context.DeadlineExceeded, CallCounts{Refused: 1}, 0},
		"reset":             {cakind.KindUnknown, syscall.ECONNRESET, CallCounts{Unread: 1}, 0},
		"cut":               {cakind.KindUnknown, &caconn.CutError{Cause: io.EOF, After: time.Second}, CallCounts{Cut: 1}, 1},
		"no answer":         {cakind.KindUnknown, context.DeadlineExceeded, CallCounts{Unanswered: 1}, 1},
		"no answer in time": {cakind.KindUnknown, os.ErrDeadlineExceeded, CallCounts{Unanswered: 1}, 1},
	} {
		l, cell := newOutcomeLog(), &cell{isPlanned: true}
		cell.call(&node{name: "node"}, l, func(context.Context, string) platform.CallResult {
			return platform.CallResult{Err: cakind.Wrap(c.kind, c.cause, "call")}
		})
		if diff := cmp.Diff(c.counts, cell.calls.counts()); diff != "" {
			t.Errorf("%s: counts (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff(c.broken, len(l.violationList())); diff != "" {
			t.Errorf("%s: violations (-want +got):\n%s%v", name, diff, l.violationList())
		}
	}
}
