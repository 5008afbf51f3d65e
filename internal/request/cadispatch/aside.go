package cadispatch

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// goroutineResult tells how a function that ran aside ended.
type goroutineResult struct {
	err error
	// panicValue is the value of its panic, nil for none.
	panicValue any
}

// goroutinePanic is a panic of a function that ran aside.
type goroutinePanic struct {
	value any
	stack []byte
}

// Error implements error.
func (p *goroutinePanic) Error() string { return fmt.Sprintf("%v\n%s", p.value, p.stack) }

// runOnGoroutine runs f on a goroutine of its own, waits for its end and passes its
// error or panic on.
//
// The stack of a goroutine stays as large as its deepest call, while an
// attempt and the header of its answer need twice the stack of a wait. Without
// this, a connection that has carried a request would wait for its next slot
// on 8 KiB in place of 4 KiB.
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

// withStack adds the stack to the value of a panic, unless it is none or the
// usual one that aborts an answer.
func withStack(value any) any {
	if value == nil || value == http.ErrAbortHandler {
		return value
	}
	return &goroutinePanic{value: value, stack: debug.Stack()}
}
