package catask_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/catask"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

func status(a cawork.AttemptID, s cawork.ShardID, state cawork.TaskState) caplatform.TaskStatus {
	return caplatform.TaskStatus{Attempt: a, Shard: s, State: state}
}

func attemptIDs(c catask.Changes) []cawork.AttemptID {
	var ids []cawork.AttemptID
	for _, o := range c.Observations {
		ids = append(ids, o.Status.Attempt)
	}
	return ids
}

func TestSinceReturnsEachChangeOnce(t *testing.T) {
	table := catask.NewTable(1)
	table.AddUpstream("u1", []caplatform.TaskStatus{status("a", "s1", cawork.TaskStateRunning), status("b", "s2", cawork.TaskStateRunning)})
	first := table.ChangesSince("s1", catask.Cursor{})
	if diff := cmp.Diff([]cawork.AttemptID{"a"}, attemptIDs(first)); diff != "" {
		t.Errorf("first changes mismatch (-want +got):\n%s", diff)
	}
	table.Update("u1", []caplatform.TaskStatus{status("a", "s1", cawork.TaskStateDone)})
	second := table.ChangesSince("s1", first.Cursor)
	if diff := cmp.Diff([]cawork.AttemptID{"a"}, attemptIDs(second)); diff != "" {
		t.Errorf("second changes mismatch (-want +got):\n%s", diff)
	}
	third := table.ChangesSince("s1", second.Cursor)
	if diff := cmp.Diff([]cawork.AttemptID(nil), attemptIDs(third)); diff != "" {
		t.Errorf("third changes mismatch (-want +got):\n%s", diff)
	}
	if _, ok := table.FindAttempt("u1", "a"); ok {
		t.Error("an ended attempt that the primary has received was not removed")
	}
}

func TestCursorOfEarlierGenerationReturnsAllChanges(t *testing.T) {
	table := catask.NewTable(2)
	table.AddUpstream("u1", []caplatform.TaskStatus{status("a", "s1", cawork.TaskStateRunning)})
	changes := table.ChangesSince("s1", catask.Cursor{Generation: 1, Sequence: 99})
	if diff := cmp.Diff([]cawork.AttemptID{"a"}, attemptIDs(changes)); diff != "" {
		t.Errorf("changes mismatch (-want +got):\n%s", diff)
	}
}

func TestUpdateIgnoresUnownedUpstream(t *testing.T) {
	table := catask.NewTable(1)
	table.Update("u1", []caplatform.TaskStatus{status("a", "s1", cawork.TaskStateRunning)})
	if diff := cmp.Diff([]cawork.AttemptID(nil), attemptIDs(table.ChangesSince("s1", catask.Cursor{}))); diff != "" {
		t.Errorf("changes mismatch (-want +got):\n%s", diff)
	}
}
