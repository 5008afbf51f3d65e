// Package caguard recovers panics, so that a panic in one call does not end the
// process.
package caguard

import (
	"runtime/debug"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
)

// Do calls f and returns its error. A panic in f is logged with its stack and
// returned as an error of KindUnknown, since the effects of f before the panic
// remain. f must release its locks in deferred calls.
func Do(log zerolog.Logger, what string, f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			caevent.Warn(log, caevent.PanicCaught).Str("part", what).Interface("panic", value).
				Str("stack", string(debug.Stack())).Send()
			err = cakind.New(cakind.KindUnknown, "panic in %s: %v", what, value)
		}
	}()
	return f()
}

// Run calls f, which returns no error. A panic in f is logged.
func Run(log zerolog.Logger, what string, f func()) {
	// The only possible error is a panic, which Do has logged.
	_ = Do(log, what, func() error {
		f()
		return nil
	})
}
