package cacommand

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cahangup"
	"celeryarch.example/celeryarch/internal/base/cakind"
)

// hangupContext returns a context that SIGHUP cancels, unless the process began with the signal
// ignored. It is for commands that do not use cahangup.Signals. They are to call the returned function
// in the end.
func hangupContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if !cahangup.WasIgnored() {
		go func() {
			select {
			case <-cahangup.Signals():
				cancel(cakind.New(cakind.KindCanceled, "the terminal was closed (SIGHUP)"))
			case <-ctx.Done():
			}
		}()
	}
	return ctx, func() { cancel(context.Canceled) }
}
