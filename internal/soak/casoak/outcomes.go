package casoak

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// outcome is the result of a job as reported to its caller.
type outcome int

const (
	// outcomeUnknown means that no answer gave the outcome.
	outcomeUnknown outcome = iota
	outcomeAccepted
	outcomeRejected
	outcomeCanceled
)

// minCrashes is the number of crashes under a task after which its job may be given up.
const minCrashes = 2

// outcomeLog records the outcomes reported to callers and the violations found.
type outcomeLog struct {
	mu         sync.Mutex
	byJob      map[cawork.JobID]outcome
	accepted   []acceptance
	violations []string
}

// acceptance is an accepted job.
type acceptance struct {
	id cawork.JobID
	at time.Time
}

func newOutcomeLog() *outcomeLog { return &outcomeLog{byJob: make(map[cawork.JobID]outcome)} }

func (l *outcomeLog) record(id cawork.JobID, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byJob[id] = o
	if o == outcomeAccepted {
		l.accepted = append(l.accepted, acceptance{id: id, at: time.Now()})
	}
}

// randomAccepted returns a random accepted job, if there is any.
func (l *outcomeLog) randomAccepted(random *rand.Rand) (acceptance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.accepted) == 0 {
		return acceptance{}, false
	}
	return l.accepted[random.Intn(len(l.accepted))], true
}

// isAccepted reports whether a job was accepted and not canceled.
func (l *outcomeLog) isAccepted(id cawork.JobID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byJob[id] == outcomeAccepted
}

// recordViolation records a violated guarantee.
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

// snapshot returns the outcomes reported to callers, by job.
func (l *outcomeLog) snapshot() map[cawork.JobID]outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcomes := make(map[cawork.JobID]outcome, len(l.byJob))
	for id, o := range l.byJob {
		outcomes[id] = o
	}
	return outcomes
}

// counts returns the number of jobs by outcome.
func (l *outcomeLog) counts() (accepted, refused, canceled, unknown int) {
	for _, o := range l.snapshot() {
		switch o {
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

// mismatch describes how the final phase of a job contradicts the outcome. It
// returns an empty string if they agree. A job may be given up once that many upstreams
// have crashed under a task of it.
func (o outcome) mismatch(phase castate.Phase, known bool, crashes int) string {
	switch {
	case known && o != outcomeRejected && phase == castate.PhaseFailed && crashes >= minCrashes:
		return ""
	case o == outcomeAccepted && !known:
		return "was accepted but is unknown to the nodes"
	case o == outcomeAccepted && phase != castate.PhaseCompleted:
		return fmt.Sprintf("was accepted but ended as %s", phase)
	case o == outcomeRejected && known:
		return fmt.Sprintf("was rejected but is reported as %s", phase)
	case o == outcomeCanceled && !known:
		return "was canceled but is unknown to the nodes"
	case o == outcomeCanceled && phase != castate.PhaseCanceled && phase != castate.PhaseCompleted:
		return fmt.Sprintf("was canceled but ended as %s", phase)
	default:
		return ""
	}
}

// deadlyMismatch is mismatch for a job with a task that crashes each upstream that
// starts it, under which that many upstreams have crashed.
func (o outcome) deadlyMismatch(phase castate.Phase, known bool, crashes int) string {
	switch {
	case known && phase == castate.PhaseCompleted:
		return "crashes its upstreams but ended as completed"
	case known && phase == castate.PhaseFailed && crashes < minCrashes:
		return fmt.Sprintf("was given up after %d crashes, %d are required", crashes, minCrashes)
	case known && o == outcomeAccepted && phase != castate.PhaseFailed:
		return fmt.Sprintf("crashes its upstreams but is reported as %s", phase)
	case o == outcomeAccepted && phase == castate.PhaseFailed:
		return ""
	default:
		return o.mismatch(phase, known, crashes)
	}
}
