package cadispatch

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// goroutineResult is the result of a function that runOnGoroutine ran.
type goroutineResult struct {
	err error
	// panicValue is the recovered panic value, nil if the function did not
	// panic.
	panicValue any
}

// goroutinePanic is a panic of a function that runOnGoroutine ran, with the
// stack of its goroutine.
type goroutinePanic struct {
	value any
	stack []byte
}

// Error implements error.
func (p *goroutinePanic) Error() string { return fmt.Sprintf("%v\n%s", p.value, p.stack) }

// runOnGoroutine runs f on a new goroutine, waits for it to end and propagates
// its error or panic.
//
// This keeps the stack of the calling goroutine small. A stack stays as large
// as its deepest call, and an attempt with the header of its response needs
// twice the stack of a wait. If attempts ran on the goroutine of a connection,
// each later wait for a slot on this connection would hold 8 KiB instead of
// 4 KiB.
func runOnGoroutine(f func() error) error {
	done := make(chan goroutineResult, 1)
	go func() {
		var e goroutineResult
		defer func() {
			e.panicValue = withStack(recover())
			done <- e
		}()
		e.err = f()
	}()
	e := <-done
	if e.panicValue != nil {
		panic(e.panicValue)
	}
	return e.err
}

// withStack adds the current stack to a recovered panic value. It returns nil
// and http.ErrAbortHandler, which aborts a response on purpose, unchanged.
func withStack(value any) any {
	if value == nil || value == http.ErrAbortHandler {
		return value
	}
	return &goroutinePanic{value: value, stack: debug.Stack()}
}
