package caboard

import "testing"

// raceSeedDivisor is the ratio of the seeds of a long test to those that run with the race
// detector, which slows the planner down ten times. A planner has no goroutines; CI runs all
// seeds without the detector.
const raceSeedDivisor = 6

// seedCount returns how many of the seeds of a long test to run.
func seedCount(all int64) int64 {
	if raceEnabled {
		return max(all/raceSeedDivisor, 1)
	}
	return all
}

// runWithoutRace leaves a long test to the run of CI without the race detector.
func runWithoutRace(t *testing.T) {
	t.Helper()
	if raceEnabled {
		t.Skip("runs without the race detector")
	}
}
