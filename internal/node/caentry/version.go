package caentry

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

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
	format, holding := e.directory.Format(e.version.Format)
	if before := e.recordFormat(); before != format {
		caevent.Info(e.log, caevent.FormatInForce).Int("format", int(format)).Int("was", int(before)).
			Int("entries_holding", len(holding)).Send()
	}
	e.format.Store(int64(format))
}
