// Package cahangup catches SIGHUP for as long as the process exists. By default the signal ends a
// process that has not asked for it yet, or does not any more.
//
// Packages are initialized after all that they import. This one imports as little as possible, so that
// the signal is caught early.
package cahangup

import (
	"os"
	"os/signal"
	"syscall"
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

// WasIgnored reports whether the process began with SIGHUP ignored, as under nohup.
func WasIgnored() bool { return wasIgnored }
