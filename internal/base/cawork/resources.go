package cawork

import (
	"fmt"
	"math"
	"math/bits"
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

// Resources is an amount of processors, memory and accelerators. Its arithmetic saturates: a
// result beyond the range of a dimension is the end of that range.
type Resources struct {
	CPU          MilliCPU `json:"cpu_milli"`
	Memory       Bytes    `json:"memory_bytes"`
	Accelerators int64    `json:"accelerators"`
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		CPU:          saturatingSum(r.CPU, o.CPU),
		Memory:       saturatingSum(r.Memory, o.Memory),
		Accelerators: saturatingSum(r.Accelerators, o.Accelerators),
	}
}

// Minus returns the difference of both amounts, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		CPU:          saturatingDifference(r.CPU, o.CPU),
		Memory:       saturatingDifference(r.Memory, o.Memory),
		Accelerators: saturatingDifference(r.Accelerators, o.Accelerators),
	}
}

// Times returns the amount n times.
func (r Resources) Times(n int64) Resources {
	return Resources{
		CPU:          saturatingProduct(r.CPU, n),
		Memory:       saturatingProduct(r.Memory, n),
		Accelerators: saturatingProduct(r.Accelerators, n),
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

// Bounds of the capacity of one VM, far above any, so that sums over a cell do not overflow.
const (
	maxCapacityCPU          = MilliCPU(100_000 * 1000)
	maxCapacityMemory       = 64 * 1024 * GiB
	maxCapacityAccelerators = 100_000
)

// IsCapacity reports whether a VM can have the amount: no dimension is negative or above 100,000
// cores, 64 TiB of memory or 100,000 accelerators.
func (r Resources) IsCapacity() bool {
	return !r.IsNegative() && r.Fits(Resources{CPU: maxCapacityCPU, Memory: maxCapacityMemory, Accelerators: maxCapacityAccelerators})
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

func saturatingSum[N ~int64](a, b N) N {
	sum := a + b
	switch {
	case a > 0 && b > 0 && sum < 0:
		return math.MaxInt64
	case a < 0 && b < 0 && sum >= 0:
		return math.MinInt64
	default:
		return sum
	}
}

func saturatingDifference[N ~int64](a, b N) N {
	difference := a - b
	switch {
	case a >= 0 && b < 0 && difference < 0:
		return math.MaxInt64
	case a < 0 && b > 0 && difference >= 0:
		return math.MinInt64
	default:
		return difference
	}
}

func saturatingProduct[N ~int64](a N, n int64) N {
	high, low := bits.Mul64(magnitude(int64(a)), magnitude(n))
	isNegative := (a < 0) != (n < 0)
	switch {
	case high == 0 && low <= math.MaxInt64 && isNegative:
		return -N(low)
	case high == 0 && low <= math.MaxInt64:
		return N(low)
	case isNegative:
		return math.MinInt64
	default:
		return math.MaxInt64
	}
}

// magnitude returns the absolute value, also of the least integer.
func magnitude(n int64) uint64 {
	if n < 0 {
		return -uint64(n)
	}
	return uint64(n)
}

func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
