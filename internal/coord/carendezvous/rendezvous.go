// Package carendezvous ranks entries for an upstream by rendezvous hashing. Every
// entry computes the same ranking. When an entry joins or leaves, only the
// upstreams that it gains or loses move.
package carendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Key returns the hash of a VM ID that messages use to refer to the VM.
func Key(vm cawork.VMID) uint64 { return xxhash.Sum64String(string(vm)) }

// Score returns the weight of an entry for a name. The entry with the highest
// score is the first choice.
func Score(name string, vm cawork.VMID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// Rank returns the entries by descending score for the name, and by ID where
// scores are equal.
func Rank(name string, vms []cawork.VMID) []cawork.VMID {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b cawork.VMID) int {
		return compare(name, a, b)
	})
	return ranked
}

// First returns the entry with the highest score for the name and reports
// whether there is any.
func First(name string, vms []cawork.VMID) (cawork.VMID, bool) {
	if len(vms) == 0 {
		return "", false
	}
	return slices.MinFunc(vms, func(a, b cawork.VMID) int {
		return compare(name, a, b)
	}), true
}

func compare(name string, a, b cawork.VMID) int {
	sa, sb := Score(name, a), Score(name, b)
	switch {
	case sa > sb:
		return -1
	case sa < sb:
		return 1
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
