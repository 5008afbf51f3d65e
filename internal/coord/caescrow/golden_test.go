package caescrow_test

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// TestClaimKeepsItsForm: claims of mints stand in a topic of the log.
func TestClaimKeepsItsForm(t *testing.T) {
	codec := cagolden.Codec{Encode: cbor.Marshal, Decode: func(data []byte) (any, error) {
		var c caescrow.Claim
		err := cbor.Unmarshal(data, &c)
		return c, err
	}}
	sample := cagolden.New(reflect.TypeFor[caescrow.Claim]()).Elem().Interface()
	if err := cagolden.Verify("testdata/claim", sample, codec); err != nil {
		t.Error(err)
	}
}
