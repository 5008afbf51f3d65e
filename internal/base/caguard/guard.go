// Package caguard keeps a panic in one call from ending the process.
package caguard

import (
	"runtime/debug"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
)

// Do calls f and returns its error. A panic of f is logged with its stack and
// returned as an error of KindUnknown, since what f did until then stands. Locks
// that f takes must be released by deferred calls.
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

// Run calls f, whose error is of no interest. A panic of f is logged.
func Run(log zerolog.Logger, what string, f func()) {
	// Do has logged the panic, which is the only error.
	_ = Do(log, what, func() error {
		f()
		return nil
	})
}
