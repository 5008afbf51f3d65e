package cashard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBackupOfUnregisteredViewIsDropped guards against a backup that stays after
// its primary died before registering the view: its VM could then not back up the
// shard for the next primary. The backup of a settled view must stay, since it
// may hold the last copy.
func TestBackupOfUnregisteredViewIsDropped(t *testing.T) {
	cfg := DefaultConfig()
	start := time.Unix(0, 0)
	silence := cfg.backupSilence()
	outcomeAfter := func(settled bool, sinceContact time.Duration) backupOutcome {
		b := &backup{
			self: Member{VM: "b"}, cfg: cfg, lastContact: start, settled: settled,
			view: View{Shard: "s", Number: 4, Primary: Member{VM: "p"}, Backup: Member{VM: "b"}, Witness: "w"},
		}
		return b.onRegister(start.Add(sinceContact), registerResult{witness: "w"}, &effects{})
	}
	got := []backupOutcome{
		outcomeAfter(false, 2*silence), outcomeAfter(false, 4*silence), outcomeAfter(true, 4*silence),
	}
	want := []backupOutcome{backupKept, backupDropped, backupKept}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// TestStaleMessagesDoNotRestoreReplica sends delayed messages of old views to a
// member that has dropped its replica. They must not create the replica again.
func TestStaleMessagesDoNotRestoreReplica(t *testing.T) {
	self, p := Member{VM: "b"}, Member{VM: "p"}
	r := &replica{shard: "s", self: self, cfg: DefaultConfig(), floor: 5}
	view := View{Shard: "s", Number: 5, Primary: p, Backup: self, Witness: "w"}
	var got []ReplyStatus
	for _, req := range []ReplicateRequest{
		{To: self, View: view, Snapshot: &SnapshotChunk{}},
		{To: self, View: view.WithNumber(4), Release: true},
		{To: Member{VM: "b", Incarnation: 1}, View: view.WithNumber(6)},
		{To: self, View: view.WithNumber(6)},
	} {
		reply, err := r.handle(time.Unix(0, 0), req, &effects{})
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, reply.Status)
	}
	want := []ReplyStatus{ReplyFenced, ReplyFenced, ReplyWrongMember, ReplyBehind}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}
