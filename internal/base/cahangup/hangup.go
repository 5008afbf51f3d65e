// Package cahangup catches SIGHUP for as long as the process exists. By default the signal ends a
// process that has not asked for it yet, or does not any more.
package cahangup

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// wasIgnored is set if the process began with SIGHUP ignored, as under nohup.
var wasIgnored = signal.Ignored(syscall.SIGHUP)

// signals is filled from the initialization of the program on, before it parses its arguments.
var signals = catch()

func catch() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel of the signals that no one has received yet. Several that come before
// they are received count as one.
func Signals() <-chan os.Signal { return signals }

// Context returns a context that a signal cancels, unless the process began with SIGHUP ignored. It is for
// commands that do not use Signals. They are to call the returned function in the end.
func Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if !wasIgnored {
		go func() {
			select {
			case <-signals:
				cancel(cakind.New(cakind.KindCanceled, "the terminal was closed (SIGHUP)"))
			case <-ctx.Done():
			}
		}()
	}
	return ctx, func() { cancel(context.Canceled) }
}
