package caentry

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

// formatSettle is the time after the start of an entry before which it writes
// no later format, since it may not know all entries of the cell yet.
const formatSettle = 10 * time.Second

// greeting returns what this entry tells others of its version.
func (e *Entry) greeting() caversion.Greeting {
	self := e.members.Self()
	return caversion.Greeting{
		VM: self.VM, Incarnation: int64(self.Incarnation), Zone: self.Zone, Address: self.Address,
		Oldest: e.version.Protocols.Oldest, Newest: e.version.Protocols.Newest, Format: e.version.Format,
	}
}

// recordFormat returns the format of records in force at this entry.
func (e *Entry) recordFormat() caversion.Format { return caversion.Format(e.format.Load()) }

// chooseFormat puts the newest format in force that every entry reads.
func (e *Entry) chooseFormat() {
	format, holding := e.directory.Format()
	if !e.knowsCell() {
		format = caversion.FormatUnnumbered
	}
	if before := e.recordFormat(); before != format {
		caevent.Info(e.log, caevent.FormatInForce).Int("format", int(format)).Int("was", int(before)).
			Int("entries_holding", len(holding)).Send()
	}
	e.format.Store(int64(format))
}

// knowsCell reports whether this entry had the time to learn of all others, and
// met any if it was told where to look.
func (e *Entry) knowsCell() bool {
	settled := e.timer.Now().Sub(e.began) >= formatSettle
	return settled && (len(e.settings.Seeds) == 0 || len(e.members.Members()) > 1)
}

// isOutnumbered reports whether more entries run that this one does not
// understand than such that it does, itself included. It is then the one of the
// wrong version, and what it accepts would have no second copy.
func (e *Entry) isOutnumbered() bool {
	foreign, own := 0, 1
	for _, m := range e.members.Members() {
		switch {
		case m.VM == e.settings.VM || !m.Liveness.Live():
		case m.Foreign:
			foreign++
		default:
			own++
		}
	}
	return foreign > own
}
