package cashard

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// TestSnapshotTransferInChunks delivers chunks of a snapshot repeatedly, out of
// order and after a chunk of an older snapshot. The receiver must ignore the
// chunks that do not continue what it has.
func TestSnapshotTransferInChunks(t *testing.T) {
	p := &primary{self: Member{VM: "p"}, cfg: DefaultConfig(), machine: fixedMachine("0123456789"), commitIndex: 7, log: recordLog{base: 7}}
	p.cfg.ChunkBytes = 4
	view := View{Shard: "s", Number: 2, Primary: p.self}
	q := &peer{}
	chunk := func(received int64) *SnapshotChunk {
		q.receivedBytes = received
		c, err := p.nextChunk(q, view)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	r := &replica{}
	var got []string
	stale := &SnapshotChunk{Index: 3, Total: 5, State: []byte("ol")}
	for _, c := range []*SnapshotChunk{stale, chunk(0), chunk(0), chunk(8), chunk(4), chunk(8)} {
		whole, err := r.addChunk(ReplicateRequest{View: view, Snapshot: c})
		switch {
		case err != nil:
			t.Fatal(err)
		case whole != nil:
			got = append(got, string(whole.State))
		default:
			got = append(got, string(r.incoming.state))
		}
	}
	want := []string{"ol", "0123", "0123", "0123", "01234567", "0123456789"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("received (-want +got):\n%s", diff)
	}
	_, err := r.addChunk(ReplicateRequest{View: view, Snapshot: &SnapshotChunk{Offset: 3, Total: 4, State: []byte("ab")}})
	if diff := cmp.Diff(cakind.KindInvalid, cakind.Of(err)); diff != "" {
		t.Errorf("kind of a chunk beyond the end (-want +got):\n%s", diff)
	}
}

// fixedMachine is a state machine whose snapshot is always its own text.
type fixedMachine string

func (fixedMachine) Apply([]byte) error          { return nil }
func (s fixedMachine) Snapshot() ([]byte, error) { return []byte(s), nil }
func (fixedMachine) Restore([]byte) error        { return nil }
