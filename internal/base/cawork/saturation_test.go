package cawork_test

import (
	"math"
	"math/big"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// clamped returns the number, or the end of the range of an int64 that it lies beyond.
func clamped(n *big.Int) int64 {
	switch {
	case n.IsInt64():
		return n.Int64()
	case n.Sign() > 0:
		return math.MaxInt64
	default:
		return math.MinInt64
	}
}

// TestArithmeticSaturates guards against sums that overflow and turn negative, such as the
// capacity of a pool with one upstream whose capacity another system wrote.
func TestArithmeticSaturates(t *testing.T) {
	edges := []int64{math.MinInt64, math.MinInt64 + 1, -1, 0, 1, 3, math.MaxInt64 / 2, math.MaxInt64 - 1, math.MaxInt64}
	amount := rapid.OneOf(rapid.Int64(), rapid.SampledFrom(edges))
	rapid.Check(t, func(t *rapid.T) {
		a, b := amount.Draw(t, "a"), amount.Draw(t, "b")
		x, y := big.NewInt(a), big.NewInt(b)
		of := func(n int64) cawork.Resources {
			return cawork.Resources{CPU: cawork.MilliCPU(n), Memory: cawork.Bytes(n), Accelerators: n}
		}
		want := []cawork.Resources{of(clamped(new(big.Int).Add(x, y))), of(clamped(new(big.Int).Sub(x, y))), of(clamped(new(big.Int).Mul(x, y)))}
		got := []cawork.Resources{of(a).Plus(of(b)), of(a).Minus(of(b)), of(a).Times(b)}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("sum, difference and product of %d and %d (-want +got):\n%s", a, b, diff)
		}
	})
}
