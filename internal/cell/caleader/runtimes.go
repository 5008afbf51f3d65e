package caleader

import (
	"bytes"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// runTimesPeriod is the time between two records of the speeds of upstreams.
const runTimesPeriod = 5 * time.Second

// inheritRunTimes passes the record of the leader before to the planner. What cannot be read is learned again.
// The lock is held.
func (l *Leader) inheritRunTimes(record []byte) {
	if len(record) == 0 {
		return
	}
	l.runTimes = record
	if err := l.planner.InheritRunTimes(record); err != nil {
		caevent.Warn(l.Log, caevent.PartFailed).Str("part", "run times").Err(err).Send()
	}
}

// storeRunTimes adds a record of the speeds of upstreams to the next append, if they have changed since the last
// one. The lock is held.
func (l *Leader) storeRunTimes() {
	if l.Timer.Now().Sub(l.runTimesAt) < runTimesPeriod || l.layout.IsZero() {
		return
	}
	l.runTimesAt = l.Timer.Now()
	record, err := l.planner.RunTimeRecord()
	if err != nil {
		caevent.Warn(l.Log, caevent.PartFailed).Str("part", "run times").Err(err).Send()
		return
	}
	if bytes.Equal(record, l.runTimes) || l.RecordBytes > 0 && len(record) > l.RecordBytes/2 {
		return
	}
	l.runTimes = record
	l.planner.LogRunTimes()
	l.extraEntries = append(l.extraEntries, LogEntry{Key: runTimesKey, Value: record})
}
