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
	// packingTarget is the minimum utilization as a fraction of that of offline
	// first-fit-decreasing packing.
	packingTarget = 0.95
	// shareTarget is the maximum relative difference of a backlogged team from its
	// fair share.
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

// firstFitDecreasing packs the sizes offline, largest first, and returns the
// capacity used.
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

// packWithScheduler submits a task of each size in the given order and returns
// the capacity used.
func packWithScheduler(tb testing.TB, sizes []cawork.Resources, m mix, s cawork.Placement) cawork.Resources {
	p := casched.DefaultPolicy()
	kp := p.Kind(cawork.WorkKindBatch)
	kp.Placement = s
	sim := newSimulation(tb, m, p.WithKind(cawork.WorkKindBatch, kp), 7)
	for i, r := range sizes {
		spec := cawork.JobSpec{Kind: cawork.WorkKindBatch, Tasks: 1, Size: r}
		j := cawork.Job{ID: cawork.JobID(fmt.Sprintf("j%d", i)), Team: sim.team(i % len(m.weights)), Spec: spec, Accepted: sim.now}
		if err := sim.scheduler.Submit(j, sim.now); err != nil {
			tb.Fatal(err)
		}
	}
	for len(sim.scheduler.Decide(sim.now)) > 0 {
	}
	return sim.scheduler.Capacity().Minus(sim.scheduler.Free())
}

// meanUsedPart returns the mean utilization of CPU and memory.
func meanUsedPart(used, total cawork.Resources) float64 {
	return (float64(used.CPU)/float64(total.CPU) + float64(used.Memory)/float64(total.Memory)) / 2
}

// packingRatio returns the mean and the minimum ratio of the utilization to that
// of offline packing.
func packingRatio(tb testing.TB, m mix, s cawork.Placement) (float64, float64) {
	rng := rand.New(rand.NewPCG(3, 5))
	total := m.worker.Times(mixWorkers)
	mean, least := 0.0, math.Inf(1)
	const draws = 20
	for range draws {
		sizes := randomSizes(rng, m)
		ratio := meanUsedPart(packWithScheduler(tb, sizes, m, s), total) / meanUsedPart(firstFitDecreasing(sizes, m.worker), total)
		mean += ratio / draws
		least = min(least, ratio)
	}
	return mean, least
}

func TestPackingReachesTheOfflineTarget(t *testing.T) {
	for _, m := range []mix{haugland, lettergrove} {
		if _, least := packingRatio(t, m, cawork.PlacementPack); least < packingTarget {
			t.Errorf("%s: packing reaches %.3f of first-fit-decreasing, want at least %.2f", m.name, least, packingTarget)
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

// worstShareError keeps all teams of the mix backlogged with batch work. It
// returns the largest relative difference of a team from its fair dominant share
// in any sample after ten median run times.
func worstShareError(tb testing.TB, m mix) float64 {
	sim := newSimulation(tb, m, casched.DefaultPolicy(), 7)
	total := m.worker.Times(mixWorkers)
	worst := 0.0
	for sim.now.Before(start.Add(30 * time.Minute)) {
		for i := range m.weights {
			for sim.scheduler.QueueLength(sim.team(i), cawork.WorkKindBatch) < 50 {
				sim.submitShortBatch(i)
			}
		}
		sim.decide()
		sim.advance(sim.now.Add(time.Second))
		if sim.now.Sub(start) >= 10*time.Minute {
			worst = max(worst, sim.maxShareError(total))
		}
	}
	return worst
}

// submitShortBatch submits a batch job with a median run time of one minute.
func (sim *simulation) submitShortBatch(team int) {
	r := sim.rng
	sim.jobs++
	t := trueJob{
		used: cawork.Resources{
			CPU:    cawork.MilliCPU(250 * (1 + r.Int64N(4))),
			Memory: cawork.Bytes(256*(1+r.Int64N(4))) * cawork.MiB,
		},
		runTime: time.Duration(60 * math.Exp(r.NormFloat64()/2) * float64(time.Second)),
	}
	t.job = cawork.Job{
		ID: cawork.JobID(fmt.Sprintf("s%d", sim.jobs)), Team: sim.team(team), Accepted: sim.now,
		Spec: cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 1 + r.IntN(4), Size: t.used, RunTime: t.runTime, Idempotent: true,
		},
	}
	sim.trueJobs[t.job.ID] = t
	if err := sim.scheduler.Submit(t.job, sim.now); err != nil {
		sim.tb.Fatal(err)
	}
}

// maxShareError returns the largest relative difference of a team's weighted
// share from the mean.
func (sim *simulation) maxShareError(total cawork.Resources) float64 {
	sum, weights := 0.0, 0.0
	for i, w := range sim.mix.weights {
		sum += sim.use(i).DominantShare(total)
		weights += float64(w)
	}
	worst := 0.0
	for i, w := range sim.mix.weights {
		fair := sum / weights * float64(w)
		worst = max(worst, math.Abs(sim.use(i).DominantShare(total)/fair-1))
	}
	return worst
}

func (sim *simulation) use(team int) cawork.Resources {
	for _, u := range sim.scheduler.TeamUses() {
		if u.Team == sim.team(team) {
			return u.Use
		}
	}
	return cawork.Resources{}
}

func TestBackloggedTeamsGetTheirShares(t *testing.T) {
	for _, m := range []mix{haugland, lettergrove} {
		if worst := worstShareError(t, m); worst > shareTarget {
			t.Errorf("%s: a team is %.1f%% off its share, want at most %.0f%%", m.name, 100*worst, 100*shareTarget)
		}
	}
}

func BenchmarkShares(b *testing.B) {
	for _, m := range []mix{haugland, lettergrove} {
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(100*worstShareError(b, m), "worst-%-off")
			}
		})
	}
}

// TestEveryKindOfWorkStarts runs a mix with look-ups and accelerated work. It also
// fails when the scheduler reports a broken invariant.
func TestEveryKindOfWorkStarts(t *testing.T) {
	sim := newSimulation(t, haugland.withAllKinds(.1), casched.DefaultPolicy(), 1)
	sim.run()
	for _, k := range cawork.WorkKindValues() {
		if len(sim.waits[k]) == 0 {
			t.Errorf("no work of kind %v has started", k)
		}
	}
	if len(sim.urgentWaits) == 0 || len(sim.acceleratedWaits) == 0 {
		t.Errorf("%d urgent tasks and %d with accelerators have started, want some", len(sim.urgentWaits), len(sim.acceleratedWaits))
	}
}
