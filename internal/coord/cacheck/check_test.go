package cacheck_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/coord/cacheck"
)

func TestAssertRecordsViolations(t *testing.T) {
	c := cacheck.New(zerolog.Nop(), tally.NoopScope)
	c.Assert(true, cacheck.RuleOneCall, "holds")
	c.Assert(false, cacheck.RuleEpochGrows, "epoch %d after %d", 3, 4)
	want := []cacheck.Violation{{Rule: cacheck.RuleEpochGrows, Detail: "epoch 3 after 4"}}
	if diff := cmp.Diff(want, c.Violations()); diff != "" {
		t.Errorf("violations mismatch (-want +got):\n%s", diff)
	}
}
