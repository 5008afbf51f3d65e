//go:build !race

package caentry

// raceEnabled tells that the race detector is on, under which most worlds are
// left to the run without it.
const raceEnabled = false
