// Package caversion numbers what entries of different program versions share:
// the protocol of the messages between them, and the format of the records
// that outlive them. docs/design/versions.md gives the rules.
package caversion

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Protocol numbers the messages between entries.
type Protocol int

// The protocols.
const (
	// ProtocolUnnumbered is that of version 0.2.0, whose entries tell no number.
	ProtocolUnnumbered Protocol = 1
	// ProtocolNumbered adds the greeting and the header of calls.
	ProtocolNumbered Protocol = 2
)

// Format numbers the records and snapshots in replicas of shards and in the
// log of the platform. A record without a number has FormatUnnumbered.
type Format int

// The formats.
const (
	// FormatUnnumbered is that of version 0.2.0.
	FormatUnnumbered Format = 1
	// FormatNumbered states its number.
	FormatNumbered Format = 2
	// FormatNewest is the last one that this program reads. It reads all
	// earlier ones, for good.
	FormatNewest = FormatNumbered
)

// Range is a range of protocols, both ends included. The zero value is that of
// an entry that has told none yet.
type Range struct {
	Oldest Protocol
	Newest Protocol
}

// Supported returns the protocols that this program speaks.
func Supported() Range { return Range{Oldest: ProtocolUnnumbered, Newest: ProtocolNumbered} }

// IsZero reports whether the range is unset.
func (r Range) IsZero() bool { return r == Range{} }

// Overlaps reports whether both ranges have a protocol in common.
func (r Range) Overlaps(o Range) bool { return r.Oldest <= o.Newest && o.Oldest <= r.Newest }

// String returns the form that ParseRange reads, for example "1-2".
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.Oldest, r.Newest) }

// ParseRange reads the form of String. Another text is an error of KindInvalid.
func ParseRange(text string) (Range, error) {
	oldest, newest, ok := strings.Cut(text, "-")
	first, errFirst := strconv.Atoi(oldest)
	last, errLast := strconv.Atoi(newest)
	if !ok || errFirst != nil || errLast != nil || first < 1 || last < first {
		return Range{}, cakind.New(cakind.KindInvalid, "range of protocols %q", text)
	}
	return Range{Oldest: Protocol(first), Newest: Protocol(last)}, nil
}

// Greeting is what two entries tell each other first. Entries of all versions
// read it: its fields keep their numbers and types, and unknown ones are
// skipped.
type Greeting struct {
	VM          cawork.VMID     `cbor:"1,keyasint,omitempty"`
	Incarnation int64           `cbor:"2,keyasint,omitempty"`
	Zone        cawork.ZoneName `cbor:"3,keyasint,omitempty"`
	Address     string          `cbor:"4,keyasint,omitempty"`
	Oldest      Protocol        `cbor:"5,keyasint,omitempty"`
	Newest      Protocol        `cbor:"6,keyasint,omitempty"`
	// Format is the newest format that the entry reads.
	Format Format `cbor:"7,keyasint,omitempty"`
}

// Unnumbered returns what is known of an entry that knows no greeting.
func Unnumbered() Greeting {
	return Greeting{Oldest: ProtocolUnnumbered, Newest: ProtocolUnnumbered, Format: FormatUnnumbered}
}

// Protocols returns the protocols that the entry speaks.
func (g Greeting) Protocols() Range { return Range{Oldest: g.Oldest, Newest: g.Newest} }

// ForeignError tells that a peer speaks no protocol that is spoken here. The
// call was not sent.
type ForeignError struct {
	Own  Range
	Peer Greeting
}

// Error implements error.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("entry %q speaks protocols %s, this one %s", e.Peer.VM, e.Peer.Protocols(), e.Own)
}

// Foreign returns the peer of a ForeignError in the chain of err.
func Foreign(err error) (Greeting, bool) {
	var foreign *ForeignError
	if !errors.As(err, &foreign) {
		return Greeting{}, false
	}
	return foreign.Peer, true
}

// LaterError tells that something was written in a format that this program
// cannot read.
type LaterError struct {
	What   string
	Format Format
	// Reads is the newest format that is read here.
	Reads Format
}

// Error implements error.
func (e *LaterError) Error() string {
	return fmt.Sprintf("%s has format %d, up to %d is read here", e.What, e.Format, e.Reads)
}

// FormatOf reads only the number of the format of a record, snapshot or payload
// in CBOR, which has the same place in all formats.
func FormatOf(b []byte) (Format, error) {
	var head struct{ Format Format }
	err := cbor.Unmarshal(b, &head)
	return head.Format, err
}

// CheckFormatOf returns a LaterError of KindInvalid when the bytes are of a
// format above the newest one that is read, and another error of KindInvalid
// when they do not tell.
func CheckFormatOf(what string, b []byte, reads Format) error {
	f, err := FormatOf(b)
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "decode %s", what)
	}
	return CheckFormat(what, f, reads)
}

// CheckFormat returns a LaterError of KindInvalid when the format is above the
// newest one that is read. Zero stands for FormatUnnumbered.
func CheckFormat(what string, f, reads Format) error {
	if f <= reads {
		return nil
	}
	return cakind.Wrap(cakind.KindInvalid, &LaterError{What: what, Format: f, Reads: reads}, "read %s", what)
}

// Later returns the LaterError in the chain of err.
func Later(err error) (*LaterError, bool) {
	var later *LaterError
	return later, errors.As(err, &later)
}
