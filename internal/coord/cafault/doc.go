// Package cafault holds the fault tests of the coordination parts: real parts
// of a few entries run in virtual time over small fakes of the peer interface
// and of the platform's, which delay, drop, reorder, duplicate, cut and lose
// answers, from a seed. It has no code besides its tests.
package cafault
