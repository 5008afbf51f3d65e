package cafollow

import (
	"testing"

	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// FuzzPage checks that no payload causes a panic, and that a state that has read
// the payload is as of at most the next offset or waits for a snapshot.
func FuzzPage(f *testing.F) {
	f.Add(change("a", 0).encode(), int64(0))
	f.Add(record{Reset: &Reset{ID: "r"}}.encode(), int64(5))
	f.Add(snapshotRecord(Snapshot{Version: 1, AsOf: 3, Hash: DigestOf(nil)}).encode(), int64(3))
	f.Add([]byte{0xa1}, int64(0))
	f.Fuzz(func(t *testing.T, payload []byte, offset int64) {
		if offset < 0 || offset > 1<<40 {
			return
		}
		o := caplatform.Offset(offset)
		page := caplatform.Page{Records: []caplatform.Record{{Offset: o, Payload: payload}}, Earliest: o, Next: o + 1}
		s, _, _ := NewState().WithPage(page)
		if !s.Gap() && s.Snapshot().AsOf > o+1 {
			t.Fatalf("as of %d after the record at %d", s.Snapshot().AsOf, o)
		}
		if !s.Snapshot().Intact() || s.Version() > Version(s.Snapshot().AsOf) {
			t.Fatalf("state %+v", s.Snapshot())
		}
	})
}
