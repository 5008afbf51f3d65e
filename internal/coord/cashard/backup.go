package cashard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// backup is a replica that follows a primary. It applies records as they
// come, since a takeover keeps all of them.
type backup struct {
	self           Member
	cfg            Config
	view           View
	machine        StateMachine
	lastIndex      int64
	lastContact    time.Time
	lastTick       time.Time
	primaryYielded bool
	// settled reports that the view was registered at its witness.
	settled bool
	// swapPending reports that a swap to the next view may take effect at any
	// time, so that nothing may be acknowledged to the primary any more.
	swapPending bool
	register    register
	nextRead    time.Time
}

// backupOutcome tells what a step made of the backup.
type backupOutcome int

// unsettledTimeoutFactor is how many times the silence of a takeover a backup waits
// for a view to be registered, before it makes room for another primary.
const unsettledTimeoutFactor = 3

const (
	backupKept backupOutcome = iota
	backupPromoted
	backupDropped
)

// handle answers a request of the primary of the replica. The caller has
// checked the member, and that the primary is the same.
func (b *backup) handle(now time.Time, req ReplicateRequest) (ReplicateReply, error) {
	if b.swapPending {
		return b.reply(ReplyBusy), nil
	}
	if req.View.Number < b.view.Number {
		return b.reply(ReplyFenced), nil
	}
	if err := b.installSnapshot(req.Snapshot); err != nil {
		return ReplicateReply{}, err
	}
	if req.First > b.lastIndex+1 {
		return b.reply(ReplyBehind), nil
	}
	b.adoptView(req.View)
	b.lastContact = now
	b.primaryYielded = req.Yield
	b.settled = req.Settled
	if err := b.applyRecords(req); err != nil {
		return ReplicateReply{}, err
	}
	return b.reply(ReplyOK), nil
}

// installSnapshot takes a snapshot that is ahead of the replica. One that is behind
// belongs to a late copy of a message.
func (b *backup) installSnapshot(s *SnapshotChunk) error {
	if s == nil || s.Index <= b.lastIndex {
		return nil
	}
	if err := b.machine.Restore(s.State); err != nil {
		return err
	}
	b.lastIndex = s.Index
	return nil
}

// adoptView adopts a later view of the same primary. The witness register of an
// older view may point to it, when the primary replaced the witness.
func (b *backup) adoptView(v View) {
	if v.Witness != b.view.Witness {
		b.register = register{}
	}
	b.view = v
	b.nextRead = time.Time{}
}

// applyRecords applies the records that are new. A record that the state machine
// refuses is refused by the primary alike, but for one of a later format: the
// replica stops before it and does not acknowledge it.
func (b *backup) applyRecords(req ReplicateRequest) error {
	for i, record := range req.Records {
		if req.First+int64(i) != b.lastIndex+1 {
			continue
		}
		if err := b.machine.Apply(record); isLaterFormat(err) {
			return err
		}
		b.lastIndex++
	}
	return nil
}

// isLaterFormat reports whether the error is of a record that only later programs
// read.
func isLaterFormat(err error) bool {
	_, later := caversion.Later(err)
	return later
}

func (b *backup) reply(s ReplyStatus) ReplicateReply {
	return ReplicateReply{Status: s, Adopted: b.view.Number, Last: b.lastIndex, Floor: b.view.Number}
}

// tick starts a takeover once the primary was silent for long enough. After a
// pause of its own the backup starts to count again, as messages may wait.
func (b *backup) tick(now time.Time, out *effects) {
	if !b.lastTick.IsZero() && now.Sub(b.lastTick) > b.cfg.Heartbeat {
		b.lastContact = now
	}
	b.lastTick = now
	if b.register.busy || now.Before(b.nextRead) || !b.shouldTakeOver(now) {
		return
	}
	b.readRegister(now, out)
}

func (b *backup) shouldTakeOver(now time.Time) bool {
	return b.swapPending || b.primaryYielded || now.Sub(b.lastContact) > b.cfg.backupSilence()
}

func (b *backup) readRegister(now time.Time, out *effects) {
	b.register.busy = true
	b.nextRead = now.Add(b.cfg.WitnessPeriod)
	if b.swapPending {
		b.nextRead = now.Add(b.cfg.Heartbeat)
	}
	out.registers = append(out.registers, registerEffect{witness: b.view.Witness})
}

// takeoverView is the view that the backup leads after a takeover. A primary that has
// yielded holds all records and becomes the backup; a silent one may not.
func (b *backup) takeoverView() View {
	v := b.view.WithNumber(b.view.Number + 1).WithPrimary(b.self).WithBackup(Member{})
	if b.primaryYielded {
		v = v.WithBackup(b.view.Primary)
	}
	return v
}

// onRegister folds the answer of the witness.
func (b *backup) onRegister(now time.Time, r registerResult, out *effects) backupOutcome {
	b.register.note(now, r.err)
	if r.witness != b.view.Witness {
		return backupKept
	}
	if r.err != nil {
		return b.onRegisterError(now, r, out)
	}
	current, err := DecodeView(r.value.Value)
	switch {
	case err != nil:
		return backupKept
	case current == b.takeoverView() && b.swapPending:
		return backupPromoted
	case current == b.view:
		return b.swapRegister(now, r.value, out)
	case current.Primary == b.view.Primary && current.Backup == b.self && current.Number > b.view.Number:
		b.adoptView(current)
		return backupKept
	case current.Primary != b.view.Primary && current.Number > 0, current.Number > b.view.Number:
		return backupDropped
	case !b.settled && now.Sub(b.lastContact) > unsettledTimeoutFactor*b.cfg.backupSilence():
		return backupDropped
	default:
		return backupKept
	}
}

// onRegisterError goes back to following the primary when no swap is in doubt.
func (b *backup) onRegisterError(now time.Time, r registerResult, out *effects) backupOutcome {
	b.nextRead = now.Add(b.cfg.Heartbeat)
	if r.swap == nil {
		return backupKept
	}
	if knownWithoutEffect(r.err) && !b.register.sent {
		b.swapPending = false
		return backupKept
	}
	b.register.sent = true
	b.readRegister(now, out)
	return backupKept
}

// swapRegister claims the next view, unless the primary was heard in the meantime.
func (b *backup) swapRegister(now time.Time, current caplatform.Register, out *effects) backupOutcome {
	if !b.shouldTakeOver(now) {
		return backupKept
	}
	swap, err := newSwap(b.takeoverView(), current.Version)
	if err != nil {
		return backupKept
	}
	b.swapPending = true
	b.register.busy = true
	out.registers = append(out.registers, registerEffect{witness: b.view.Witness, swap: swap})
	return backupKept
}
