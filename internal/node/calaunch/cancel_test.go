package calaunch

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// TestCancelDuringShutdownIsUnknown covers an entry that stops while it cancels
// a job: the record may have reached the backup.
func TestCancelDuringShutdownIsUnknown(t *testing.T) {
	l := NewLauncher(Config{Self: "e1", Shard: "e1-1"})
	close(l.done)
	err := l.HandleCancel(context.Background(), CancelCall{Job: "e1-1.1x1"})
	if diff := cmp.Diff(cakind.KindUnknown, cakind.Of(err)); diff != "" {
		t.Errorf("kind mismatch (-want +got):\n%s", diff)
	}
}
