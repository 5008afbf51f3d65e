package calog

// line tells which writer continues the state of a shard. A new lead begins
// with its view and a snapshot. What a former writer appends after that view
// arrived late: it is not in the state that the new lead began with, and its
// indices are taken anew.
//
//	view 1 of a, snapshot at 5, view 2 of b, snapshot at 5, record 6 of a, record 6 of b
//	record 6 is that of b
type line struct {
	view   int64
	writer string
	// renewed is set until the snapshot that the writer begins with.
	renewed bool
}

// follow takes the next entry and reports whether it continues the line.
func (l *line) follow(e Entry) bool {
	if e.Type == EntryView && e.View >= l.view {
		l.renewed = l.renewed || e.ID.Writer != l.writer
		l.view, l.writer = e.View, e.ID.Writer
	}
	return l.writer == "" || e.ID.Writer == l.writer
}

// begins reports whether a snapshot is the one that the writer begins with.
func (l *line) begins() bool {
	begins := l.renewed
	l.renewed = false
	return begins
}
