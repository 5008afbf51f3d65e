//go:build race

package caboard

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
