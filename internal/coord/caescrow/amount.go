package caescrow

import "celeryarch.example/celeryarch/internal/base/cawork"

// minResources returns the minimum of both amounts in each dimension.
func minResources(a, b cawork.Resources) cawork.Resources {
	return cawork.Resources{
		CPU:          min(a.CPU, b.CPU),
		Memory:       min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// within reports whether the amount fits into what is available. Dimensions that
// the amount does not use may be negative in available.
func within(amount, available cawork.Resources) bool {
	return amount.Fits(cawork.Resources{
		CPU:          max(available.CPU, 0),
		Memory:       max(available.Memory, 0),
		Accelerators: max(available.Accelerators, 0),
	})
}

// divFloor returns the amount divided by n, rounded down.
func divFloor(r cawork.Resources, n int64) cawork.Resources {
	return cawork.Resources{
		CPU:          r.CPU / cawork.MilliCPU(n),
		Memory:       r.Memory / cawork.Bytes(n),
		Accelerators: r.Accelerators / n,
	}
}

// divCeil returns the amount divided by n, rounded up.
func divCeil(r cawork.Resources, n int64) cawork.Resources {
	return divFloor(r.Plus(cawork.Resources{CPU: cawork.MilliCPU(n - 1), Memory: cawork.Bytes(n - 1), Accelerators: n - 1}), n)
}
