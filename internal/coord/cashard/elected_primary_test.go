package cashard_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
)

// electedNumberGap is the difference between the numbers of an elected view and of
// the view before it.
const electedNumberGap = 1000

// electedView returns a view with the node as the primary and with another witness.
func (w *world) electedView(n *node, after cashard.View) cashard.View {
	for _, h := range w.hosts {
		if h.id != after.Witness {
			return after.WithNumber(after.Number + electedNumberGap).WithPrimary(n.member).WithBackup(cashard.Member{}).WithWitness(h.id)
		}
	}
	return after
}

func (w *world) nodeOf(m cashard.Member) *node {
	for _, n := range w.nodes {
		if n.member == m {
			return n
		}
	}
	return nil
}

func noneIsLost(cawork.UpstreamID) bool { return false }

func rebuiltRecord(t *testing.T) []byte {
	t.Helper()
	record, err := cajob.Record{Type: cajob.RecordRebuilt, At: time.Now(), Rebuilt: &cajob.Rebuilt{}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// TestHaltPreventsTakeover halts a primary whose witness still answers. The backup
// must not take over, as the shard would have a second primary beside that of the
// elected view.
func TestHaltPreventsTakeover(t *testing.T) {
	runScenario(t, 2, 3, func(ctx context.Context, t *testing.T, w *world) {
		n := w.nodes[0]
		next := w.electedView(n, n.view("s-e0-0"))
		if err := n.part.HaltPrimary(ctx, next, noneIsLost); err != nil {
			t.Fatalf("Halt: %v", err)
		}
		if diff := cmp.Diff([]string(nil), w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders after the halt (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(cakind.KindNotStarted, cakind.Of(n.accept(ctx, "s-e0-0", "late"))); diff != "" {
			t.Errorf("kind of a record after the halt (-want +got):\n%s", diff)
		}
		time.Sleep(10 * time.Second)
		if diff := cmp.Diff([]string(nil), w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders after the timeout of the backup (-want +got):\n%s", diff)
		}
		if err := n.part.StartElectedPrimary(ctx, next, cashard.LoggedState{}, rebuiltRecord(t)); err != nil {
			t.Fatalf("Succeed: %v", err)
		}
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff([]string{"e0"}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders after the start of the elected primary (-want +got):\n%s", diff)
		}
	})
}

// TestHaltAfterTakeoverIsRejected halts a primary that was paused while its backup
// took over. The halt must fail and leave the new primary in place.
func TestHaltAfterTakeoverIsRejected(t *testing.T) {
	runScenario(t, 2, 3, func(ctx context.Context, t *testing.T, w *world) {
		n := w.nodes[0]
		before := n.view("s-e0-0")
		n.pause()
		time.Sleep(4 * time.Second)
		halted := make(chan error)
		go func() { halted <- n.part.HaltPrimary(ctx, w.electedView(n, before), noneIsLost) }()
		time.Sleep(time.Second)
		n.resume()
		if diff := cmp.Diff(cakind.KindConflict, cakind.Of(<-halted)); diff != "" {
			t.Errorf("kind of the halt (-want +got):\n%s", diff)
		}
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff([]string{string(before.Backup.VM)}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders (-want +got):\n%s", diff)
		}
	})
}

// TestElectedPrimaryKeepsNewerState covers the loss of the witness and the primary.
// The elected backup must use its replica, which is newer than the image of the
// log. Otherwise an accepted job is lost.
func TestElectedPrimaryKeepsNewerState(t *testing.T) {
	runScenario(t, 3, 3, func(ctx context.Context, t *testing.T, w *world) {
		view, snapshot, err := w.nodes[0].part.Snapshot("s-e0-0")
		if err != nil {
			t.Fatal(err)
		}
		if err := w.nodes[0].accept(ctx, "s-e0-0", "j"); err != nil {
			t.Fatal(err)
		}
		w.host(view.Witness).stopAnswering()
		w.nodes[0].kill()
		time.Sleep(10 * time.Second)
		if diff := cmp.Diff([]string(nil), w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders without the witness (-want +got):\n%s", diff)
		}
		backup := w.nodeOf(view.Backup)
		next := w.electedView(backup, view)
		image := cashard.LoggedState{View: view, Snapshot: snapshot}
		if err := backup.part.StartElectedPrimary(ctx, next, image, rebuiltRecord(t)); err != nil {
			t.Fatalf("Succeed: %v", err)
		}
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff([]string{backup.name()}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders (-want +got):\n%s", diff)
		}
		if !w.holdsJob("j") {
			t.Error("the accepted job is lost")
		}
	})
}

// TestLaterElectedViewWinsAtSharedWitness lets two members start as the primary in
// views of different elections with the same new witness. Only the later view may
// stay in force.
func TestLaterElectedViewWinsAtSharedWitness(t *testing.T) {
	runScenario(t, 3, 3, func(ctx context.Context, t *testing.T, w *world) {
		view, snapshot, err := w.nodes[0].part.Snapshot("s-e0-0")
		if err != nil {
			t.Fatal(err)
		}
		w.host(view.Witness).stopAnswering()
		w.nodes[0].kill()
		time.Sleep(10 * time.Second)
		image := cashard.LoggedState{View: view, Snapshot: snapshot}
		earlier := w.electedView(w.nodes[1], view)
		later := w.electedView(w.nodes[2], view).WithNumber(earlier.Number + electedNumberGap)
		if err := w.nodes[2].part.StartElectedPrimary(ctx, later, image, rebuiltRecord(t)); err != nil {
			t.Fatalf("Succeed: %v", err)
		}
		late := w.nodes[1].part.StartElectedPrimary(ctx, earlier, image, rebuiltRecord(t))
		if diff := cmp.Diff(cakind.KindConflict, cakind.Of(late)); diff != "" {
			t.Errorf("kind of the earlier view (-want +got):\n%s", diff)
		}
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff([]string{"e2"}, w.leaders("s-e0-0")); diff != "" {
			t.Errorf("leaders (-want +got):\n%s", diff)
		}
	})
}
