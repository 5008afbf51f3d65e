package caestimate_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caestimate"
)

func ExampleRecord_Size() {
	e := caestimate.NewEstimator()
	declared := cawork.Resources{CPU: cawork.Cores(4), Memory: 8 * cawork.GiB}
	for range 40 {
		e.Record("north", cawork.WorkKindBatch).ObserveSize(declared, cawork.Resources{CPU: cawork.Cores(2), Memory: 8 * cawork.GiB})
	}
	fmt.Println(e.Record("north", cawork.WorkKindBatch).Size(declared))
	fmt.Println(e.Record("south", cawork.WorkKindBatch).Size(declared))
	// Output:
	// 2.000 cores, 8192 MiB, 0 accelerators
	// 4.000 cores, 8192 MiB, 0 accelerators
}

// TestCorrectionStaysWithinBounds guards against corrections that follow extreme
// observations, such as no usage or a run time of a day.
func TestCorrectionStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := caestimate.NewEstimator().Record("north", cawork.WorkKindBatch)
		declared := cawork.Resources{CPU: 1000, Memory: cawork.GiB, Accelerators: 1}
		for range rapid.IntRange(0, 600).Draw(t, "observations") {
			peak := cawork.Resources{
				CPU:    cawork.MilliCPU(rapid.Int64Range(0, 1e6).Draw(t, "cpu")),
				Memory: cawork.Bytes(rapid.Int64Range(0, 1e12).Draw(t, "memory")),
			}
			record.ObserveSize(declared, peak)
			record.ObserveRunTime(time.Minute,
				time.Duration(rapid.Int64Range(0, int64(time.Hour*24)).Draw(t, "ran")))
		}
		got := record.Size(declared)
		if got.CPU < 250 || got.CPU > 2000 || got.Memory < cawork.GiB/4 || got.Memory > 2*cawork.GiB || got.Accelerators != 1 {
			t.Errorf("corrected size %v is out of bounds", got)
		}
		if rt := record.RunTime(time.Minute); rt < time.Minute/16 || rt > 16*time.Minute {
			t.Errorf("corrected run time %v is out of bounds", rt)
		}
	})
}
