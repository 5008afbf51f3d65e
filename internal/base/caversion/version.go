// Package caversion defines the version numbers that entries of different program
// versions share: the protocol of the messages between entries, and the format of
// stored records. docs/design/versions.md gives the rules.
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

// Protocol is the version number of the messages between entries.
type Protocol int

// The protocols.
const (
	// ProtocolUnnumbered is the protocol of program version 0.2.0, whose entries
	// send no protocol number.
	ProtocolUnnumbered Protocol = 1
	// ProtocolNumbered adds the Greeting message and a header on calls.
	ProtocolNumbered Protocol = 2
)

// Format is the version number of the records and snapshots in replicas of shards
// and in the log of the platform. A record without a number has FormatUnnumbered.
type Format int

// The formats.
const (
	// FormatUnnumbered is the format of program version 0.2.0.
	FormatUnnumbered Format = 1
	// FormatNumbered is the first format whose records hold its number.
	FormatNumbered Format = 2
	// FormatNewest is the newest format that this program reads. All earlier
	// formats must remain readable.
	FormatNewest = FormatNumbered
)

// Range is an inclusive range of protocols. The zero value stands for an entry
// whose protocols are not known yet.
type Range struct {
	Oldest Protocol
	Newest Protocol
}

// Supported returns the protocols that this program supports.
func Supported() Range { return Range{Oldest: ProtocolUnnumbered, Newest: ProtocolNumbered} }

// IsZero reports whether the range is unset.
func (r Range) IsZero() bool { return r == Range{} }

// Overlaps reports whether the ranges have a protocol in common.
func (r Range) Overlaps(o Range) bool { return r.Oldest <= o.Newest && o.Oldest <= r.Newest }

// String returns the form that ParseRange reads, for example "1-2".
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.Oldest, r.Newest) }

// ParseRange parses the form that String returns. It returns an error of
// KindInvalid for any other text.
func ParseRange(text string) (Range, error) {
	oldest, newest, ok := strings.Cut(text, "-")
	first, errFirst := strconv.Atoi(oldest)
	last, errLast := strconv.Atoi(newest)
	if !ok || errFirst != nil || errLast != nil || first < 1 || last < first {
		return Range{}, cakind.New(cakind.KindInvalid, "invalid range of protocols %q", text)
	}
	return Range{Oldest: Protocol(first), Newest: Protocol(last)}, nil
}

// Greeting is the handshake message that two entries exchange first. Entries of
// all versions read it: its fields keep their numbers and types, and unknown
// fields are skipped.
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

// UnnumberedGreeting returns the values assumed for an entry that does not send a
// Greeting.
func UnnumberedGreeting() Greeting {
	return Greeting{Oldest: ProtocolUnnumbered, Newest: ProtocolUnnumbered, Format: FormatUnnumbered}
}

// Protocols returns the protocols that the entry supports.
func (g Greeting) Protocols() Range { return Range{Oldest: g.Oldest, Newest: g.Newest} }

// ProtocolMismatchError reports that a peer and this entry have no protocol in common. The
// call was not sent.
type ProtocolMismatchError struct {
	Own  Range
	Peer Greeting
}

// Error implements error.
func (e *ProtocolMismatchError) Error() string {
	return fmt.Sprintf("entry %q supports protocols %s, this entry %s", e.Peer.VM, e.Peer.Protocols(), e.Own)
}

// MismatchedPeer returns the Greeting of the peer from a ProtocolMismatchError in the chain of
// err.
func MismatchedPeer(err error) (Greeting, bool) {
	var foreign *ProtocolMismatchError
	if !errors.As(err, &foreign) {
		return Greeting{}, false
	}
	return foreign.Peer, true
}

// UnsupportedFormatError reports that data is in a newer format than this program reads.
type UnsupportedFormatError struct {
	What   string
	Format Format
	// Reads is the newest format that the reader supports.
	Reads Format
}

// Error implements error.
func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("%s has format %d; the newest supported format is %d", e.What, e.Format, e.Reads)
}

// FormatOf decodes only the format number of a record, snapshot or payload in
// CBOR. All formats store it in the same field.
func FormatOf(b []byte) (Format, error) {
	var head struct{ Format Format }
	err := cbor.Unmarshal(b, &head)
	return head.Format, err
}

// CheckFormatOf returns an UnsupportedFormatError of KindInvalid when the format number of the
// bytes is above reads, the newest format that the caller supports. It returns
// another error of KindInvalid when the number cannot be decoded.
func CheckFormatOf(what string, b []byte, reads Format) error {
	f, err := FormatOf(b)
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "decode %s", what)
	}
	return CheckFormat(what, f, reads)
}

// CheckFormat returns an UnsupportedFormatError of KindInvalid when the format is above reads,
// the newest format that the caller supports. Zero stands for FormatUnnumbered.
func CheckFormat(what string, f, reads Format) error {
	if f <= reads {
		return nil
	}
	return cakind.Wrap(cakind.KindInvalid, &UnsupportedFormatError{What: what, Format: f, Reads: reads}, "read %s", what)
}

// AsUnsupportedFormat returns the UnsupportedFormatError in the chain of err.
func AsUnsupportedFormat(err error) (*UnsupportedFormatError, bool) {
	var later *UnsupportedFormatError
	return later, errors.As(err, &later)
}
