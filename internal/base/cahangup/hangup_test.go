package cahangup_test

import (
	"os"
	"syscall"
	"testing"
	"time"

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

func TestHangupCancelsContext(t *testing.T) {
	ctx, stop := cahangup.Context(t.Context())
	defer stop()
	hangUp(t)
	select {
	case <-ctx.Done():
	case <-time.After(signalTimeout):
		t.Error("the context was not canceled")
	}
}
