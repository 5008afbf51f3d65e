package cacapacity_test

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/node/cacapacity"
)

// figure is a cost that grows with a size. Measure returns it at one size.
type figure struct {
	name    string
	unit    string
	sizes   []int
	measure func(b *testing.B, size int) float64
}

// BenchmarkSlopes prints the table of all slopes. Run it with -benchtime 1x.
func BenchmarkSlopes(b *testing.B) {
	for _, group := range [][]figure{platformFigures, shardFigures, coordinationFigures, memoryFigures} {
		for _, f := range group {
			b.Run(strings.ReplaceAll(f.name, " ", "_"), func(b *testing.B) { f.print(b) })
		}
	}
}

func (f figure) print(b *testing.B) {
	var points []cacapacity.Point
	var costs, sizes []string
	for _, size := range f.sizes {
		cost := f.measure(b, size)
		points = append(points, cacapacity.Point{Size: float64(size), Cost: cost})
		sizes = append(sizes, fmt.Sprint(size))
		costs = append(costs, fmt.Sprintf("%.4g", cost))
	}
	line, err := cacapacity.Fit(points)
	if err != nil {
		b.Fatal(err)
	}
	fmt.Printf("\n| %s | %s | %s | %s | %.4g | %.4g | %.1f%% |\n", f.name, strings.Join(sizes, ", "), f.unit,
		strings.Join(costs, ", "), line.Slope, line.Base, 100*line.Residual)
}

// microseconds returns the processor time of one call, user and system of the
// whole process, so that a busy machine does not count as cost.
func microseconds(calls int, call func()) float64 {
	runtime.GC()
	before := processorTime()
	for range calls {
		call()
	}
	return float64((processorTime() - before).Nanoseconds()) / 1e3 / float64(calls)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapOf returns the heap in bytes that the value of make keeps.
func heapOf(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
