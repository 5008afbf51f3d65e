package cashard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// backup is a replica that follows a primary. It applies records as they
// come, since a takeover keeps all of them.
type backup struct {
	self      Member
	cfg       Config
	view      View
	machine   StateMachine
	last      int64
	lastHeard time.Time
	lastTick  time.Time
	yielded   bool
	// settled reports that the view was registered at its witness.
	settled bool
	// swapping reports that a swap to the next view may take effect at any
	// time, so that nothing may be acknowledged to the primary any more.
	swapping bool
	register register
	nextTry  time.Time
}

// backupVerdict tells what a step made of the backup.
type backupVerdict int

// abandonedAfter is how many times the silence of a takeover a backup waits
// for a view to be registered, before it makes room for another primary.
const abandonedAfter = 3

const (
	backupStays backupVerdict = iota
	backupPromoted
	backupDropped
)

// handle answers a request of the primary of the replica. The caller has
// checked the member, and that the primary is the same.
func (b *backup) handle(now time.Time, req ReplicateRequest) (ReplicateReply, error) {
	if b.swapping {
		return b.reply(ReplyBusy), nil
	}
	if req.View.Number < b.view.Number {
		return b.reply(ReplyFenced), nil
	}
	if err := b.install(req.Snapshot); err != nil {
		return ReplicateReply{}, err
	}
	if req.First > b.last+1 {
		return b.reply(ReplyBehind), nil
	}
	b.follow(req.View)
	b.lastHeard = now
	b.yielded = req.Yield
	b.settled = req.Settled
	if err := b.take(req); err != nil {
		return ReplicateReply{}, err
	}
	return b.reply(ReplyOK), nil
}

// install takes a snapshot that is ahead of the replica. One that is behind
// belongs to a late copy of a message.
func (b *backup) install(s *SnapshotChunk) error {
	if s == nil || s.Index <= b.last {
		return nil
	}
	if err := b.machine.Restore(s.State); err != nil {
		return err
	}
	b.last = s.Index
	return nil
}

// follow adopts a later view of the same primary. The witness register of an
// older view may point to it, when the primary replaced the witness.
func (b *backup) follow(v View) {
	if v.Witness != b.view.Witness {
		b.register = register{}
	}
	b.view = v
	b.nextTry = time.Time{}
}

// take applies the records that are new. A record that the state machine
// refuses is refused by the primary alike, but for one of a later format: the
// replica stops before it and does not acknowledge it.
func (b *backup) take(req ReplicateRequest) error {
	for i, record := range req.Records {
		if req.First+int64(i) != b.last+1 {
			continue
		}
		if err := b.machine.Apply(record); isLater(err) {
			return err
		}
		b.last++
	}
	return nil
}

// isLater reports whether the error is of a record that only later programs
// read.
func isLater(err error) bool {
	_, later := caversion.Later(err)
	return later
}

func (b *backup) reply(s ReplyStatus) ReplicateReply {
	return ReplicateReply{Status: s, Adopted: b.view.Number, Last: b.last, Floor: b.view.Number}
}

// tick starts a takeover once the primary was silent for long enough. After a
// pause of its own the backup starts to count again, as messages may wait.
func (b *backup) tick(now time.Time, out *effects) {
	if !b.lastTick.IsZero() && now.Sub(b.lastTick) > b.cfg.Heartbeat {
		b.lastHeard = now
	}
	b.lastTick = now
	if b.register.busy || now.Before(b.nextTry) || !b.isSilent(now) {
		return
	}
	b.read(now, out)
}

func (b *backup) isSilent(now time.Time) bool {
	return b.swapping || b.yielded || now.Sub(b.lastHeard) > b.cfg.backupSilence()
}

func (b *backup) read(now time.Time, out *effects) {
	b.register.busy = true
	b.nextTry = now.Add(b.cfg.WitnessPeriod)
	if b.swapping {
		b.nextTry = now.Add(b.cfg.Heartbeat)
	}
	out.registers = append(out.registers, registerEffect{witness: b.view.Witness})
}

// next is the view that the backup leads after a takeover. A primary that has
// yielded holds all records and becomes the backup; a silent one may not.
func (b *backup) next() View {
	v := b.view.WithNumber(b.view.Number + 1).WithPrimary(b.self).WithBackup(Member{})
	if b.yielded {
		v = v.WithBackup(b.view.Primary)
	}
	return v
}

// onRegister folds the answer of the witness.
func (b *backup) onRegister(now time.Time, r registerResult, out *effects) backupVerdict {
	b.register.note(now, r.err)
	if r.witness != b.view.Witness {
		return backupStays
	}
	if r.err != nil {
		return b.onFailure(now, r, out)
	}
	held, err := DecodeView(r.value.Value)
	switch {
	case err != nil:
		return backupStays
	case held == b.next() && b.swapping:
		return backupPromoted
	case held == b.view:
		return b.swap(now, r.value, out)
	case held.Primary == b.view.Primary && held.Backup == b.self && held.Number > b.view.Number:
		b.follow(held)
		return backupStays
	case held.Primary != b.view.Primary && held.Number > 0, held.Number > b.view.Number:
		return backupDropped
	case !b.settled && now.Sub(b.lastHeard) > abandonedAfter*b.cfg.backupSilence():
		return backupDropped
	default:
		return backupStays
	}
}

// onFailure goes back to following the primary when no swap is in doubt.
func (b *backup) onFailure(now time.Time, r registerResult, out *effects) backupVerdict {
	b.nextTry = now.Add(b.cfg.Heartbeat)
	if r.swap == nil {
		return backupStays
	}
	if knownWithoutEffect(r.err) && !b.register.sent {
		b.swapping = false
		return backupStays
	}
	b.register.sent = true
	b.read(now, out)
	return backupStays
}

// swap claims the next view, unless the primary was heard in the meantime.
func (b *backup) swap(now time.Time, held caplatform.Register, out *effects) backupVerdict {
	if !b.isSilent(now) {
		return backupStays
	}
	swap, err := newSwap(b.next(), held.Version)
	if err != nil {
		return backupStays
	}
	b.swapping = true
	b.register.busy = true
	out.registers = append(out.registers, registerEffect{witness: b.view.Witness, swap: swap})
	return backupStays
}
