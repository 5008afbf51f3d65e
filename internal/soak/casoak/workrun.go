package casoak

import (
	"context"
	"fmt"
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
	// watchTime bounds the time after the load.
	watchTime = 30 * time.Second
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
	// waited holds the steps with a recorded violation.
	waited map[standin.StepName]bool
}

// runWorkload runs one cell under a workload and faults and checks its guarantees. The load goes
// on for half of the duration after the last fault.
func runWorkload(ctx context.Context, o Options) (Report, error) {
	l := newOutcomeLog()
	r := &workRun{work: newWorkGenerator(*o.Workload, l, o.Seed), outcomes: l, ended: make(map[cawork.JobID]bool), waited: make(map[standin.StepName]bool)}
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
	if err := c.serveStandins(ctx, loopbackIP(o.RunIndex, o.Nodes), o.Upstreams); err != nil {
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

// watchWaits looks for jobs that wait although there is room until all have ended or
// watchTime has passed.
func (r *workRun) watchWaits(ctx context.Context, o Options) {
	w := &caworkload.WaitWatch{
		Workload: r.work.workload(), Capacity: o.Workload.Upstream.Resources().Times(int64(o.Upstreams)), TeamOf: r.work.teamOf, Approves: r.advisor.Approves,
	}
	loadEnd := time.Now()
	for {
		open := r.openJobs(ctx)
		now := time.Now()
		for _, wait := range w.Observe(now, r.cell.fleet.View(), open) {
			r.checkWait(wait, now.Sub(loadEnd))
		}
		r.report.Unfinished = len(open)
		if len(open) == 0 || now.Sub(loadEnd) > watchTime || r.cell.timer.Pause(ctx, settlePollInterval) != nil {
			return
		}
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

// openJobs returns the accepted jobs that have not ended. Jobs whose phase no node reports are
// left out.
func (r *workRun) openJobs(ctx context.Context) []caworkload.Job {
	v := r.cell.fleet.View()
	var open []caworkload.Job
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, phaseCallers)
	for _, j := range r.work.accepted() {
		if r.hasEnded(j.Spec.ID, &mu) || tasksLeft(v, j) == 0 {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			phase, known := r.phaseOf(ctx, j)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case known && (phase == castate.PhaseQueued || phase == castate.PhaseRunning):
				open = append(open, j)
			case known:
				r.ended[j.Spec.ID] = true
			}
		})
	}
	calls.Wait()
	return open
}

func (r *workRun) hasEnded(id cawork.JobID, mu *sync.Mutex) bool {
	mu.Lock()
	defer mu.Unlock()
	return r.ended[id]
}

// tasksLeft returns the number of tasks of a job that have not completed.
func tasksLeft(v standin.View, j caworkload.Job) int {
	left := 0
	for i, s := range j.Spec.Steps {
		left += s.Tasks - v.Done[standin.StepName{Job: j.Spec.ID, Step: i}]
	}
	return left
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
