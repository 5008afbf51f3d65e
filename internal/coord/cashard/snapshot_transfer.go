package cashard

import "celeryarch.example/celeryarch/internal/base/cakind"

// outgoingSnapshot is a snapshot that is being sent to one peer in chunks.
type outgoingSnapshot struct {
	view  int64
	index int64
	state []byte
}

// chunk returns at most limit bytes of the snapshot, starting at the offset.
func (s *outgoingSnapshot) chunk(offset int64, limit int) *SnapshotChunk {
	total := int64(len(s.state))
	end := min(offset+int64(limit), total)
	return &SnapshotChunk{Index: s.index, Offset: offset, Total: total, State: s.state[offset:end]}
}

// nextChunk returns the next chunk of the snapshot for the peer. It takes a new
// snapshot if there is none, if the view has changed, if the log no longer holds
// the records after the snapshot, or if the peer reports more bytes than the
// snapshot has.
func (p *primary) nextChunk(q *peer, view View) (*SnapshotChunk, error) {
	_, retained := p.log.after(q.snapshotIndex(), 0)
	if q.snapshot == nil || q.snapshot.view != view.Number || !retained || q.receivedBytes > int64(len(q.snapshot.state)) {
		state, err := p.machine.Snapshot()
		if err != nil {
			return nil, err
		}
		q.snapshot = &outgoingSnapshot{view: view.Number, index: p.commitIndex, state: state}
		q.receivedBytes = 0
	}
	return q.snapshot.chunk(q.receivedBytes, p.cfg.ChunkBytes), nil
}

func (q *peer) snapshotIndex() int64 {
	if q.snapshot == nil {
		return -1
	}
	return q.snapshot.index
}

// incomingSnapshot collects the chunks of a snapshot on the receiver.
type incomingSnapshot struct {
	primary Member
	index   int64
	total   int64
	state   []byte
}

// addChunk adds a chunk and returns the whole snapshot once it is complete, and
// nil before. A chunk that does not continue the collected bytes is ignored; the
// reply then gives the offset to resume from.
func (r *replica) addChunk(req ReplicateRequest) (*SnapshotChunk, error) {
	c := req.Snapshot
	if c.isWhole() {
		return c, nil
	}
	if c.Offset < 0 || c.Total < 0 || c.Offset+int64(len(c.State)) > c.Total {
		return nil, cakind.New(cakind.KindInvalid, "snapshot chunk of %d bytes at offset %d does not fit a total of %d bytes",
			len(c.State), c.Offset, c.Total)
	}
	a := r.incoming
	if a == nil || a.primary != req.View.Primary || a.index != c.Index || a.total != c.Total {
		a = &incomingSnapshot{primary: req.View.Primary, index: c.Index, total: c.Total}
		r.incoming = a
	}
	if c.Offset == int64(len(a.state)) {
		a.state = append(a.state, c.State...)
	}
	if int64(len(a.state)) < a.total {
		return nil, nil
	}
	r.incoming = nil
	return &SnapshotChunk{Index: a.index, Total: a.total, State: a.state}, nil
}
