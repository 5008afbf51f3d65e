package caleader

import (
	"sync/atomic"
	"time"
)

// moment is a time that is read and set without a lock.
type moment struct{ v atomic.Pointer[time.Time] }

// load returns the time, zero if none was set.
func (m *moment) load() time.Time {
	if t := m.v.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func (m *moment) store(t time.Time) { m.v.Store(&t) }
