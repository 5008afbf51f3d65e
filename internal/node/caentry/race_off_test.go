//go:build !race

package caentry

// raceEnabled reports whether the race detector is on.
const raceEnabled = false
