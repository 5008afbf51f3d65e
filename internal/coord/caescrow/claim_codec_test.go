package caescrow_test

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// TestClaimFormatIsStable guards the encoding of claims, which a topic of the log
// stores.
func TestClaimFormatIsStable(t *testing.T) {
	codec := cagolden.Codec{Encode: cbor.Marshal, Decode: func(data []byte) (any, error) {
		return caescrow.DecodeClaim(data)
	}}
	sample := cagolden.NewFilled(reflect.TypeFor[caescrow.Claim]()).Elem().Interface()
	if err := cagolden.Verify("testdata/claim", sample, codec); err != nil {
		t.Error(err)
	}
}

func TestLaterClaimFormatIsRecognized(t *testing.T) {
	later := cagolden.EncodeNewerFormat("Format", int(caversion.FormatNewest)+1)
	if _, err := caescrow.DecodeClaim(later); err == nil {
		t.Error("a claim of a later format was decoded without an error")
	} else if _, ok := caversion.AsUnsupportedFormat(err); !ok {
		t.Errorf("a claim of a later format: got error %v, want a LaterError", err)
	}
	_, err := caescrow.DecodeClaim([]byte("of others"))
	if _, ok := caversion.AsUnsupportedFormat(err); ok || cakind.Of(err) != cakind.KindInvalid {
		t.Errorf("bytes that are no claim: got error %v, want KindInvalid", err)
	}
}
