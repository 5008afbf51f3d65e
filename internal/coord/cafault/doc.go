// Package cafault contains the fault injection tests of membership and ownership.
// The real implementations of a few entries run in virtual time over fakes of the
// peer and platform interfaces. From a seed, the fakes delay, drop, reorder and
// duplicate messages, lose replies and cut links. The package has only tests.
package cafault
