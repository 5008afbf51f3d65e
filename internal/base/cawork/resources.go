package cawork

import (
	"fmt"
	"math"
)

// MilliCPU is an amount of processor capacity in thousandths of a core.
type MilliCPU int64

// Bytes is an amount of memory.
type Bytes int64

// Units of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// Cores returns n whole cores.
func Cores(n int64) MilliCPU { return MilliCPU(n * 1000) }

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	CPU          MilliCPU `json:"cpu_milli"`
	Memory       Bytes    `json:"memory_bytes"`
	Accelerators int64    `json:"accelerators"`
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		CPU:          r.CPU + o.CPU,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns the difference of both amounts, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		CPU:          r.CPU - o.CPU,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Times returns the amount n times.
func (r Resources) Times(n int64) Resources {
	return Resources{
		CPU:          r.CPU * MilliCPU(n),
		Memory:       r.Memory * Bytes(n),
		Accelerators: r.Accelerators * n,
	}
}

// Fits reports whether the amount is within the other in every dimension.
func (r Resources) Fits(in Resources) bool {
	return r.CPU <= in.CPU && r.Memory <= in.Memory && r.Accelerators <= in.Accelerators
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// IsNegative reports whether any dimension is below zero.
func (r Resources) IsNegative() bool {
	return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0
}

// Floor returns the amount with negative dimensions set to zero.
func (r Resources) Floor() Resources {
	return Resources{
		CPU:          max(r.CPU, 0),
		Memory:       max(r.Memory, 0),
		Accelerators: max(r.Accelerators, 0),
	}
}

// DominantShare returns the largest fraction of the total that the amount takes
// in any dimension. Dimensions in which the total is zero are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(int64(r.CPU), int64(total.CPU))
	share = max(share, fraction(int64(r.Memory), int64(total.Memory)))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

// Holds returns how many times the size fits into the amount, zero where the
// amount is negative. A zero size fits math.MaxInt32 times.
func (r Resources) Holds(size Resources) int {
	n := int64(math.MaxInt32)
	if size.CPU > 0 {
		n = min(n, int64(r.CPU/size.CPU))
	}
	if size.Memory > 0 {
		n = min(n, int64(r.Memory/size.Memory))
	}
	if size.Accelerators > 0 {
		n = min(n, r.Accelerators/size.Accelerators)
	}
	return int(max(n, 0))
}

// Most returns the maximum of both amounts in each dimension.
func (r Resources) Most(other Resources) Resources {
	return Resources{CPU: max(r.CPU, other.CPU), Memory: max(r.Memory, other.Memory), Accelerators: max(r.Accelerators, other.Accelerators)}
}

// String returns the amount in cores, MiB and accelerators.
func (r Resources) String() string {
	return fmt.Sprintf("%.3f cores, %d MiB, %d accelerators",
		float64(r.CPU)/1000, r.Memory/MiB, r.Accelerators)
}

func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
