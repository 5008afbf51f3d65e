package cahangup_test

import (
	"go/build"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cahangup"
)

const signalTimeout = 10 * time.Second

func hangUp(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// TestHangupEndsProcessWithoutReceiver guards against processes that SIGHUP ends before they receive it.
func TestHangupEndsProcessWithoutReceiver(t *testing.T) {
	hangUp(t)
	select {
	case <-cahangup.Signals():
	case <-time.After(signalTimeout):
		t.Error("the signal was not received")
	}
	hangUp(t)
	select {
	case <-cahangup.Signals():
	case <-time.After(signalTimeout):
		t.Error("the second signal was not received")
	}
}

// TestSignalIsCaughtLate guards against processes that SIGHUP ends while they start, since the signal is
// caught only after many other packages have been initialized.
func TestSignalIsCaughtLate(t *testing.T) {
	p, err := build.ImportDir(".", 0)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"os", "os/signal", "syscall"}, p.Imports); diff != "" {
		t.Errorf("imports (-want +got):\n%s", diff)
	}
}
