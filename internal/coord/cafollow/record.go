// Package cafollow follows an ordered sequence of versions of one document
// that publishers append to a log. All followers agree on the content of each
// version, whatever they missed of the log, and none goes back to a lower
// version.
package cafollow

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Version counts the accepted versions. Version 0 is the state before the
// first change. A version never exceeds the number of records before it.
type Version int64

// ChangeID identifies a change over repeated appends of it. It plays no part
// in the decision: a reader that has not seen an earlier copy could not know
// of it.
type ChangeID string

// Digest is the SHA-256 hash of a body.
type Digest [sha256.Size]byte

// String returns the hash in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the hash of a body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// MaxBodySize is the largest body of a change in bytes.
const MaxBodySize = 512 << 10

// Change proposes a body as the version after Base. It is accepted when Base
// is the version in force at the place of the record.
type Change struct {
	ID   ChangeID `cbor:"id"`
	Base Version  `cbor:"base"`
	Body []byte   `cbor:"body"`
}

// Snapshot states which version is in force after all records before AsOf.
// ChangeID names the change that made the version.
type Snapshot struct {
	Version  Version           `cbor:"version"`
	AsOf     caplatform.Offset `cbor:"as_of"`
	ChangeID ChangeID          `cbor:"change_id"`
	Body     []byte            `cbor:"body"`
	Hash     Digest            `cbor:"hash"`
}

// Intact reports whether the body has the hash that the snapshot states.
func (s Snapshot) Intact() bool { return DigestOf(s.Body) == s.Hash }

// Reset puts a body in force whatever the version is. Its version is the
// offset of the record plus one, which is above every earlier version, so
// that also a reader that knows no version agrees on it. It serves to start
// again after the log has lost versions that no entry holds.
type Reset struct {
	ID   ChangeID `cbor:"id"`
	Body []byte   `cbor:"body"`
}

// record is the envelope of a record. Exactly one field is set.
type record struct {
	Change   *Change   `cbor:"change,omitempty"`
	Snapshot *Snapshot `cbor:"snapshot,omitempty"`
	Reset    *Reset    `cbor:"reset,omitempty"`
	// Format is unset so far.
	Format caversion.Format `cbor:"format,omitempty"`
}

func (r record) encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic("cafollow: " + err.Error())
	}
	return data
}

// decodeRecord returns an empty record for a payload of no known form, which
// every reader skips. Of a record of a later format only the format is known.
func decodeRecord(payload []byte) record {
	if f, err := caversion.FormatOf(payload); err == nil && f > caversion.FormatNewest {
		return record{Format: f}
	}
	var r record
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return record{}
	}
	return r
}

func violation(format string, args ...any) error {
	return cakind.New(cakind.KindInternal, "configuration order violated: "+format, args...)
}
