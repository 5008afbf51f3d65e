package caescrow

import "celeryarch.example/celeryarch/internal/base/cawork"

// smaller returns the lesser of both amounts in each dimension.
func smaller(a, b cawork.Resources) cawork.Resources {
	return cawork.Resources{
		CPU:          min(a.CPU, b.CPU),
		Memory:       min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// within reports whether the amount fits in every dimension that it uses. A
// dimension of which nothing is asked may be in debt.
func within(amount, in cawork.Resources) bool {
	return amount.Fits(cawork.Resources{
		CPU:          max(in.CPU, 0),
		Memory:       max(in.Memory, 0),
		Accelerators: max(in.Accelerators, 0),
	})
}

// split returns the amount divided by n, rounded down.
func split(r cawork.Resources, n int64) cawork.Resources {
	return cawork.Resources{
		CPU:          r.CPU / cawork.MilliCPU(n),
		Memory:       r.Memory / cawork.Bytes(n),
		Accelerators: r.Accelerators / n,
	}
}

// splitUp returns the amount divided by n, rounded up.
func splitUp(r cawork.Resources, n int64) cawork.Resources {
	return split(r.Plus(cawork.Resources{CPU: cawork.MilliCPU(n - 1), Memory: cawork.Bytes(n - 1), Accelerators: n - 1}), n)
}
