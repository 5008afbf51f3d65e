package caadmission

import (
	"fmt"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// TestRefusalHistoryIsBounded checks that old refusals are dropped, and that the number
// of remembered ones stays bounded.
func TestRefusalHistoryIsBounded(t *testing.T) {
	r := NewRefusalHistory()
	now := time.Unix(1000, 0)
	for i := range maxRefusals + 100 {
		r.Add(cawork.JobID(fmt.Sprint(i)), now)
	}
	if len(r.firstRefusedAt) > maxRefusals || len(r.order) > maxRefusals {
		t.Errorf("%d refusals are remembered, want at most %d", len(r.firstRefusedAt), maxRefusals)
	}
	r.Add("late", now.Add(refusalRetention+time.Second))
	if len(r.firstRefusedAt) != 1 || r.Waited("late", now.Add(refusalRetention+3*time.Second)) != 2*time.Second {
		t.Errorf("%d refusals are remembered after %v, want the last one", len(r.firstRefusedAt), refusalRetention)
	}
}
