package caentry

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

// formatSettleTime is the time after its start during which an entry writes
// only the unnumbered format, since it may not have discovered all entries of
// the cell yet.
const formatSettleTime = 10 * time.Second

// greeting returns the version announcement of this entry to other entries.
func (e *Entry) greeting() caversion.Greeting {
	self := e.members.Self()
	return caversion.Greeting{
		VM: self.VM, Incarnation: int64(self.Incarnation), Zone: self.Zone, Address: self.Address,
		Oldest: e.version.Protocols.Oldest, Newest: e.version.Protocols.Newest, Format: e.version.Format,
	}
}

// recordFormat returns the record format in use by this entry.
func (e *Entry) recordFormat() caversion.Format { return caversion.Format(e.format.Load()) }

// chooseFormat sets the record format to the newest format that every entry
// reads.
func (e *Entry) chooseFormat() {
	format, heldBy := e.directory.CommonFormat()
	if !e.isMembershipSettled() {
		format = caversion.FormatUnnumbered
	}
	if previous := e.recordFormat(); previous != format {
		caevent.Info(e.log, caevent.FormatInForce).Int("format", int(format)).Int("was", int(previous)).
			Int("entries_holding", len(heldBy)).Send()
	}
	e.format.Store(int64(format))
}

// isMembershipSettled reports whether this entry has run long enough to
// discover the others and, if it has seed addresses, has found at least one
// entry.
func (e *Entry) isMembershipSettled() bool {
	settled := e.timer.Now().Sub(e.startedAt) >= formatSettleTime
	return settled && (len(e.settings.Seeds) == 0 || len(e.members.Members()) > 1)
}

// isVersionOutnumbered reports whether the live entries that this one does not
// understand outnumber those that it understands, itself included. Its version
// is then the wrong one for the cell, and the jobs that it accepts would have
// no second copy.
func (e *Entry) isVersionOutnumbered() bool {
	foreign, compatible := 0, 1
	for _, m := range e.members.Members() {
		switch {
		case m.VM == e.settings.VM || !m.Liveness.Live():
		case m.Foreign:
			foreign++
		default:
			compatible++
		}
	}
	return foreign > compatible
}
