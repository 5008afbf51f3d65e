package cadirectory

import (
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// CommonFormat returns the newest format that this entry and all other entries that
// may be running can read, and the entries that keep it below the newest format
// of this entry. An entry that has not reported its format itself counts as
// reading only the oldest one: a listed entry without contact so far, or one
// known only through other members. Before the first list the entries are
// unknown, and the oldest format is returned.
func (d *Directory) CommonFormat() (caversion.Format, []cawork.VMID) {
	if d.list.Last().At.IsZero() {
		return caversion.FormatUnnumbered, nil
	}
	format := d.newestReadable
	var holders []cawork.VMID
	for _, vm := range d.RunningEntries() {
		reads := caversion.FormatUnnumbered
		if m, known := d.member(vm); known && m.Format > 0 {
			reads = m.Format
		}
		if reads < d.newestReadable {
			holders = append(holders, vm)
			format = min(format, reads)
		}
	}
	return format, holders
}
