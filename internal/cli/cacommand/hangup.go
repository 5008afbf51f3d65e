package cacommand

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cahangup"
	"celeryarch.example/celeryarch/internal/base/cakind"
)

// hangupContext returns a context that SIGHUP cancels, unless the process began with the signal
// ignored. It is for commands that do not use cahangup.Signals. They are to call the returned function
// in the end.
func hangupContext(ctx context.Context, wasIgnored bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if wasIgnored {
		return ctx, func() { cancel(context.Canceled) }
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		cancelOnHangup(ctx, cancel)
	}()
	return ctx, func() {
		cancel(context.Canceled)
		// A signal after the end of this context is for the next one.
		<-done
	}
}

// cancelOnHangup waits for SIGHUP or the end of the context.
func cancelOnHangup(ctx context.Context, cancel context.CancelCauseFunc) {
	select {
	case <-cahangup.Signals():
		cancel(cakind.New(cakind.KindCanceled, "the terminal was closed (SIGHUP)"))
	case <-ctx.Done():
	}
}
