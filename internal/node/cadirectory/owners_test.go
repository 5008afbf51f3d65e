package cadirectory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calist"
)

// TestOwnerWatch looks once a second and asks for a window of 20 s.
func TestOwnerWatch(t *testing.T) {
	const window = 20 * time.Second
	start := time.Unix(1_800_000_000, 0)
	always := func(int) []cawork.VMID { return []cawork.VMID{"e1"} }
	fresh := func(second int) int { return second }
	tests := []struct {
		name    string
		running func(second int) []cawork.VMID
		// list is the second at which the last list was read.
		list func(second int) int
		// skip are the seconds without a look.
		skip func(second int) bool
		want int
	}{
		{name: "all is known", running: always, list: fresh, want: 20},
		{name: "an entry ends", running: func(second int) []cawork.VMID {
			if second < 10 {
				return []cawork.VMID{"e1", "e2"}
			}
			return []cawork.VMID{"e1"}
		}, list: fresh, want: 30},
		{name: "an entry returns", running: func(second int) []cawork.VMID {
			if second >= 10 && second < 15 {
				return nil
			}
			return []cawork.VMID{"e1"}
		}, list: fresh, want: 20},
		{name: "the list is down", running: always, list: func(second int) int {
			if second < 10 || second >= 30 {
				return second
			}
			return 9
		}, want: 49},
		{name: "no look for a while", running: always, list: fresh, skip: func(second int) bool { return second > 5 && second < 17 }, want: 37},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newOwnerWatch()
			got := -1
			for second := 0; second < 100 && got < 0; second++ {
				if tc.skip != nil && tc.skip(second) {
					continue
				}
				list := calist.Snapshot{At: start.Add(time.Duration(tc.list(second)) * time.Second)}
				w.look(start.Add(time.Duration(second)*time.Second), list, tc.running(second))
				if w.covers(window) {
					got = second
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("first second at which the window is covered mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
