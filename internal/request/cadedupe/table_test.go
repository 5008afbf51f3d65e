package cadedupe_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
)

var start = time.Unix(1000, 0)

func claimAndSettle(t *testing.T, table *cadedupe.Table, name string, body []byte) {
	t.Helper()
	claim := cadedupe.Record{Key: key(name), Claim: cadedupe.ClaimID(name)}
	if _, err := table.Claim(start, claim); err != nil {
		t.Fatal(err)
	}
	_, err := table.Update(start, claim.Key, claim.Claim, func(r cadedupe.Record) cadedupe.Record {
		return r.WithOutcome(cawork.OutcomeDone, cadedupe.StoredAnswer{Body: body})
	})
	if err != nil {
		t.Fatal(err)
	}
}

// The oldest bodies are dropped first; their outcomes stay.
func TestTableDropsOldestBodies(t *testing.T) {
	bounds := cadedupe.DefaultBounds()
	bounds.MaxBodyBytes = 250
	table := cadedupe.NewTable(bounds)
	for _, name := range []string{"a", "b", "c"} {
		claimAndSettle(t, table, name, make([]byte, 100))
	}
	var dropped []bool
	for _, name := range []string{"a", "b", "c"} {
		r, ok := table.Get(start, key(name))
		if !ok || r.Outcome != cawork.OutcomeDone {
			t.Errorf("outcome of %s: %s", name, r.Outcome)
		}
		dropped = append(dropped, r.Answer.Dropped)
	}
	if diff := cmp.Diff([]bool{true, false, false}, dropped); diff != "" {
		t.Errorf("dropped (-want +got):\n%s", diff)
	}
}

// A full table refuses new keys and evicts none.
func TestFullTableRefusesNewKeys(t *testing.T) {
	bounds := cadedupe.DefaultBounds()
	bounds.MaxRecords = 2
	table := cadedupe.NewTable(bounds)
	claimAndSettle(t, table, "a", nil)
	claimAndSettle(t, table, "b", nil)
	_, err := table.Claim(start, cadedupe.Record{Key: key("c"), Claim: "c"})
	if diff := cmp.Diff(cakind.KindOverloaded, cakind.Of(err)); diff != "" {
		t.Errorf("kind of error of a full table (-want +got):\n%s", diff)
	}
	table.Expire(start.Add(bounds.Retention))
	if _, err := table.Claim(start, cadedupe.Record{Key: key("c"), Claim: "c"}); err != nil {
		t.Errorf("claim after the retention: %v", err)
	}
}

// A record that stays unsettled for too long is settled as unknown.
func TestTableSettlesExpiredRequests(t *testing.T) {
	bounds := cadedupe.DefaultBounds()
	table := cadedupe.NewTable(bounds)
	if _, err := table.Claim(start, cadedupe.Record{Key: key("a"), Claim: "a"}); err != nil {
		t.Fatal(err)
	}
	table.Expire(start.Add(bounds.UnsettledTimeout))
	r, _ := table.Get(start, key("a"))
	if diff := cmp.Diff(cawork.OutcomeUnknown, r.Outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}
