package cadecide_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

const (
	// packingTarget is the part of an offline first-fit-decreasing that must be
	// reached.
	packingTarget = 0.95
	// shareTarget is how far a backlogged team may be from its owed share.
	shareTarget = 0.05
)

func randomSizes(rng *rand.Rand, m mix) []cawork.Resources {
	total := m.worker.Times(mixWorkers)
	var out []cawork.Resources
	for sum := (cawork.Resources{}); sum.DominantShare(total) < 1.5; {
		r := cawork.Resources{
			CPU:    cawork.MilliCPU(250 * (1 + rng.Int64N(int64(m.worker.CPU)/500))),
			Memory: cawork.Bytes(1+rng.Int64N(int64(m.worker.Memory/cawork.GiB/2))) * cawork.GiB,
		}
		out = append(out, r)
		sum = sum.Plus(r)
	}
	return out
}

// firstFitDecreasing packs the sizes offline, largest first, and returns what
// is used.
func firstFitDecreasing(sizes []cawork.Resources, worker cawork.Resources) cawork.Resources {
	sorted := slices.Clone(sizes)
	slices.SortStableFunc(sorted, func(a, b cawork.Resources) int {
		return int(math.Copysign(1, b.DominantShare(worker)-a.DominantShare(worker)))
	})
	var used cawork.Resources
	free := slices.Repeat([]cawork.Resources{worker}, mixWorkers)
	for _, s := range sorted {
		for i := range free {
			if s.Fits(free[i]) {
				free[i] = free[i].Minus(s)
				used = used.Plus(s)
				break
			}
		}
	}
	return used
}

// packed queues the sizes in the order given and returns what is used.
func packed(tb testing.TB, sizes []cawork.Resources, m mix, s cawork.Placement) cawork.Resources {
	p := casched.DefaultPolicy()
	kp := p.Kind(cawork.WorkKindBatch)
	kp.Placement = s
	l := newLoop(tb, m, p.WithKind(cawork.WorkKindBatch, kp), 7)
	for i, r := range sizes {
		spec := cawork.JobSpec{Kind: cawork.WorkKindBatch, Tasks: 1, Size: r}
		j := cawork.Job{ID: cawork.JobID(fmt.Sprintf("j%d", i)), Team: l.team(i % len(m.weights)), Spec: spec, Accepted: l.now}
		if err := l.s.Submit(j, l.now); err != nil {
			tb.Fatal(err)
		}
	}
	for len(l.s.Decide(l.now)) > 0 {
	}
	return l.s.Capacity().Minus(l.s.Free())
}

// parts returns the mean of the used parts of both dimensions.
func parts(used, total cawork.Resources) float64 {
	return (float64(used.CPU)/float64(total.CPU) + float64(used.Memory)/float64(total.Memory)) / 2
}

// packingRatio returns the mean and the least ratio to the offline packing.
func packingRatio(tb testing.TB, m mix, s cawork.Placement) (float64, float64) {
	rng := rand.New(rand.NewPCG(3, 5))
	total := m.worker.Times(mixWorkers)
	mean, least := 0.0, math.Inf(1)
	const draws = 20
	for range draws {
		sizes := randomSizes(rng, m)
		ratio := parts(packed(tb, sizes, m, s), total) / parts(firstFitDecreasing(sizes, m.worker), total)
		mean += ratio / draws
		least = min(least, ratio)
	}
	return mean, least
}

func TestPackingReachesTheOfflineTarget(t *testing.T) {
	for _, m := range []mix{haugland, lettergrove} {
		if _, least := packingRatio(t, m, cawork.PlacementPack); least < packingTarget {
			t.Errorf("%s: packing reaches %.3f of first-fit-decreasing, want %.2f", m.name, least, packingTarget)
		}
	}
}

func BenchmarkPacking(b *testing.B) {
	for _, m := range []mix{haugland, lettergrove} {
		for _, s := range cawork.PlacementValues() {
			b.Run(m.name+"/"+s.String(), func(b *testing.B) {
				for b.Loop() {
					mean, least := packingRatio(b, m, s)
					b.ReportMetric(100*mean, "mean-%-of-ffd")
					b.ReportMetric(100*least, "least-%-of-ffd")
				}
			})
		}
	}
}

// worstShare keeps all teams of the mix backlogged with batch work and returns
// the largest deviation of a team from its owed dominant share, at any sample
// after ten median run times.
func worstShare(tb testing.TB, m mix) float64 {
	l := newLoop(tb, m, casched.DefaultPolicy(), 7)
	total := m.worker.Times(mixWorkers)
	worst := 0.0
	for l.now.Before(start.Add(30 * time.Minute)) {
		for i := range m.weights {
			for l.s.QueueLength(l.team(i), cawork.WorkKindBatch) < 50 {
				l.submitSmall(i)
			}
		}
		l.decide()
		l.advance(l.now.Add(time.Second))
		if l.now.Sub(start) >= 10*time.Minute {
			worst = max(worst, l.deviation(total))
		}
	}
	return worst
}

// submitSmall submits batch work of a minute at the median.
func (l *loop) submitSmall(team int) {
	r := l.rng
	l.jobs++
	t := truth{
		used: cawork.Resources{
			CPU:    cawork.MilliCPU(250 * (1 + r.Int64N(4))),
			Memory: cawork.Bytes(256*(1+r.Int64N(4))) * cawork.MiB,
		},
		runTime: time.Duration(60 * math.Exp(r.NormFloat64()/2) * float64(time.Second)),
	}
	t.job = cawork.Job{
		ID: cawork.JobID(fmt.Sprintf("s%d", l.jobs)), Team: l.team(team), Accepted: l.now,
		Spec: cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 1 + r.IntN(4), Size: t.used, RunTime: t.runTime, Idempotent: true,
		},
	}
	l.truths[t.job.ID] = t
	if err := l.s.Submit(t.job, l.now); err != nil {
		l.tb.Fatal(err)
	}
}

// deviation returns how far the weighted shares are from their mean at most.
func (l *loop) deviation(total cawork.Resources) float64 {
	sum, weights := 0.0, 0.0
	for i, w := range l.m.weights {
		sum += l.use(i).DominantShare(total)
		weights += float64(w)
	}
	worst := 0.0
	for i, w := range l.m.weights {
		owed := sum / weights * float64(w)
		worst = max(worst, math.Abs(l.use(i).DominantShare(total)/owed-1))
	}
	return worst
}

func (l *loop) use(team int) cawork.Resources {
	for _, u := range l.s.Uses() {
		if u.Team == l.team(team) {
			return u.Use
		}
	}
	return cawork.Resources{}
}

func TestBackloggedTeamsGetTheirShares(t *testing.T) {
	for _, m := range []mix{haugland, lettergrove} {
		if worst := worstShare(t, m); worst > shareTarget {
			t.Errorf("%s: a team is %.1f%% off its share, want %.0f%%", m.name, 100*worst, 100*shareTarget)
		}
	}
}

func BenchmarkShares(b *testing.B) {
	for _, m := range []mix{haugland, lettergrove} {
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(100*worstShare(b, m), "worst-%-off")
			}
		})
	}
}

// TestWholeMixStartsEveryKindOfWork runs look-ups and accelerated work beside
// the rest; the scheduler reports broken invariants on its own.
func TestWholeMixStartsEveryKindOfWork(t *testing.T) {
	l := newLoop(t, haugland.whole(.1), casched.DefaultPolicy(), 1)
	l.run()
	for _, k := range cawork.WorkKindValues() {
		if len(l.waits[k]) == 0 {
			t.Errorf("no work of kind %v has started", k)
		}
	}
	if len(l.urgent) == 0 || len(l.accelerated) == 0 {
		t.Errorf("%d urgent tasks and %d with accelerators have started, want some", len(l.urgent), len(l.accelerated))
	}
}
