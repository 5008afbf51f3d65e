package calog

// writerFence fences off former writers of a shard. A new leader starts with its
// view and a snapshot. Entries that a former writer appends after that view are
// late: the state from which the new leader started does not include them, and
// the new leader uses their indices again. For example, in
//
//	view 1 of a, snapshot at 5, view 2 of b, snapshot at 5, record 6 of a, record 6 of b
//
// record 6 of the shard is the one of b.
type writerFence struct {
	view   int64
	writer string
	// awaitsSnapshot is set until the initial snapshot of the writer.
	awaitsSnapshot bool
}

// accept processes the next entry and reports whether the current writer wrote
// it. A shard without a view accepts entries of every writer.
func (f *writerFence) accept(e Entry) bool {
	if e.Type == EntryView && e.View >= f.view {
		f.awaitsSnapshot = f.awaitsSnapshot || e.ID.Writer != f.writer
		f.view, f.writer = e.View, e.ID.Writer
	}
	return f.writer == "" || e.ID.Writer == f.writer
}

// takeInitial reports whether a snapshot is the initial one of the writer, and
// clears awaitsSnapshot.
func (f *writerFence) takeInitial() bool {
	initial := f.awaitsSnapshot
	f.awaitsSnapshot = false
	return initial
}
