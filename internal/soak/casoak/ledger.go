package casoak

import (
	"fmt"
	"slices"
	"sync"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// outcome is what the caller of a job was told.
type outcome int

const (
	// outcomeUnknown means that no answer told.
	outcomeUnknown outcome = iota
	outcomeAccepted
	outcomeRejected
	outcomeCanceled
)

// outcomeLog keeps what callers were told, and finds what contradicts it.
type outcomeLog struct {
	mu     sync.Mutex
	byJob  map[cawork.JobID]outcome
	violations []string
}

func newOutcomeLog() *outcomeLog { return &outcomeLog{byJob: make(map[cawork.JobID]outcome)} }

func (l *outcomeLog) record(id cawork.JobID, f outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byJob[id] = f
}

// recordViolation notes a broken promise.
func (l *outcomeLog) recordViolation(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, values...))
}

func (l *outcomeLog) violationList() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// snapshot returns what callers were told, by job.
func (l *outcomeLog) snapshot() map[cawork.JobID]outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcomes := make(map[cawork.JobID]outcome, len(l.byJob))
	for id, f := range l.byJob {
		outcomes[id] = f
	}
	return outcomes
}

// counts returns how many jobs have each fate.
func (l *outcomeLog) counts() (accepted, refused, canceled, unknown int) {
	for _, f := range l.snapshot() {
		switch f {
		case outcomeAccepted:
			accepted++
		case outcomeRejected:
			refused++
		case outcomeCanceled:
			canceled++
		case outcomeUnknown:
			unknown++
		}
	}
	return accepted, refused, canceled, unknown
}

// mismatch tells what is wrong with the phase that a job is shown in at
// the end, or nothing.
func (f outcome) mismatch(phase castate.Phase, known bool) string {
	switch {
	case f == outcomeAccepted && !known:
		return "was accepted and is not known"
	case f == outcomeAccepted && phase != castate.PhaseCompleted:
		return fmt.Sprintf("was accepted and ends as %s", phase)
	case f == outcomeRejected && known:
		return fmt.Sprintf("was refused and is shown as %s", phase)
	case f == outcomeCanceled && !known:
		return "was canceled and is not known"
	case f == outcomeCanceled && phase != castate.PhaseCanceled && phase != castate.PhaseCompleted:
		return fmt.Sprintf("was canceled and ends as %s", phase)
	default:
		return ""
	}
}
