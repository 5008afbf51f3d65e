package cashard

import (
	"math/rand/v2"
	"testing"

	"celeryarch.example/celeryarch/internal/base/cagolden"
)

const goldenView = "testdata/view"

// TestViewEncodingIsStable guards against a change of the encoding. Views are
// stored in registers at upstreams and in the log, and are compared as a whole, so
// all formats must encode them alike.
func TestViewEncodingIsStable(t *testing.T) {
	sample := View{
		Shard: "e1-life", Number: 7, Primary: Member{VM: "e1", Incarnation: 100}, Backup: Member{VM: "e2", Incarnation: 200}, Witness: "u1",
	}
	codec := cagolden.Codec{
		Encode: func(value any) ([]byte, error) { return value.(View).Encode() },
		Decode: func(data []byte) (any, error) { return DecodeView(data) },
	}
	if err := cagolden.Verify(goldenView, sample, codec); err != nil {
		t.Error(err)
	}
}

// mutationCount is the number of mutated copies of a view.
const mutationCount = 2000

func TestDecodeOfMutatedViewsDoesNotPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	data, _, err := cagolden.Read(goldenView)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for range mutationCount {
		if _, err := DecodeView(cagolden.Mutate(rng, data)); err != nil {
			rejected++
		}
	}
	if rejected == 0 {
		t.Error("no mutated view was rejected, so none was mutated")
	}
}
