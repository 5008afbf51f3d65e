package cashard

import "celeryarch.example/celeryarch/internal/base/cakind"

// outgoingSnapshot is a snapshot on its way to one peer.
type outgoingSnapshot struct {
	view  int64
	index int64
	state []byte
}

// chunk returns the part of the image from the offset on.
func (i *outgoingSnapshot) chunk(offset int64, limit int) *SnapshotChunk {
	total := int64(len(i.state))
	end := min(offset+int64(limit), total)
	return &SnapshotChunk{Index: i.index, Offset: offset, Total: total, State: i.state[offset:end]}
}

// nextChunk returns the next part of a snapshot for the peer, of a fresh one
// if the former no longer serves.
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

// incomingSnapshot collects the chunks of a snapshot at a receiver.
type incomingSnapshot struct {
	primary Member
	index   int64
	total   int64
	state   []byte
}

// addChunk adds a chunk and returns the whole snapshot once it is complete. A
// chunk that does not fit is ignored; the reply then tells where to go on.
func (r *replica) addChunk(req ReplicateRequest) (*SnapshotChunk, error) {
	c := req.Snapshot
	if c.isWhole() {
		return c, nil
	}
	if c.Offset < 0 || c.Total < 0 || c.Offset+int64(len(c.State)) > c.Total {
		return nil, cakind.New(cakind.KindInvalid, "chunk of %d bytes at %d of %d", len(c.State), c.Offset, c.Total)
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
