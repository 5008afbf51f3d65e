// Package cadecide is the decision core of one entry.
package cadecide

import (
	"celeryarch.example/celeryarch/internal/core/canaive"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// New returns an empty scheduler that reports broken invariants.
func New(p casched.Policy, report func(*casched.Violation)) casched.Scheduler {
	return canaive.New(p, report)
}
