package caescrow

import (
	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

// DecodeClaim decodes a claim of the platform's log. It returns a
// caversion.UnsupportedFormatError for a claim of a later format, and an error of KindInvalid
// for bytes that are no claim.
func DecodeClaim(b []byte) (Claim, error) {
	if err := caversion.CheckFormatOf("claim", b, caversion.FormatNewest); err != nil {
		return Claim{}, err
	}
	var c Claim
	if err := cbor.Unmarshal(b, &c); err != nil {
		return Claim{}, cakind.Wrap(cakind.KindInvalid, err, "decode claim")
	}
	return c, nil
}
