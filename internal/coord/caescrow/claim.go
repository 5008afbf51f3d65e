package caescrow

import (
	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

// DecodeClaim reads a claim in the log. One of a later format is a
// caversion.LaterError, other bytes are an error of KindInvalid.
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
