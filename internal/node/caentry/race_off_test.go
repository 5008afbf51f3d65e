//go:build !race

package caentry

// raceEnabled tells that the race detector is on.
const raceEnabled = false
