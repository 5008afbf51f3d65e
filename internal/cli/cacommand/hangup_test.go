package cacommand

import (
	"os"
	"syscall"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cahangup"
)

const signalTimeout = 10 * time.Second

func TestHangupCancelsContext(t *testing.T) {
	ctx, stop := hangupContext(t.Context(), false)
	defer stop()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(signalTimeout):
		t.Error("the context was not canceled")
	}
}

// TestIgnoredHangupCancelsContext guards against commands that SIGHUP ends although they were started to
// ignore it, as by nohup.
func TestIgnoredHangupCancelsContext(t *testing.T) {
	ctx, stop := hangupContext(t.Context(), true)
	defer stop()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ctx.Done():
		t.Error("the context was canceled")
	case <-cahangup.Signals():
	case <-time.After(signalTimeout):
		t.Error("the signal did not come")
	}
}
