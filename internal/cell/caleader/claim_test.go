package caleader

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/casilence"
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
	declaring.Silent = []casilence.Upstream{{Upstream: "up", Incarnation: 5, LeaseRemaining: time.Second}}
	declaring.Process, declaring.InheritedRemaining = 4, 2*time.Second
	declaring.RequestDelay, declaring.AdvisorSlowness = 300*time.Millisecond, 1.5
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

// TestOnlyLaterProcessAtSameAddressProvesEnd covers what must not be taken for proof that the process
// of a claim has ended: itself, an earlier process, one of another address or VM, and a claim of
// a build that does not state its process.
func TestOnlyLaterProcessAtSameAddressProvesEnd(t *testing.T) {
	claim := Claim{VM: "vm", Address: "a", Process: 5}.LastGranter()
	got := map[string]bool{
		"same process":  claim.IsSucceededBy("vm", "a", 5),
		"earlier":       claim.IsSucceededBy("vm", "a", 4),
		"not stated":    claim.IsSucceededBy("vm", "a", 0),
		"other address": claim.IsSucceededBy("vm", "b", 6),
		"other VM":      claim.IsSucceededBy("other", "a", 6),
		"former build":  Claim{VM: "vm", Address: "a"}.LastGranter().IsSucceededBy("vm", "a", 6),
		"later process": claim.IsSucceededBy("vm", "a", 6),
	}
	want := map[string]bool{
		"same process": false, "earlier": false, "not stated": false, "other address": false, "other VM": false, "former build": false,
		"later process": true,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("proof that the process has ended (-want +got):\n%s", diff)
	}
}

// TestDeclarationsAreReadByBuildsWithoutThem covers leaders of both builds one after the other: the former
// build reads the lease of a declared upstream, and its own declaration counts as unknown.
func TestDeclarationsAreReadByBuildsWithoutThem(t *testing.T) {
	type silentWithoutDeclaration struct {
		Upstream       cawork.UpstreamID `cbor:"1,keyasint"`
		Incarnation    int64             `cbor:"2,keyasint,omitempty"`
		LeaseRemaining time.Duration     `cbor:"3,keyasint,omitempty"`
	}
	former := silentWithoutDeclaration{Upstream: "up", Incarnation: 5, LeaseRemaining: time.Second}
	declared := casilence.Upstream{Upstream: "up", Incarnation: 5, LeaseRemaining: time.Second, Declaration: 6}
	value, err := cbor.Marshal(declared)
	if err != nil {
		t.Fatal(err)
	}
	var back silentWithoutDeclaration
	if err := cbor.Unmarshal(value, &back); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(former, back); diff != "" {
		t.Errorf("declared upstream as read by the former build (-want +got):\n%s", diff)
	}
	if value, err = cbor.Marshal(back); err != nil {
		t.Fatal(err)
	}
	var forward casilence.Upstream
	if err := cbor.Unmarshal(value, &forward); err != nil {
		t.Fatal(err)
	}
	declared.Declaration = 0
	if diff := cmp.Diff(declared, forward); diff != "" {
		t.Errorf("upstream declared by the former build (-want +got):\n%s", diff)
	}
}
