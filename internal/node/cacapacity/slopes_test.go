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

// measurement is a cost that grows with a size. The function measure returns the
// cost at one size.
type measurement struct {
	name    string
	unit    string
	sizes   []int
	measure func(b *testing.B, size int) float64
}

// BenchmarkSlopes prints a table with the slopes of all measurements. Run it with
// -benchtime 1x.
func BenchmarkSlopes(b *testing.B) {
	for _, group := range [][]measurement{platformMeasurements, shardMeasurements, coordinationMeasurements, memoryMeasurements} {
		for _, f := range group {
			b.Run(strings.ReplaceAll(f.name, " ", "_"), func(b *testing.B) { f.print(b) })
		}
	}
}

func (f measurement) print(b *testing.B) {
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

// cpuMicroseconds returns the mean processor time of a call: user and system time
// of the whole process. Unlike elapsed time, it does not count waiting for a
// processor on a busy machine.
func cpuMicroseconds(calls int, call func()) float64 {
	runtime.GC()
	before := cpuTime()
	for range calls {
		call()
	}
	return float64((cpuTime() - before).Nanoseconds()) / 1e3 / float64(calls)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapOf returns the bytes of heap that the value returned by build keeps in
// use.
func heapOf(build func() any) float64 {
	before := heapBytes()
	value := build()
	after := heapBytes()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
