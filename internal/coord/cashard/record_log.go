package cashard

import "slices"

// recordLog holds the records after the index base. They are kept as long as a
// backup may need them.
type recordLog struct {
	base    int64
	records [][]byte
}

// last returns the index of the last record.
func (l *recordLog) last() int64 { return l.base + int64(len(l.records)) }

// add appends a record and returns its index.
func (l *recordLog) add(record []byte) int64 {
	l.records = append(l.records, record)
	return l.last()
}

// at returns the record with the index, which the log must hold.
func (l *recordLog) at(index int64) []byte { return l.records[index-l.base-1] }

// after returns at most limit records after the index. It returns false if the
// log does not hold all records after the index.
func (l *recordLog) after(index int64, limit int) ([][]byte, bool) {
	if index < l.base || index > l.last() {
		return nil, false
	}
	rest := l.records[index-l.base:]
	return slices.Clone(rest[:min(limit, len(rest))]), true
}

// trim drops the records up to the index.
func (l *recordLog) trim(index int64) {
	drop := min(index, l.last()) - l.base
	if drop <= 0 {
		return
	}
	clear(l.records[:drop])
	l.records = l.records[drop:]
	l.base += drop
}
