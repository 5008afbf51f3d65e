package casoak

import (
	"fmt"
	"slices"
	"sync"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// fate is what the caller of a job was told.
type fate int

const (
	// fateUnknown means that no answer told.
	fateUnknown fate = iota
	fateAccepted
	fateRefused
	fateCanceled
)

// ledger keeps what callers were told, and finds what contradicts it.
type ledger struct {
	mu     sync.Mutex
	fates  map[cawork.JobID]fate
	broken []string
}

func newLedger() *ledger { return &ledger{fates: make(map[cawork.JobID]fate)} }

func (l *ledger) note(id cawork.JobID, f fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fates[id] = f
}

// breach notes a broken promise.
func (l *ledger) breach(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, values...))
}

func (l *ledger) breaches() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.broken)
}

// snapshot returns what callers were told, by job.
func (l *ledger) snapshot() map[cawork.JobID]fate {
	l.mu.Lock()
	defer l.mu.Unlock()
	fates := make(map[cawork.JobID]fate, len(l.fates))
	for id, f := range l.fates {
		fates[id] = f
	}
	return fates
}

// counts returns how many jobs have each fate.
func (l *ledger) counts() (accepted, refused, canceled, unknown int) {
	for _, f := range l.snapshot() {
		switch f {
		case fateAccepted:
			accepted++
		case fateRefused:
			refused++
		case fateCanceled:
			canceled++
		case fateUnknown:
			unknown++
		}
	}
	return accepted, refused, canceled, unknown
}

// contradiction tells what is wrong with the phase that a job is shown in at
// the end, or nothing.
func (f fate) contradiction(phase castate.Phase, known bool) string {
	switch {
	case f == fateAccepted && !known:
		return "was accepted and is not known"
	case f == fateAccepted && phase != castate.PhaseCompleted:
		return fmt.Sprintf("was accepted and ends as %s", phase)
	case f == fateRefused && known:
		return fmt.Sprintf("was refused and is shown as %s", phase)
	case f == fateCanceled && !known:
		return "was canceled and is not known"
	case f == fateCanceled && phase != castate.PhaseCanceled && phase != castate.PhaseCompleted:
		return fmt.Sprintf("was canceled and ends as %s", phase)
	default:
		return ""
	}
}
