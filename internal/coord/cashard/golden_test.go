package cashard

import (
	"math/rand/v2"
	"testing"

	"celeryarch.example/celeryarch/internal/base/cagolden"
)

const goldenView = "testdata/view"

// TestViewEncodingIsStable: views stand in registers at upstreams and in the log,
// and are compared as a whole. They have one form in all formats.
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

// mutationCount is the number of changed copies of a view.
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
		t.Error("no changed view was refused, so none was changed")
	}
}
