package caspec

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// KeyID identifies a key of a team without revealing it. Zero stands for no key.
type KeyID uint64

// KeyIDOf returns the ID of a key, zero for an empty one.
func KeyIDOf(key string) KeyID {
	if key == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(key))
	return KeyID(binary.BigEndian.Uint64(sum[:]))
}

// String returns the ID as log lines show it, empty for none.
func (k KeyID) String() string {
	if k == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(k))
}

// Caller is who makes a call: the key of the call, and the team that has the key in the policy in force.
type Caller struct {
	// Team is empty for calls without a key that the policy lists.
	Team cawork.TeamName
	Key  KeyID
}
