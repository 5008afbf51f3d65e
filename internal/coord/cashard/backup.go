package cashard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// backup is a replica that follows a primary. It applies records as they
// arrive rather than once they are committed, since a takeover keeps all of them.
type backup struct {
	self           Member
	cfg            Config
	view           View
	machine        StateMachine
	lastIndex      int64
	lastContact    time.Time
	lastTick       time.Time
	primaryYielded bool
	// settled reports that the primary has confirmed that the view is registered
	// at its witness.
	settled bool
	// swapPending reports that a swap to the takeover view may take effect at any
	// time. The backup must acknowledge nothing to the primary from then on.
	swapPending bool
	register    registerState
	nextRead    time.Time
}

// backupOutcome is what becomes of the backup after a reply of the witness.
type backupOutcome int

// unsettledTimeoutFactor times Config.backupSilence is how long a backup without
// contact keeps a view that its primary has not registered. After that it drops
// its replica, so that this member can back up the shard for another primary.
const unsettledTimeoutFactor = 3

const (
	backupKept backupOutcome = iota
	backupPromoted
	backupDropped
)

// handle answers a request of the primary. The caller has checked that the
// request is for this member and comes from the primary that it follows.
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

// installSnapshot restores a snapshot that is newer than the replica. It ignores
// an older one, which belongs to a delayed duplicate of a message.
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

// adoptView adopts a later view of the same primary. The backup learns of it from
// the primary, or from the witness register of its present view if the primary
// has written the later view there.
func (b *backup) adoptView(v View) {
	if v.Witness != b.view.Witness {
		b.register = registerState{}
	}
	b.view = v
	b.nextRead = time.Time{}
}

// applyRecords applies the records that the replica does not hold yet. A record
// that the state machine rejects still counts as applied, since the primary
// rejects it too. The exception is a record of a later format: the replica stops
// before it and does not acknowledge it.
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

// isLaterFormat reports whether the error means that a record has a format that
// only later versions of the program can read.
func isLaterFormat(err error) bool {
	_, later := caversion.AsUnsupportedFormat(err)
	return later
}

func (b *backup) reply(s ReplyStatus) ReplicateReply {
	return ReplicateReply{Status: s, Adopted: b.view.Number, Last: b.lastIndex, Floor: b.view.Number}
}

// tick starts a takeover once there was no contact with the primary for long
// enough. If this process was paused itself, the timeout starts again, since
// messages of the primary may be waiting to be handled.
func (b *backup) tick(now time.Time, out *effects) {
	if !b.lastTick.IsZero() && now.Sub(b.lastTick) > b.cfg.Heartbeat {
		b.lastContact = now
	}
	b.lastTick = now
	if b.register.inFlight || now.Before(b.nextRead) || !b.shouldTakeOver(now) {
		return
	}
	b.readRegister(now, out)
}

func (b *backup) shouldTakeOver(now time.Time) bool {
	return b.swapPending || b.primaryYielded || now.Sub(b.lastContact) > b.cfg.backupSilence()
}

func (b *backup) readRegister(now time.Time, out *effects) {
	b.register.inFlight = true
	b.nextRead = now.Add(b.cfg.WitnessPeriod)
	if b.swapPending {
		b.nextRead = now.Add(b.cfg.Heartbeat)
	}
	out.registers = append(out.registers, registerEffect{witness: b.view.Witness})
}

// takeoverView returns the view that this member leads after a takeover. A primary
// that has yielded holds all records and becomes the backup. A silent primary may
// not hold them, so the view has no backup then.
func (b *backup) takeoverView() View {
	v := b.view.WithNumber(b.view.Number + 1).WithPrimary(b.self).WithBackup(Member{})
	if b.primaryYielded {
		v = v.WithBackup(b.view.Primary)
	}
	return v
}

// onRegister handles the result of a read or swap of the witness register.
func (b *backup) onRegister(now time.Time, r registerResult, out *effects) backupOutcome {
	b.register.updateHealth(now, r.err)
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

// onRegisterError handles a failed operation on the witness register. A read is
// repeated after a heartbeat. After a swap without effect the backup follows the
// primary again, unless an earlier swap may still take effect. After any other
// failed swap it reads the register at once to learn the outcome.
func (b *backup) onRegisterError(now time.Time, r registerResult, out *effects) backupOutcome {
	b.nextRead = now.Add(b.cfg.Heartbeat)
	if r.swap == nil {
		return backupKept
	}
	if provesNoEffect(r.err) && !b.register.maybeWritten {
		b.swapPending = false
		return backupKept
	}
	b.register.maybeWritten = true
	b.readRegister(now, out)
	return backupKept
}

// swapRegister writes the takeover view to the register, unless the primary has
// made contact in the meantime.
func (b *backup) swapRegister(now time.Time, current caplatform.Register, out *effects) backupOutcome {
	if !b.shouldTakeOver(now) {
		return backupKept
	}
	swap, err := newSwap(b.takeoverView(), current.Version)
	if err != nil {
		return backupKept
	}
	b.swapPending = true
	b.register.inFlight = true
	out.registers = append(out.registers, registerEffect{witness: b.view.Witness, swap: swap})
	return backupKept
}
