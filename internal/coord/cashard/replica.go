package cashard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// StateMachine is the state that results from the records of a shard. Apply must
// be deterministic: if one replica rejects a record, all replicas must reject it.
type StateMachine interface {
	Apply(record []byte) error
	Snapshot() ([]byte, error)
	Restore(state []byte) error
}

// replica is the copy of one shard on a member: a primary, a backup, or neither
// after it was dropped. It reads no clock and does no I/O: the time is passed in,
// and the I/O is requested by effects.
type replica struct {
	shard      cawork.ShardID
	self       Member
	zone       cawork.ZoneName
	cfg        Config
	newMachine func(cawork.ShardID) StateMachine
	primary    *primary
	backup     *backup
	// floor is the highest number of a view that this member has left. It is kept
	// after the replica is dropped, so that a delayed message cannot create the
	// replica again.
	floor    int64
	incoming *incomingSnapshot
}

// createShard makes the member the primary of a new shard.
func (r *replica) createShard(witness cawork.UpstreamID) {
	v := View{Shard: r.shard, Number: 1, Primary: r.self, Witness: witness}
	r.primary = newPrimary(r.self, r.zone, r.cfg, v, r.newMachine(r.shard), 0)
}

// handle handles a request from a primary on another member.
func (r *replica) handle(now time.Time, req ReplicateRequest, out *effects) (ReplicateReply, error) {
	if r.primary != nil && r.primary.hasYieldedTo(req.View) {
		r.primary.depose(req.View, out)
		r.removeEndedPrimary(now)
	}
	if r.primary != nil && r.primary.halted && req.To == r.self && req.View.Number > r.primary.highestNumber {
		// The request shows that another member leads the shard in a later view.
		r.primary.depose(req.View, out)
		r.drop(r.primary.highestNumber)
	}
	switch {
	case req.To != r.self:
		return ReplicateReply{Status: ReplyWrongMember}, nil
	case r.primary != nil:
		return r.refuseAsPrimary(now, out), nil
	case r.backup != nil && r.backup.view.Primary != req.View.Primary:
		return r.backup.reply(ReplyBusy), nil
	case r.backup != nil && r.backup.swapPending:
		return r.backup.reply(ReplyBusy), nil
	case req.View.Number <= r.floor && !(req.Release && req.View.Number == r.floor):
		return ReplicateReply{Status: ReplyFenced, Floor: r.floor}, nil
	case req.Release:
		return r.handleRelease(req), nil
	}
	return r.handleAsBackup(now, req)
}

// handleAsBackup handles a request from the primary that this member backs up, or
// is asked to back up.
func (r *replica) handleAsBackup(now time.Time, req ReplicateRequest) (ReplicateReply, error) {
	if req.Snapshot != nil {
		snapshot, err := r.addChunk(req)
		if err != nil {
			return ReplicateReply{}, err
		}
		if snapshot == nil {
			return ReplicateReply{Status: ReplyPartial, Received: int64(len(r.incoming.state)), Floor: r.floor}, nil
		}
		req.Snapshot = snapshot
	}
	if r.backup != nil {
		return r.backup.handle(now, req)
	}
	return r.createBackup(now, req)
}

// refuseAsPrimary replies to another primary that this member leads the shard.
// One of the two is deposed, so this member reads its register at once to learn
// whether it still leads.
func (r *replica) refuseAsPrimary(now time.Time, out *effects) ReplicateReply {
	p := r.primary
	v := p.possibleViews[0]
	reg := p.registerAt(p.target().Witness)
	reg.nextRead = time.Time{}
	if !p.done && !p.halted && p.change == nil {
		p.readRegister(now, p.target().Witness, out)
	}
	return ReplicateReply{Status: ReplyDeposed, Adopted: v.Number, Floor: p.highestNumber, View: v}
}

// handleRelease drops the replica at the request of its primary.
func (r *replica) handleRelease(req ReplicateRequest) ReplicateReply {
	r.drop(req.View.Number)
	return ReplicateReply{Status: ReplyOK, Adopted: req.View.Number, Floor: r.floor}
}

// drop drops the replica and raises the floor, so that this member has left all
// views up to the number.
func (r *replica) drop(number int64) {
	r.floor = max(r.floor, number)
	if r.backup != nil {
		r.floor = max(r.floor, r.backup.view.Number)
	}
	r.backup = nil
	r.primary = nil
}

// createBackup makes the member a backup from the snapshot of the request. Without
// a snapshot it replies that the member is behind.
func (r *replica) createBackup(now time.Time, req ReplicateRequest) (ReplicateReply, error) {
	if req.Snapshot == nil {
		return ReplicateReply{Status: ReplyBehind, Floor: r.floor}, nil
	}
	b := &backup{self: r.self, cfg: r.cfg, view: req.View, machine: r.newMachine(r.shard)}
	if err := b.machine.Restore(req.Snapshot.State); err != nil {
		return ReplicateReply{}, err
	}
	b.lastIndex = req.Snapshot.Index
	reply, err := b.handle(now, req)
	if err != nil {
		return ReplicateReply{}, err
	}
	r.backup = b
	return reply, nil
}

// tick runs the timers of the primary or the backup.
func (r *replica) tick(now time.Time, out *effects) {
	switch {
	case r.primary != nil:
		r.primary.tick(now, out)
		r.removeEndedPrimary(now)
	case r.backup != nil:
		r.backup.tick(now, out)
	}
}

// removeEndedPrimary drops a primary that was deposed or has retired. A primary
// that has yielded becomes the backup of the next view, so that the shard always
// has two copies.
func (r *replica) removeEndedPrimary(now time.Time) {
	p := r.primary
	if p == nil || !p.done {
		return
	}
	v := p.deposedBy
	if !p.hasYieldedTo(v) {
		r.drop(p.highestNumber)
		return
	}
	r.drop(p.settledView.Number)
	r.backup = &backup{
		self: r.self, cfg: r.cfg, view: v, machine: p.machine, lastIndex: p.commitIndex, lastContact: now, settled: true,
	}
}

// append adds a record to the log of the primary and returns its index.
func (r *replica) append(now time.Time, record []byte, out *effects) (int64, error) {
	switch {
	case r.primary == nil:
		return 0, cakind.New(cakind.KindNotStarted, "shard %s is not led here", r.shard)
	case r.primary.draining:
		return 0, cakind.New(cakind.KindDraining, "shard %s is draining and accepts no records", r.shard)
	}
	return r.primary.append(now, record, out), nil
}

// onReply handles the reply of another member to a request of this member. It
// ignores replies to a request that an earlier primary on this member sent.
func (r *replica) onReply(now, sentAt time.Time, req ReplicateRequest, reply ReplicateReply, err error, out *effects) {
	if r.primary == nil || req.View.Primary != r.self || req.View.Number < r.primary.firstNumber {
		return
	}
	r.primary.onReply(now, sentAt, req, reply, err, out)
	r.removeEndedPrimary(now)
}

// onRegister handles the result of a read or swap of a witness register.
func (r *replica) onRegister(now time.Time, res registerResult, out *effects) {
	switch {
	case r.primary != nil:
		r.primary.onRegister(now, res, out)
		r.removeEndedPrimary(now)
	case r.backup != nil:
		r.onBackupRegister(now, res, out)
	}
}

func (r *replica) onBackupRegister(now time.Time, res registerResult, out *effects) {
	b := r.backup
	switch b.onRegister(now, res, out) {
	case backupPromoted:
		r.promote(now, out)
	case backupDropped:
		r.drop(b.view.Number)
	case backupKept:
	}
}

// promote makes the backup the primary of the takeover view that it has registered.
func (r *replica) promote(now time.Time, out *effects) {
	b := r.backup
	r.backup = nil
	r.becomePrimary(now, b.takeoverView(), b.machine, b.lastIndex, out)
}

// becomePrimary makes the member the primary of a view that it has registered.
func (r *replica) becomePrimary(now time.Time, v View, m StateMachine, last int64, out *effects) {
	p := newPrimary(r.self, r.zone, r.cfg, v, m, last)
	reg := p.registerAt(v.Witness)
	reg.maybeWritten = true
	reg.confirmed = true
	if !v.IsSolo() {
		p.peer(v.Backup).lastProgress = now
	}
	r.primary = p
	out.events = append(out.events, Event{Type: EventTakenOver, Shard: r.shard, View: v})
	p.advance(now, out)
}
