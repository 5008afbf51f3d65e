package cashard_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
)

// runScenario runs a scenario with real parts and without drivers.
func runScenario(t *testing.T, nodes, hosts int, scenario func(ctx context.Context, t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 7)
		w.noDrivers = true
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			for _, n := range w.nodes {
				n.resume()
				<-n.part.Done()
			}
			time.Sleep(10 * time.Second)
		}()
		w.startNodes(ctx, nodes, hosts)
		time.Sleep(3 * time.Second)
		scenario(ctx, t, w)
	})
}

// leaders returns the live nodes that may act for the shard.
func (w *world) leaders(s cawork.ShardID) []string {
	var out []string
	for _, n := range w.nodes {
		if _, ok := n.part.MayAct(s); ok && !n.isDead() {
			out = append(out, n.name())
		}
	}
	return out
}

// view returns the view of the shard at the node.
func (n *node) view(s cawork.ShardID) cashard.View {
	for _, status := range n.part.Statuses() {
		if status.Shard == s {
			return status.View
		}
	}
	return cashard.View{}
}

func (n *node) accept(ctx context.Context, s cawork.ShardID, id cawork.JobID) error {
	job := cawork.Job{ID: id, Team: team, Spec: cawork.JobSpec{Kind: cawork.WorkKindBatch, Tasks: 1}}
	return n.append(ctx, s, cajob.Record{Type: cajob.RecordJobAccepted, JobAccepted: &cajob.JobAccepted{Job: job}})
}

// TestBackupAndWitnessAreNotReplacedTogether covers a primary that loses its backup
// and its witness at once. It used to register a view with another backup at
// another witness, while the old backup could still take over at the old witness.
// The shard then had two primaries.
func TestBackupAndWitnessAreNotReplacedTogether(t *testing.T) {
	runScenario(t, 4, 3, func(_ context.Context, t *testing.T, w *world) {
		old := w.nodes[0].view("s-e0-0")
		backup, witness := string(old.Backup.VM), string(old.Witness)
		w.cutLinks(link{"e0", backup}, link{backup, "e0"}, link{"e0", witness}, link{witness, "e0"})
		time.Sleep(6 * time.Second)
		w.nodes[0].kill()
		time.Sleep(20 * time.Second)
		if diff := cmp.Diff([]string{backup}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders (-want +got):\n%s", diff)
		}
	})
}

func TestPrimaryActsWithoutWitness(t *testing.T) {
	runScenario(t, 3, 3, func(ctx context.Context, t *testing.T, w *world) {
		old := w.nodes[0].view("s-e0-0")
		w.host(old.Witness).stopAnswering()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if diff := cmp.Diff([]string{"e0"}, w.leaders("s-e0-0")); diff != "" {
				t.Fatalf("leaders (-want +got):\n%s", diff)
			}
		}
		if err := w.nodes[0].accept(ctx, "s-e0-0", "j"); err != nil {
			t.Error(err)
		}
		if w.nodes[0].view("s-e0-0").Witness == old.Witness {
			t.Error("the witness was not replaced")
		}
		w.nodes[0].kill()
		time.Sleep(10 * time.Second)
		if diff := cmp.Diff([]string{string(old.Backup.VM)}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders after the loss of the primary (-want +got):\n%s", diff)
		}
	})
}

func TestUnlistedBackupIsReplacedWithoutGap(t *testing.T) {
	runScenario(t, 3, 3, func(_ context.Context, t *testing.T, w *world) {
		w.nodes[0].part.SetCandidates([]cashard.Candidate{{Member: w.nodes[2].member, Zone: "z"}})
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if diff := cmp.Diff([]string{"e0"}, w.leaders("s-e0-0")); diff != "" {
				t.Fatalf("leaders (-want +got):\n%s", diff)
			}
		}
		if diff := cmp.Diff(w.nodes[2].member, w.nodes[0].view("s-e0-0").Backup); diff != "" {
			t.Errorf("backup (-want +got):\n%s", diff)
		}
	})
}

func TestUnlistedWitnessIsReplacedWithoutGap(t *testing.T) {
	runScenario(t, 3, 3, func(_ context.Context, t *testing.T, w *world) {
		w.nodes[0].part.SetWitnesses([]cawork.UpstreamID{"u2"})
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if diff := cmp.Diff([]string{"e0"}, w.leaders("s-e0-0")); diff != "" {
				t.Fatalf("leaders (-want +got):\n%s", diff)
			}
		}
		if diff := cmp.Diff(cawork.UpstreamID("u2"), w.nodes[0].view("s-e0-0").Witness); diff != "" {
			t.Errorf("witness (-want +got):\n%s", diff)
		}
	})
}

func TestYieldDoesNotWaitForLease(t *testing.T) {
	runScenario(t, 3, 3, func(ctx context.Context, t *testing.T, w *world) {
		if err := w.nodes[0].accept(ctx, "s-e0-0", "j"); err != nil {
			t.Fatal(err)
		}
		backup := w.nodes[0].view("s-e0-0").Backup
		w.nodes[0].part.Yield("s-e0-0")
		if diff := cmp.Diff(cakind.KindDraining, cakind.Of(w.nodes[0].accept(ctx, "s-e0-0", "late"))); diff != "" {
			t.Errorf("kind while yielding (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{string(backup.VM)}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders (-want +got):\n%s", diff)
		}
		if !w.holdsJob("j") {
			t.Error("the accepted job is lost")
		}
	})
}

// TestFormerPrimaryBacksUpAfterYield kills the new primary right after a planned
// handover. The shard used to be lost, although its former primary still had the
// whole state.
func TestFormerPrimaryBacksUpAfterYield(t *testing.T) {
	runScenario(t, 3, 3, func(ctx context.Context, t *testing.T, w *world) {
		if err := w.nodes[0].accept(ctx, "s-e0-0", "j"); err != nil {
			t.Fatal(err)
		}
		w.nodes[0].part.Yield("s-e0-0")
		for w.nodes[0].view("s-e0-0").Primary == w.nodes[0].member {
			time.Sleep(time.Millisecond)
		}
		w.nodes[1].kill()
		time.Sleep(10 * time.Second)
		if diff := cmp.Diff([]string{"e0"}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders (-want +got):\n%s", diff)
		}
		if !w.holdsJob("j") {
			t.Error("the accepted job is lost")
		}
	})
}

// TestYieldIsCanceledIfBackupIsDead covers a primary that yields to a backup that
// is dead and never takes over. The primary used to stop for good, which left the
// shard without a leader.
func TestYieldIsCanceledIfBackupIsDead(t *testing.T) {
	runScenario(t, 3, 3, func(_ context.Context, t *testing.T, w *world) {
		backup := w.nodes[0].view("s-e0-0").Backup
		for _, n := range w.nodes {
			if n.member == backup {
				n.kill()
			}
		}
		w.nodes[0].part.Yield("s-e0-0")
		time.Sleep(20 * time.Second)
		if diff := cmp.Diff(1, len(w.leaders("s-e0-0"))); diff != "" {
			t.Errorf("number of leaders (-want +got):\n%s", diff)
		}
	})
}

func TestRetiredShardHasNoReplica(t *testing.T) {
	runScenario(t, 3, 3, func(_ context.Context, t *testing.T, w *world) {
		w.nodes[0].part.Retire("s-e0-0")
		time.Sleep(20 * time.Second)
		for _, n := range w.nodes {
			if diff := cmp.Diff(cashard.View{}, n.view("s-e0-0")); diff != "" {
				t.Errorf("%s still has a replica (-want +got):\n%s", n.name(), diff)
			}
		}
	})
}

// TestBackupLeavesShardBeforeRetirementIsRegistered covers a primary that is lost
// while it retires its shard. The backup had already dropped its replica, while
// the witness still named it, so that nobody could lead or rebuild the shard.
func TestBackupLeavesShardBeforeRetirementIsRegistered(t *testing.T) {
	for delay := time.Duration(0); delay <= 2*time.Second; delay += 50 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			runScenario(t, 3, 3, func(_ context.Context, t *testing.T, w *world) {
				view := w.nodes[0].view("s-e0-0")
				w.nodes[0].part.Retire("s-e0-0")
				time.Sleep(delay)
				w.nodes[0].kill()
				time.Sleep(20 * time.Second)
				registered := w.registeredView(t, view)
				if !registered.IsSolo() && len(w.leaders("s-e0-0")) == 0 {
					t.Errorf("nobody leads the shard, and view %d names %v as its backup", registered.Number, registered.Backup)
				}
			})
		})
	}
}

// registeredView returns the view in the register of the witness of a view.
func (w *world) registeredView(t *testing.T, v cashard.View) cashard.View {
	t.Helper()
	register, err := w.host(v.Witness).readRegister(cashard.RegisterName(v.Shard))
	if err != nil {
		t.Fatalf("read the register of shard %s: %v", v.Shard, err)
	}
	registered, err := cashard.DecodeView(register.Value)
	if err != nil {
		t.Fatalf("decode the register of shard %s: %v", v.Shard, err)
	}
	return registered
}

func TestOnlyMemberReportsDegraded(t *testing.T) {
	runScenario(t, 1, 1, func(ctx context.Context, t *testing.T, w *world) {
		if err := w.nodes[0].accept(ctx, "s-e0-0", "j"); err != nil {
			t.Fatal(err)
		}
		got := w.nodes[0].part.Statuses()
		want := []cashard.Status{{
			Shard: "s-e0-0", View: cashard.View{Shard: "s-e0-0", Number: 1, Primary: w.nodes[0].member, Witness: "u0"},
			Primary: true, Since: 1, MayAct: true, Degraded: true, Index: 2, Witnesses: []cawork.UpstreamID{"u0"},
		}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("status (-want +got):\n%s", diff)
		}
	})
}

// TestPausedPrimaryMayNotAct resumes a paused primary after its backup has taken
// over. The old primary must reject records, and stop leading.
func TestPausedPrimaryMayNotAct(t *testing.T) {
	runScenario(t, 3, 3, func(ctx context.Context, t *testing.T, w *world) {
		backup := w.nodes[0].view("s-e0-0").Backup
		w.nodes[0].pause()
		time.Sleep(4 * time.Second)
		if diff := cmp.Diff([]string{string(backup.VM)}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders (-want +got):\n%s", diff)
		}
		w.nodes[0].resume()
		if diff := cmp.Diff(cakind.KindNotStarted, cakind.Of(w.nodes[0].accept(ctx, "s-e0-0", "j"))); diff != "" {
			t.Errorf("kind at the old primary (-want +got):\n%s", diff)
		}
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff([]string{string(backup.VM)}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders after the resume (-want +got):\n%s", diff)
		}
	})
}

// TestRebuildAfterLossOfBothMembers rebuilds a shard from an image of the log. The
// rebuild must fail while the backup still runs, and of two members that try
// afterwards only one may succeed.
func TestRebuildAfterLossOfBothMembers(t *testing.T) {
	runScenario(t, 4, 3, func(ctx context.Context, t *testing.T, w *world) {
		if err := w.nodes[0].accept(ctx, "s-e0-0", "j"); err != nil {
			t.Fatal(err)
		}
		view, snapshot, err := w.nodes[0].part.Snapshot("s-e0-0")
		if err != nil {
			t.Fatal(err)
		}
		image := cashard.LoggedState{View: view, Snapshot: snapshot}
		w.nodes[0].kill()
		isGone := func(m cashard.Member) bool {
			return slices.ContainsFunc(w.nodes, func(n *node) bool { return n.member == m && n.isDead() })
		}
		early := w.nodes[2].part.RebuildFromLog(ctx, image, isGone)
		w.nodes[1].kill()
		errs := []error{early}
		for _, n := range w.nodes[2:] {
			errs = append(errs, n.part.RebuildFromLog(ctx, image, isGone))
		}
		var got []cakind.Kind
		for _, err := range errs {
			if err != nil {
				got = append(got, cakind.Of(err))
			}
		}
		if diff := cmp.Diff([]cakind.Kind{cakind.KindConflict, cakind.KindConflict}, got); diff != "" {
			t.Errorf("kinds of the rejections (-want +got):\n%s", diff)
		}
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff([]string{"e2"}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders (-want +got):\n%s", diff)
		}
		if !w.holdsJob("j") {
			t.Error("the accepted job is lost")
		}
	})
}
