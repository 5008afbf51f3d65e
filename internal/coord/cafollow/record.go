// Package cafollow follows an ordered sequence of versions of one document
// that publishers append to a log. All followers agree on the content of each
// version, even if they missed parts of the log, and none returns to a lower
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

// Version numbers the versions of the document. Version 0 is the state before
// the first change. A version never exceeds the number of log records up to and
// including the one that created it.
type Version int64

// ChangeID identifies a change across repeated appends. It has no influence on
// whether the change is accepted, because a reader that missed an earlier copy
// could not take that copy into account.
type ChangeID string

// Digest is the SHA-256 hash of a body.
type Digest [sha256.Size]byte

// String returns the hash in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the hash of a body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// MaxBodySize is the largest body of a change in bytes.
const MaxBodySize = 512 << 10

// Change proposes a body as the version after Base. It is accepted if Base is
// the version in force at the offset of its record.
type Change struct {
	ID   ChangeID `cbor:"id"`
	Base Version  `cbor:"base"`
	Body []byte   `cbor:"body"`
}

// Snapshot is the version in force after all records before AsOf. ChangeID is
// the change that created the version.
type Snapshot struct {
	Version  Version           `cbor:"version"`
	AsOf     caplatform.Offset `cbor:"as_of"`
	ChangeID ChangeID          `cbor:"change_id"`
	Body     []byte            `cbor:"body"`
	Hash     Digest            `cbor:"hash"`
}

// Intact reports whether Hash is the hash of the body.
func (s Snapshot) Intact() bool { return DigestOf(s.Body) == s.Hash }

// Reset puts a body in force regardless of the current version. Its version is
// the offset of its record plus one. That is higher than every earlier version,
// and readers without any earlier version arrive at the same number. An operator
// uses a reset after the log has dropped versions that no entry holds any more.
type Reset struct {
	ID   ChangeID `cbor:"id"`
	Body []byte   `cbor:"body"`
}

// record is the envelope of a log record. Exactly one of Change, Snapshot and
// Reset is set.
type record struct {
	Change   *Change   `cbor:"change,omitempty"`
	Snapshot *Snapshot `cbor:"snapshot,omitempty"`
	Reset    *Reset    `cbor:"reset,omitempty"`
	// Format is not set by any release so far.
	Format caversion.Format `cbor:"format,omitempty"`
}

func (r record) encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic("cafollow: " + err.Error())
	}
	return data
}

// decodeRecord returns an empty record, which every reader skips, if it cannot
// decode the payload. For a record of a newer format it sets only Format.
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
