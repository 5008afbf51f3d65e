package caterms_test

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/caterms"
)

func policy(version int64, names ...caspec.QueueName) caspec.Policy {
	p := caspec.Policy{Version: version, Teams: []caspec.Team{{Name: "north", Weight: 2, Keys: []string{"secret"}}}}
	for _, name := range names {
		p.Queues = append(p.Queues, caspec.Queue{
			Name: name, Host: "host", Prefix: "/", Pool: "pool", MaxAttempts: 3, Timeout: time.Second, Approval: &caspec.Approval{Validity: time.Second},
		})
	}
	return p.WithIndex()
}

func take(t *testing.T, terms *caterms.Terms) []caterms.Record {
	t.Helper()
	records, err := terms.TakeChanges()
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// TestRecordsStayReadable guards against a definition that a later build cannot read: the bytes are those that builds
// have stored.
func TestRecordsStayReadable(t *testing.T) {
	const stored = "a2010502a6016571756575650260036004" + "64706f6f6c06030ba1031a3b9aca00"
	terms := caterms.New()
	terms.Apply(policy(5, "queue"))
	terms.Need("queue", "")
	records := take(t, terms)
	if len(records) != 1 {
		t.Fatalf("%d records, want 1", len(records))
	}
	if diff := cmp.Diff(stored, hex.EncodeToString(records[0].Value)); diff != "" {
		t.Errorf("record (-want +got):\n%s", diff)
	}
	restored := caterms.New()
	if err := restored.Restore(records[0]); err != nil {
		t.Fatal(err)
	}
	want, _ := terms.Queue("queue")
	got, _ := restored.Queue("queue")
	if diff := cmp.Diff(want, got); diff != "" || restored.QueueVersion("queue") != 5 || restored.IsListed("queue") {
		t.Errorf("restored queue of version %d (-want +got):\n%s", restored.QueueVersion("queue"), diff)
	}
}

// TestUnreadableRecordsAreRejected guards against a definition that is taken for that of another name.
func TestUnreadableRecordsAreRejected(t *testing.T) {
	terms := caterms.New()
	terms.Apply(policy(5, "queue"))
	terms.Need("queue", "north")
	records := take(t, terms)
	for name, r := range map[string]caterms.Record{
		"no CBOR":            {Key: records[0].Key, Value: []byte("{")},
		"nothing defined":    {Key: records[0].Key, Value: []byte{0xa0}},
		"of another queue":   {Key: records[0].Key[:len(records[0].Key)-1] + "?", Value: records[0].Value},
		"a team for a queue": {Key: records[0].Key, Value: records[1].Value},
	} {
		if caterms.New().Restore(r) == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestUnchangedDefinitionsAreNotStoredAgain guards against records with each version: hundreds a day change only how
// callers are served.
func TestUnchangedDefinitionsAreNotStoredAgain(t *testing.T) {
	terms := caterms.New()
	terms.Apply(policy(1, "queue", "other"))
	terms.Need("queue", "north")
	if diff := cmp.Diff(2, len(take(t, terms))); diff != "" {
		t.Errorf("records of the first job (-want +got):\n%s", diff)
	}
	before, _ := terms.Queue("queue")
	for version := range int64(100) {
		p := policy(2+version, "queue", "other")
		p.Queues[0].Timeout, p.Teams[0].Keys = time.Duration(version), nil
		terms.Apply(p)
		terms.Need("queue", "north")
	}
	after, _ := terms.Queue("queue")
	if terms.HasChanges() || before != after {
		t.Errorf("changes %v, new definition %v, want none after versions that change no terms of jobs", terms.HasChanges(), before != after)
	}
}

// TestDefinitionsAreBounded guards against state that grows with each queue that ever had a job.
func TestDefinitionsAreBounded(t *testing.T) {
	terms := caterms.New()
	stored := make(map[string]bool)
	for i := range 300 {
		name := caspec.QueueName(fmt.Sprintf("%s-%d", strings.Repeat("long", 100), i))
		terms.Apply(policy(int64(1+i), name))
		terms.Need(name, "north")
		terms.Prune(func(q caspec.QueueName) bool { return q == name }, func(cawork.TeamName) bool { return true })
		for _, r := range take(t, terms) {
			delete(stored, r.Key)
			if len(r.Value) > 0 {
				stored[r.Key] = true
			}
		}
		if len(stored) > 3 {
			t.Fatalf("%d definitions are stored after %d queues, want that of the last queue and its team, and the queue before", len(stored), i+1)
		}
	}
	for key := range stored {
		if len(key) > 64 {
			t.Errorf("key of %d bytes", len(key))
		}
	}
}
