package caguard_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caguard"
	"celeryarch.example/celeryarch/internal/base/cakind"
)

func TestDoReturnsPanicAsError(t *testing.T) {
	var lines bytes.Buffer
	err := caguard.Do(zerolog.New(&lines), "renewal", func() error {
		var none []int
		_ = none[len(none)]
		return nil
	})
	if diff := cmp.Diff(cakind.KindUnknown, cakind.Of(err)); diff != "" {
		t.Errorf("kind of %v (-want +got):\n%s", err, diff)
	}
	if !strings.Contains(lines.String(), "guard_test.go") {
		t.Errorf("the log line lacks the stack: %s", lines.String())
	}
}

func TestDoReturnsErrorUnchanged(t *testing.T) {
	want := errors.New("unchanged")
	if got := caguard.Do(zerolog.Nop(), "call", func() error { return want }); got != want {
		t.Errorf("error %v, want %v", got, want)
	}
}
