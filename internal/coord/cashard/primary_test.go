package cashard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRecreatedBackupResetsAckedIndex covers a backup that dropped its replica
// and took a snapshot of fewer records than it once held. The primary went on
// counting the former records as acknowledged, so that records could take
// effect which the backup did not hold.
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
		t.Errorf("acknowledged and in effect (-want +got):\n%s", diff)
	}
}

// TestLeaseEndsBeforeTheBackupMayTakeOver compares both sides with clocks that
// drift apart as far as is allowed.
func TestLeaseEndsBeforeTheBackupMayTakeOver(t *testing.T) {
	cfg := DefaultConfig()
	slow, fast := 1-cfg.Drift, 1+cfg.Drift
	primaryStops := time.Duration(float64(cfg.primaryLease()) / slow)
	backupStarts := time.Duration(float64(cfg.backupSilence()) / fast)
	if diff := cmp.Diff(true, primaryStops <= backupStarts); diff != "" {
		t.Errorf("primary stops after %v, backup starts after %v", primaryStops, backupStarts)
	}
}

// TestReleaseIsNotResentOnEveryReply covers a primary that has released a
// backup and waits for the register of the former witness. It sent the release
// again with each answer.
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
			t.Errorf("the release is sent again at once: %+v", c.request)
		}
	}
}
