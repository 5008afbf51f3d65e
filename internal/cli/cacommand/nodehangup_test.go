package cacommand_test

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cahangup"
	"celeryarch.example/celeryarch/internal/cli/cacommand"
	"celeryarch.example/celeryarch/internal/cli/caoption"
)

const signalTimeout = 10 * time.Second

// TestHangupEndsNode guards against a SIGHUP that ends the entry, in place of its reading the settings again.
func TestHangupEndsNode(t *testing.T) {
	// Each signal has one receiver: with a second one, some of them are lost.
	const signals = 20
	runners := cacommand.Runners{Node: func(ctx context.Context, _ cacommand.Output, _ caoption.Node) error {
		for range signals {
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				return err
			}
			select {
			case <-cahangup.Signals():
			case <-time.After(signalTimeout):
				t.Error("the entry did not receive the signal")
			}
		}
		return context.Cause(ctx)
	}}
	code := cacommand.RunContext(t.Context(), []string{"node", "--settings=x"}, cacommand.Output{Stdout: io.Discard, Stderr: io.Discard}, runners)
	if code != cacommand.ExitOK {
		t.Errorf("exit code %v", code)
	}
}
