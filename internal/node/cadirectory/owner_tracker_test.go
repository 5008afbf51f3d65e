package cadirectory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calist"
)

// The tracker must not report a window as covered when an entry that has ended,
// an outage of the list or a gap in the updates falls into it. It is updated once
// a second and asked for a window of 20 s.
func TestOwnerTracker(t *testing.T) {
	const window = 20 * time.Second
	start := time.Unix(1_800_000_000, 0)
	always := func(int) []cawork.VMID { return []cawork.VMID{"e1"} }
	fresh := func(second int) int { return second }
	tests := []struct {
		name    string
		running func(second int) []cawork.VMID
		// listReadAt is the second at which the last list was read.
		listReadAt func(second int) int
		// skipUpdate reports the seconds without an update.
		skipUpdate func(second int) bool
		wantSecond int
	}{
		{name: "no changes", running: always, listReadAt: fresh, wantSecond: 20},
		{name: "an entry ends", running: func(second int) []cawork.VMID {
			if second < 10 {
				return []cawork.VMID{"e1", "e2"}
			}
			return []cawork.VMID{"e1"}
		}, listReadAt: fresh, wantSecond: 30},
		{name: "an entry returns", running: func(second int) []cawork.VMID {
			if second >= 10 && second < 15 {
				return nil
			}
			return []cawork.VMID{"e1"}
		}, listReadAt: fresh, wantSecond: 20},
		{name: "the list is unavailable", running: always, listReadAt: func(second int) int {
			if second < 10 || second >= 30 {
				return second
			}
			return 9
		}, wantSecond: 49},
		{name: "updates are interrupted", running: always, listReadAt: fresh, skipUpdate: func(second int) bool { return second > 5 && second < 17 }, wantSecond: 37},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tracker := newOwnerTracker()
			got := -1
			for second := 0; second < 100 && got < 0; second++ {
				if tc.skipUpdate != nil && tc.skipUpdate(second) {
					continue
				}
				list := calist.Snapshot{At: start.Add(time.Duration(tc.listReadAt(second)) * time.Second)}
				tracker.update(start.Add(time.Duration(second)*time.Second), list, tc.running(second))
				if tracker.covers(window) {
					got = second
				}
			}
			if diff := cmp.Diff(tc.wantSecond, got); diff != "" {
				t.Errorf("first second at which the window is covered mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
