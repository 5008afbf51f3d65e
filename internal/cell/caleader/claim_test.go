package caleader

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
)

// claimWithoutSilence is the claim of builds that do not declare silent upstreams.
type claimWithoutSilence struct {
	VM       cawork.VMID `cbor:"1,keyasint"`
	Address  string      `cbor:"2,keyasint"`
	Token    int64       `cbor:"3,keyasint,omitempty"`
	Seq      int64       `cbor:"4,keyasint,omitempty"`
	Nonce    int64       `cbor:"5,keyasint"`
	Released bool        `cbor:"6,keyasint,omitempty"`
}

// TestClaimsAreReadByBuildsWithoutSilence covers entries of both builds side by side: either reads
// the claims of the other, and one without declaration declares nothing.
func TestClaimsAreReadByBuildsWithoutSilence(t *testing.T) {
	claim := Claim{VM: "vm", Address: "a", Token: 7, Seq: 3, Nonce: 9, Released: true}
	before := claimWithoutSilence{VM: "vm", Address: "a", Token: 7, Seq: 3, Nonce: 9, Released: true}
	declaring := claim
	declaring.Silent = []caboard.SilentUpstream{{Upstream: "up", Incarnation: 5, LeaseRemaining: time.Second}}
	entry, err := declaring.logEntry()
	if err != nil {
		t.Fatal(err)
	}
	var read claimWithoutSilence
	if err := cbor.Unmarshal(entry.Value, &read); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(before, read); diff != "" {
		t.Errorf("claim as read by the former build (-want +got):\n%s", diff)
	}
	value, err := cbor.Marshal(before)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]Claim{claim, declaring}, []Claim{decodeClaim(LogEntry{Value: value}), decodeClaim(entry)}); diff != "" {
		t.Errorf("claims as read by this build (-want +got):\n%s", diff)
	}
}
