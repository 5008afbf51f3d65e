package caevent_test

import (
	"strings"
	"testing"
	"unicode/utf8"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// TestClippedTextFitsALine guards against log lines that quote megabytes, or half a character.
func TestClippedTextFitsALine(t *testing.T) {
	for _, text := range []string{"", "short", strings.Repeat("x", 1<<20), strings.Repeat("\u00e5", 1<<10), "x" + strings.Repeat("\u00e5", 1<<10)} {
		got := caevent.Clip(text)
		if len(got) > 300 || !utf8.ValidString(got) || !strings.HasPrefix(text, strings.TrimSuffix(got, "...")) {
			t.Errorf("%d bytes are clipped to %q", len(text), got)
		}
	}
}
