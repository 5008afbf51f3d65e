package casoak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/soak/caworkload"
	"celeryarch.example/celeryarch/platform/standin"
)

const (
	// maxWait is how long a job may have nothing running while there is room.
	maxWait = 3 * time.Second
	// finishTime is how long after the load a longer wait is no violation yet.
	finishTime = 14 * time.Second
	// watchTime is how long the jobs are watched after the load, and maxWatchTime how long at most, while
	// some make progress.
	watchTime    = 30 * time.Second
	maxWatchTime = time.Minute
	// maxStall is how long a job may make no progress at the end of the watch, though there is room.
	maxStall = 10 * time.Second
	// maxListedWaits bounds the waits that a report lists one by one.
	maxListedWaits = 20
	// phaseCallers is the number of concurrent questions for phases.
	phaseCallers = 16
	// sharedCaller is the caller of all questions to an advisor with one turn.
	sharedCaller = "all"
)

// workRun is a soak with a workload.
type workRun struct {
	cell     *cell
	work     *workGenerator
	advisor  *standin.TurnAdvisor
	outcomes *outcomeLog
	report   Report
	// ended holds the accepted jobs that have ended.
	ended map[cawork.JobID]bool
	// waited holds the steps, and silent the jobs without an answer, with a recorded violation.
	waited map[standin.StepName]bool
	silent map[cawork.JobID]bool
}

// runWorkload runs one cell under a workload and faults and checks its guarantees. The load goes
// on for half of the duration after the last fault.
func runWorkload(ctx context.Context, o Options) (Report, error) {
	l := newOutcomeLog()
	r := &workRun{work: newWorkGenerator(*o.Workload, l, o.Seed), outcomes: l, ended: make(map[cawork.JobID]bool), waited: make(map[standin.StepName]bool), silent: make(map[cawork.JobID]bool)}
	r.report.Plan = o.plan()
	err := r.prepare(ctx, o)
	defer r.cell.close()
	if err != nil {
		return r.report, err
	}
	if err := r.cell.startNodes(ctx); err != nil {
		return r.report, err
	}
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go r.cell.watchViolations(watchCtx, l)
	go r.cell.watchRegistrations(watchCtx)
	if err := r.runLoad(ctx, o.Duration); err != nil {
		return r.report, err
	}
	r.watchWaits(ctx, o)
	stopWatching()
	if more := len(r.waited) - maxListedWaits; more > 0 {
		l.recordViolation("%d more steps wait so", more)
	}
	r.complete()
	return r.report, nil
}

// prepare starts the stand-ins and prepares the nodes. Each has an advisor of its own, unless the
// questions of all wait for each other.
func (r *workRun) prepare(ctx context.Context, o Options) error {
	c := newStandins(o, o.Workload.Upstream.Resources())
	r.cell, c.work, c.zones = c, r.work, o.Workload.Zones
	r.work.addCallers(c)
	r.advisor = standin.NewTurnAdvisor(r.work.terms, c.fleet.Incarnation)
	c.emulator.Turns = r.advisor
	r.work.applyTo(c.fleet)
	c.fleet.SetTickets(r.advisor.IsValid)
	zones := make(map[cawork.UpstreamID]cawork.ZoneName, o.Upstreams)
	for i := range o.Upstreams {
		zones[upstreamName(i)] = cawork.ZoneName(c.zoneOf(i))
	}
	c.fleet.SetZones(func(id cawork.UpstreamID) cawork.ZoneName { return zones[id] })
	if err := c.serveStandins(ctx, loopbackIP(o.RunIndex, o.Nodes), o.Upstreams, o.Shards); err != nil {
		return err
	}
	if err := r.serveAdvisors(o); err != nil {
		return err
	}
	return c.addNodes(ctx, o, o.Dir, func(i int) string { return fmt.Sprintf("%s:%d", loopbackIP(o.RunIndex, i), portAdvisor) })
}

func (r *workRun) serveAdvisors(o Options) error {
	for i := range o.Nodes {
		caller := fmt.Sprintf("node-%d", i)
		if o.Workload.Advisor.OneTurn {
			caller = sharedCaller
		}
		if err := r.cell.serve(loopbackIP(o.RunIndex, i), portAdvisor, r.cell.emulator.AdvisorHandler(caller)); err != nil {
			return err
		}
	}
	return nil
}

// runLoad submits jobs during the faults and for half of the duration after them.
func (r *workRun) runLoad(ctx context.Context, during time.Duration) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	began := time.Now()
	go r.work.run(loadCtx, r.cell)
	go newQueryLoad(r.cell, r.outcomes, r.work.targetOf).run(loadCtx)
	if err := r.cell.runPlan(ctx, r.report.Plan, r.outcomes); err != nil {
		return err
	}
	if err := r.cell.timer.Pause(ctx, max(0, during-time.Since(began))); err != nil {
		return err
	}
	r.cell.endFaults(r.outcomes)
	return r.cell.timer.Pause(ctx, during/2)
}

// watchWaits looks for jobs that wait although there is room until all have ended or watchTime has
// passed, and longer while jobs make progress.
func (r *workRun) watchWaits(ctx context.Context, o Options) {
	w := &caworkload.WaitWatch{
		Workload: r.work.workload(), Capacity: o.Workload.Upstream.Resources().Times(int64(o.Upstreams)), TeamOf: r.work.teamOf, Approves: r.advisor.Approves,
	}
	stalls := &caworkload.StallWatch{Waits: w}
	loadEnd := time.Now()
	for {
		open, silent := r.openJobs(ctx)
		now, v := time.Now(), r.cell.fleet.View()
		for _, wait := range w.Observe(now, v, open) {
			r.checkWait(wait, now.Sub(loadEnd))
		}
		r.checkSilent(silent, now.Sub(loadEnd))
		stalled, others := longStalls(stalls.Observe(now, v, open), open)
		neverFit := func(j caworkload.Job) bool { return w.NeverFits(v, j) }
		r.report.Unfinished, r.report.NeverFit = len(open), len(open)-len(slices.DeleteFunc(slices.Clone(open), neverFit))
		isStill := len(slices.DeleteFunc(others, neverFit)) == 0
		if isWatchOver(now.Sub(loadEnd), len(open) == 0, isStill) || r.cell.timer.Pause(ctx, settlePollInterval) != nil {
			r.recordAll("unfinished", stalled)
			return
		}
	}
}

// isWatchOver reports whether the watch ends at a time after the load.
func isWatchOver(afterLoad time.Duration, isFinished, isStill bool) bool {
	return isFinished || afterLoad > watchTime && isStill || afterLoad > maxWatchTime
}

// longStalls returns the stalls that are violations at the end of the watch, and the other open jobs.
func longStalls(stalls []caworkload.Stall, open []caworkload.Job) (long []fmt.Stringer, others []caworkload.Job) {
	isLong := make(map[cawork.JobID]bool)
	for _, s := range stalls {
		if s.For > maxStall {
			long, isLong[s.Job.Spec.ID] = append(long, s), true
		}
	}
	others = slices.DeleteFunc(slices.Clone(open), func(j caworkload.Job) bool { return isLong[j.Spec.ID] })
	return long, others
}

// checkSilent records a violation for each job about which no node answers in time after the load.
func (r *workRun) checkSilent(silent []caworkload.Job, afterLoad time.Duration) {
	if afterLoad <= finishTime {
		return
	}
	var found []fmt.Stringer
	for _, j := range silent {
		if !r.silent[j.Spec.ID] {
			r.silent[j.Spec.ID] = true
			found = append(found, silentJob(j.Spec.ID))
		}
	}
	r.recordAll(fmt.Sprintf("%v after the load", afterLoad.Round(100*time.Millisecond)), found)
}

// silentJob is an accepted job about which no node answers in time.
type silentJob cawork.JobID

// String describes the job for a report.
func (s silentJob) String() string { return "no node answers in time for job " + string(s) }

// recordAll records violations, maxListedWaits of them one by one.
func (r *workRun) recordAll(prefix string, list []fmt.Stringer) {
	for _, v := range list[:min(len(list), maxListedWaits)] {
		r.outcomes.recordViolation("%s: %v", prefix, v)
	}
	if more := len(list) - maxListedWaits; more > 0 {
		r.outcomes.recordViolation("%s: %d more", prefix, more)
	}
}

// checkWait records a violation if a job waits too long at a time after the load.
func (r *workRun) checkWait(w caworkload.Wait, afterLoad time.Duration) {
	if w.For > r.report.LongestWait.For {
		r.report.LongestWait = w
	}
	if w.For <= maxWait || afterLoad <= finishTime || r.waited[w.Step] {
		return
	}
	r.waited[w.Step] = true
	if len(r.waited) > maxListedWaits {
		return
	}
	r.outcomes.recordViolation("%v after the load, at %s: %s", afterLoad.Round(100*time.Millisecond), time.Now().Format(time.TimeOnly+".000"), w)
}

// openJobs returns the accepted jobs that have not ended, and those of them whose phase no node reports.
func (r *workRun) openJobs(ctx context.Context) (open, silent []caworkload.Job) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, phaseCallers)
	for _, j := range r.work.accepted() {
		if r.hasEnded(j.Spec.ID, &mu) {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			phase, known := r.phaseOf(ctx, j)
			mu.Lock()
			defer mu.Unlock()
			if known && phase != castate.PhaseQueued && phase != castate.PhaseRunning {
				r.ended[j.Spec.ID] = true
				return
			}
			open = append(open, j)
			if !known {
				silent = append(silent, j)
			}
		})
	}
	calls.Wait()
	return open, silent
}

func (r *workRun) hasEnded(id cawork.JobID, mu *sync.Mutex) bool {
	mu.Lock()
	defer mu.Unlock()
	return r.ended[id]
}

// phaseOf asks the nodes in turn for the phase of a job. It records a violation if they do not
// have an accepted job.
func (r *workRun) phaseOf(ctx context.Context, j caworkload.Job) (castate.Phase, bool) {
	for _, n := range r.cell.nodes {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer := r.work.callers[j.Team.Name].Phase(callCtx, n.address(portFront), j.Queue.Spec(poolName), j.Spec.ID)
		cancel()
		if answer.IsGone() {
			r.outcomes.recordViolation("job %s was accepted but is unknown to the nodes", j.Spec.ID)
			return castate.PhaseFailed, true
		}
		if answer.IsAccepted() {
			return answer.Phase, true
		}
	}
	return castate.PhaseQueued, false
}

// complete fills in the counts of the report.
func (r *workRun) complete() {
	r.report.Accepted, r.report.Refused, r.report.Canceled, r.report.Unknown = r.outcomes.counts()
	r.report.Starts, r.report.Crashes = r.cell.fleet.Starts(), r.cell.fleet.Crashes()
	r.report.Advisor = r.advisor.Use()
	r.report.Calls = r.cell.calls.counts()
	r.report.Broken = r.outcomes.violationList()
}
