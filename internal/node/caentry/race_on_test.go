//go:build race

package caentry

import (
	"os"
	"runtime"
	"testing"
)

// raceEnabled reports whether the race detector is on.
const raceEnabled = true

// TestMain runs the tests on one processor. With several, goroutines of
// synctest bubbles corrupt the race detector's record of call stacks: it ends
// the process in __sanitizer::StackDepot with a call stack of -1 entries. The
// detector finds the same races on one processor, since it compares the order
// given by locks and channels.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
