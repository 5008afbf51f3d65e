package cawork_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

func ExampleResources_DominantShare() {
	worker := cawork.Resources{CPU: cawork.Cores(16), Memory: 32 * cawork.GiB}
	task := cawork.Resources{CPU: cawork.Cores(2), Memory: 16 * cawork.GiB}
	fmt.Println(task.DominantShare(worker))
	// Output: 0.5
}

func TestPlusAndMinusAreInverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawResources(t, "a"), drawResources(t, "b")
		if diff := cmp.Diff(a, a.Plus(b).Minus(b)); diff != "" {
			t.Errorf("a+b-b mismatch (-want +got):\n%s", diff)
		}
		if !a.Fits(a.Plus(b)) {
			t.Errorf("%v does not fit in %v", a, a.Plus(b))
		}
	})
}

func drawResources(t *rapid.T, label string) cawork.Resources {
	return cawork.Resources{
		CPU:          cawork.MilliCPU(rapid.Int64Range(0, 1e6).Draw(t, label+"_cpu")),
		Memory:       cawork.Bytes(rapid.Int64Range(0, 1e12).Draw(t, label+"_memory")),
		Accelerators: rapid.Int64Range(0, 16).Draw(t, label+"_accelerators"),
	}
}
