package cadirectory

import (
	"slices"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/camember"
)

// Format returns the newest format, up to own, that every entry which may run
// reads, and the entries that hold it below own. An entry that has not told
// this one itself holds it at the oldest format: one that is listed and was
// never met, or that others told of a moment ago.
func (d *Directory) Format(own caversion.Format) (caversion.Format, []cawork.VMID) {
	members := d.all()
	format := own
	var holding []cawork.VMID
	for _, vm := range d.RunningEntries() {
		reads := caversion.FormatUnnumbered
		at := slices.IndexFunc(members, func(m camember.Member) bool { return m.VM == vm })
		if at >= 0 && members[at].Format > 0 {
			reads = members[at].Format
		}
		if reads < own {
			holding = append(holding, vm)
			format = min(format, reads)
		}
	}
	return format, holding
}
