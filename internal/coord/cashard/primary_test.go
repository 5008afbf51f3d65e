package cashard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRecreatedBackupResetsAckedIndex guards against records that take effect
// without a copy at the backup. A backup dropped its replica and restored a
// snapshot of fewer records than it held before, while the primary still counted
// the former records as acknowledged.
func TestRecreatedBackupResetsAckedIndex(t *testing.T) {
	view := View{Shard: "s", Number: 2, Primary: Member{VM: "p"}, Backup: Member{VM: "b"}, Witness: "w"}
	now := time.Unix(100, 0)
	p := newPrimary(view.Primary, "z", DefaultConfig(), view, fixedMachine(""), 80)
	for range 20 {
		p.log.add([]byte("r"))
	}
	q := p.peer(view.Backup)
	q.acked, q.hasReplica = 100, false
	req := ReplicateRequest{To: view.Backup, View: view}
	p.onReply(now, now, req, ReplicateReply{Status: ReplyOK, Adopted: 2, Last: 88}, nil, &effects{})
	if diff := cmp.Diff([]int64{88, 88}, []int64{q.acked, p.commitIndex}); diff != "" {
		t.Errorf("acknowledged index and commit index (-want +got):\n%s", diff)
	}
}

// TestLeaseEndsBeforeTheBackupMayTakeOver compares the lease of the primary with
// the timeout of the backup while their clocks drift apart as far as allowed.
func TestLeaseEndsBeforeTheBackupMayTakeOver(t *testing.T) {
	cfg := DefaultConfig()
	slow, fast := 1-cfg.Drift, 1+cfg.Drift
	primaryStops := time.Duration(float64(cfg.primaryLease()) / slow)
	backupStarts := time.Duration(float64(cfg.backupSilence()) / fast)
	if diff := cmp.Diff(true, primaryStops <= backupStarts); diff != "" {
		t.Errorf("primary stops after %v, backup starts after %v", primaryStops, backupStarts)
	}
}

// TestReleaseIsNotResentOnEveryReply guards against a loop of messages: a primary
// that waited for the register of the former witness sent the release to the old
// backup again upon each reply to it.
func TestReleaseIsNotResentOnEveryReply(t *testing.T) {
	old := View{Shard: "s", Number: 2, Primary: Member{VM: "p"}, Backup: Member{VM: "b"}, Witness: "lost"}
	next := old.WithNumber(3).WithBackup(Member{VM: "c"}).WithWitness("w")
	now := time.Unix(100, 0)
	p := newPrimary(old.Primary, "z", DefaultConfig(), old, fixedMachine(""), 0)
	p.log.add([]byte("r"))
	p.possibleViews = []View{old, next}
	p.change = &change{view: next, stage: stageRegister, startedAt: now}
	p.peer(old.Backup).lastSent = now
	var out effects
	p.onReply(now, now, ReplicateRequest{To: old.Backup, View: next, Release: true}, ReplicateReply{Status: ReplyOK}, nil, &out)
	for _, c := range out.calls {
		if c.request.To == old.Backup {
			t.Errorf("release is sent again before a heartbeat is due: %+v", c.request)
		}
	}
}
