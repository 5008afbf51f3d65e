// Package cashard replicates the records of a shard between a primary and a
// backup. When the two cannot reach each other, a compare-and-swap register at an
// upstream, the witness, decides which of them leads the shard.
// docs/design/shards.md gives the reasons and the proof of safety.
package cashard

import (
	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Member is one incarnation of an entry. An entry is another member after a restart.
type Member struct {
	VM          cawork.VMID
	Incarnation int64
}

// IsZero reports whether the member is unset.
func (m Member) IsZero() bool { return m == Member{} }

// View names the primary, the backup and the witness of a shard. Each new view of
// a shard has a higher number. A view without a backup is solo: its records have a
// single copy.
type View struct {
	Shard   cawork.ShardID
	Number  int64
	Primary Member
	Backup  Member
	Witness cawork.UpstreamID
}

// WithNumber returns a copy with the number.
func (v View) WithNumber(n int64) View {
	v.Number = n
	return v
}

// WithPrimary returns a copy with the primary.
func (v View) WithPrimary(m Member) View {
	v.Primary = m
	return v
}

// WithBackup returns a copy with the backup.
func (v View) WithBackup(m Member) View {
	v.Backup = m
	return v
}

// WithWitness returns a copy with the witness.
func (v View) WithWitness(u cawork.UpstreamID) View {
	v.Witness = u
	return v
}

// IsSolo reports whether the view has no backup.
func (v View) IsSolo() bool { return v.Backup.IsZero() }

// Encode returns the view as the value of a witness register.
func (v View) Encode() ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode view %d of shard %s", v.Number, v.Shard)
	}
	return b, nil
}

// DecodeView returns the view that the value of a witness register holds. An empty
// register holds the zero view.
func DecodeView(b []byte) (View, error) {
	if len(b) == 0 {
		return View{}, nil
	}
	var v View
	if err := cbor.Unmarshal(b, &v); err != nil {
		return View{}, cakind.Wrap(cakind.KindInvalid, err, "decode view")
	}
	return v, nil
}

// RegisterName returns the name of the witness register of a shard.
func RegisterName(s cawork.ShardID) string { return "shard/" + string(s) }
