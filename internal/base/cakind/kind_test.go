package cakind_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, k := range cakind.KindValues() {
		if cakind.ResponseTo(k).Status == 0 {
			t.Errorf("kind %v has no status", k)
		}
		if k != cakind.KindInternal && cakind.ResponseTo(k) == cakind.ResponseTo(cakind.KindInternal) {
			t.Errorf("kind %v falls back to the internal answer", k)
		}
	}
}

func TestRetryableKindsDidNotRun(t *testing.T) {
	for _, k := range cakind.KindValues() {
		a := cakind.ResponseTo(k)
		if a.Retryable && a.Execution != cakind.ExecutionNotRun {
			t.Errorf("kind %v is retryable but its execution is %v", k, a.Execution)
		}
	}
}

func ExampleOf() {
	cause := errors.New("queue of team north is full")
	err := cakind.Wrap(cakind.KindOverloaded, cause, "refused").WithRetryAfter(2 * time.Second)
	wrapped := fmt.Errorf("submit: %w", err)
	fmt.Println(cakind.Of(wrapped), cakind.ResponseTo(cakind.Of(wrapped)).Status, cakind.RetryAfterOf(wrapped))
	// Output: overloaded 429 2s
}

// The stack of an error is that of the call that created the innermost Error.
func TestStackOfReturnsInnermostStack(t *testing.T) {
	newError := func() error { return cakind.New(cakind.KindInternal, "made") }
	wrapped := cakind.Wrap(cakind.KindUnavailable, fmt.Errorf("plain: %w", newError()), "wrapped")
	if diff := cmp.Diff("wrapped: plain: made", wrapped.Error()); diff != "" {
		t.Errorf("message (-want +got):\n%s", diff)
	}
	if stack := cakind.StackOf(wrapped); !strings.Contains(stack, "TestStackOfReturnsInnermostStack.func1") {
		t.Errorf("the stack lacks the call that created the innermost Error:\n%s", stack)
	}
	outer := cakind.Wrap(cakind.KindFailed, errors.New("foreign"), "wrapped")
	if stack := cakind.StackOf(outer); !strings.Contains(stack, "TestStackOfReturnsInnermostStack") {
		t.Errorf("the stack lacks the call that wrapped the foreign error:\n%s", stack)
	}
	for _, err := range []error{errors.New("plain"), cakind.New(cakind.KindOverloaded, "refused")} {
		if diff := cmp.Diff("", cakind.StackOf(err)); diff != "" {
			t.Errorf("stack of %v (-want +got):\n%s", err, diff)
		}
	}
}

// An error with a time to wait is retryable, even when its kind is not.
func TestBodyOfRetryAfter(t *testing.T) {
	tests := []struct {
		err  error
		want cakind.ErrorBody
	}{
		{cakind.New(cakind.KindOverloaded, "full").WithRetryAfter(2 * time.Second), cakind.ErrorBody{
			Kind: cakind.KindOverloaded, Retryable: true, Message: "full", RetryAfterMS: 2000,
		}},
		{cakind.New(cakind.KindDraining, "stops"), cakind.ErrorBody{
			Kind: cakind.KindDraining, Retryable: true, Message: "stops", RetryAfterMS: 200,
		}},
		{cakind.New(cakind.KindUnknown, "late").WithRetryAfter(time.Microsecond), cakind.ErrorBody{
			Kind: cakind.KindUnknown, Execution: cakind.ExecutionUnknown, Retryable: true, Message: "late", RetryAfterMS: 1,
		}},
		{cakind.New(cakind.KindUnknown, "late"), cakind.ErrorBody{
			Kind: cakind.KindUnknown, Execution: cakind.ExecutionUnknown, Message: "late",
		}},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, cakind.BodyOf(tt.err)); diff != "" {
			t.Errorf("body (-want +got):\n%s", diff)
		}
	}
}

func BenchmarkError(b *testing.B) {
	for b.Loop() {
		_ = cakind.New(cakind.KindOverloaded, "overloaded").Error()
	}
}

func TestOfPlainErrorIsInternal(t *testing.T) {
	if diff := cmp.Diff(cakind.KindInternal, cakind.Of(errors.New("plain"))); diff != "" {
		t.Errorf("Of(plain) mismatch (-want +got):\n%s", diff)
	}
}
