package cacommand

import (
	"os"
	"syscall"
	"testing"
	"time"
)

const signalTimeout = 10 * time.Second

func TestHangupCancelsContext(t *testing.T) {
	ctx, stop := hangupContext(t.Context())
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
