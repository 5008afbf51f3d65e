package cakind_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, k := range cakind.KindValues() {
		if cakind.AnswerTo(k).Status == 0 {
			t.Errorf("kind %v has no answer", k)
		}
		if k != cakind.KindInternal && cakind.AnswerTo(k) == cakind.AnswerTo(cakind.KindInternal) {
			t.Errorf("kind %v falls back to the internal answer", k)
		}
	}
}

func TestRetryableKindsDidNotRun(t *testing.T) {
	for _, k := range cakind.KindValues() {
		a := cakind.AnswerTo(k)
		if a.Retryable && a.Execution != cakind.ExecutionNotRun {
			t.Errorf("kind %v is retryable but its execution is %v", k, a.Execution)
		}
	}
}

func ExampleOf() {
	cause := errors.New("queue of team north is full")
	err := cakind.Wrap(cakind.KindOverloaded, cause, "refused").WithRetryAfter(2 * time.Second)
	wrapped := fmt.Errorf("submit: %w", err)
	fmt.Println(cakind.Of(wrapped), cakind.AnswerTo(cakind.Of(wrapped)).Status, cakind.RetryAfterOf(wrapped))
	// Output: overloaded 429 2s
}

func TestOfPlainErrorIsInternal(t *testing.T) {
	if diff := cmp.Diff(cakind.KindInternal, cakind.Of(errors.New("plain"))); diff != "" {
		t.Errorf("Of(plain) mismatch (-want +got):\n%s", diff)
	}
}
