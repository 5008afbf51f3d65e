package cadirectory

import (
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Format returns the newest format, up to that read here, that every entry which may run
// reads, and the entries that hold it lower. An entry that has not told
// this one itself holds it at the oldest format: one that is listed and was
// never met, or that others told of a moment ago. Before the first list nobody
// can tell which entries there are.
func (d *Directory) Format() (caversion.Format, []cawork.VMID) {
	if d.list.Last().At.IsZero() {
		return caversion.FormatUnnumbered, nil
	}
	format := d.reads
	var holding []cawork.VMID
	for _, vm := range d.RunningEntries() {
		reads := caversion.FormatUnnumbered
		if m, met := d.member(vm); met && m.Format > 0 {
			reads = m.Format
		}
		if reads < d.reads {
			holding = append(holding, vm)
			format = min(format, reads)
		}
	}
	return format, holding
}
