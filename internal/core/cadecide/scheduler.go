// Package cadecide implements the scheduler of one entry: it queues the jobs of
// a shard, decides which tasks start on which upstreams and which tasks end, and
// accounts for the capacity and the allowances in use. It has no clock, no
// goroutines and no I/O.
package cadecide

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caeject"
	"celeryarch.example/celeryarch/internal/core/caestimate"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/capreempt"
	"celeryarch.example/celeryarch/internal/core/caqueue"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/core/cashare"
)

const workKindCount = int(cawork.WorkKindGang) + 1

// team is the scheduling state of a team.
type team struct {
	*cashare.Team
	queue  *caqueue.Queue[*caledger.Job]
	queued [workKindCount]int
	// urgentQueued counts the urgent jobs in the queue.
	urgentQueued   int
	startIntervals [workKindCount]startInterval
	records        [workKindCount]*caestimate.Record
	// allowanceSeq counts the changes that free allowance of the team. Jobs that
	// exceeded the allowance are tried again when it has changed.
	allowanceSeq uint64
	// exhaustedRound is the latest round in which the team was found to have no
	// job to place, to unblock or to offer to other entries.
	exhaustedRound uint64
	// awaitsCapacity is the result of isAwaitingCapacity in round awaitsRound.
	awaitsCapacity bool
	awaitsRound    uint64
	// deferredToSince is the time since which placements of other teams are
	// deferred in favor of this team, zero when none are.
	deferredToSince time.Time
	// nextRetry is when unblockTeam tries passed-over jobs again.
	nextRetry time.Time
	// nextUrgentSearch is the earliest time of the next unblockUrgent search.
	nextUrgentSearch time.Time
}

// Scheduler implements casched.Scheduler.
type Scheduler struct {
	policy         casched.Policy
	report         func(*casched.Violation)
	index          *caplace.Index
	shares         *cashare.Table
	ledger         *caledger.Ledger
	estimator      *caestimate.Estimator
	monitor        *caeject.Monitor
	teams          map[cawork.TeamName]*team
	sortedTeams    []*team
	remoteUse      casched.RemoteUse
	upstreamShapes []casched.Upstream
	reservations   map[casched.ReservationID]*reservation
	// holds are the capacity held for blocked jobs of this entry; reservations are
	// made for callers of Reserve.
	holds           []*jobHold
	deadlines       *caqueue.Queue[*caledger.Job]
	deadlineEntries map[cawork.JobID]*caqueue.Entry[*caledger.Job]
	// brokenGangs are gangs that lost a member and may still have open tasks.
	brokenGangs []*caledger.Job
	// stopRequested are the tasks that were asked to end, some of which may have
	// ended since.
	stopRequested []*caledger.Task
	// pendingDecisions were made between calls of Decide.
	pendingDecisions []casched.Decision
	round            uint64
	// roundLevel is the fair level at the start of the placement round.
	roundLevel float64
	// hasUntried is set when the placement round left jobs untried that may fit.
	hasUntried bool
	// estimateEpoch counts the changes of the policy and of the capacity, after
	// which estimates are recomputed.
	estimateEpoch uint64
	nextUnblock   time.Time

	// decisions are the result of the current call of Decide. The slices below are
	// kept to reuse their memory.
	decisions  []casched.Decision
	candidates []*class
	victimPool []capreempt.Victim
	hostPool   []capreempt.Host
	foundHosts []caplace.HostIndex
	// victimHosts are the upstreams that are searched for tasks to preempt.
	victimHosts []caplace.HostIndex
	// siblingHosts are the upstreams with other tasks of the job to be placed.
	siblingHosts []caplace.HostIndex
}

var _ casched.Scheduler = (*Scheduler)(nil)

// New returns an empty scheduler. Broken invariants are passed to report.
func New(p casched.Policy, report func(*casched.Violation)) *Scheduler {
	return &Scheduler{
		policy:          p,
		report:          report,
		index:           caplace.NewIndex(),
		shares:          cashare.NewTable(),
		ledger:          caledger.NewLedger(report),
		estimator:       caestimate.NewEstimator(),
		monitor:         caeject.NewMonitor(),
		teams:           map[cawork.TeamName]*team{},
		reservations:    map[casched.ReservationID]*reservation{},
		deadlines:       caqueue.NewQueue[*caledger.Job](),
		deadlineEntries: map[cawork.JobID]*caqueue.Entry[*caledger.Job]{},
	}
}

func (s *Scheduler) team(name cawork.TeamName) *team {
	t, ok := s.teams[name]
	if ok {
		return t
	}
	t = &team{Team: s.shares.Team(name), queue: caqueue.NewQueue[*caledger.Job](), allowanceSeq: 1}
	for k := range t.records {
		t.records[k] = s.estimator.Record(name, cawork.WorkKind(k))
	}
	s.shares.SetWeight(t.Team, s.policy.Weight(name))
	s.teams[name] = t
	i, _ := slices.BinarySearchFunc(s.sortedTeams, name, func(o *team, n cawork.TeamName) int {
		return cmp.Compare(o.Name, n)
	})
	s.sortedTeams = slices.Insert(s.sortedTeams, i, t)
	return t
}

// SetPolicy implements casched.Scheduler.
func (s *Scheduler) SetPolicy(p casched.Policy, _ time.Time) {
	s.policy = p
	s.estimateEpoch++
	s.shares.SetWeights(p)
	s.index.InvalidateSearches()
}

// PutUpstream implements casched.Scheduler.
func (s *Scheduler) PutUpstream(u casched.Upstream, _ time.Time) {
	s.index.Put(u)
	s.capacityChanged()
}

// RemoveUpstream implements casched.Scheduler.
func (s *Scheduler) RemoveUpstream(id cawork.UpstreamID, _ time.Time) {
	h, ok := s.index.Host(id)
	if !ok {
		return
	}
	s.dropHoldsOn(h)
	s.monitor.Remove(id)
	s.index.SetHealthState(h, caplace.StateOpen)
	s.index.Remove(id)
	s.capacityChanged()
}

func (s *Scheduler) capacityChanged() {
	s.upstreamShapes = nil
	s.estimateEpoch++
	s.shares.SetTotal(s.index.Capacity().Size.Plus(s.remoteUse.Capacity))
}

// SetAllowance implements casched.Scheduler.
func (s *Scheduler) SetAllowance(name cawork.TeamName, amount cawork.Resources, _ time.Time) {
	t := s.team(name)
	t.Allowance = amount
	t.allowanceSeq++
}

// SetRemoteUse implements casched.Scheduler.
func (s *Scheduler) SetRemoteUse(r casched.RemoteUse, _ time.Time) {
	s.remoteUse = r
	for _, u := range r.Teams {
		s.team(u.Team)
	}
	s.shares.SetRemote(r)
	s.capacityChanged()
}

// charge charges the amount to the allowance of the team; refund returns it.
func (s *Scheduler) charge(t *team, r cawork.Resources) { s.shares.Charge(t.Team, r) }

func (s *Scheduler) refund(t *team, r cawork.Resources) {
	s.shares.Charge(t.Team, cawork.Resources{}.Minus(r))
	t.allowanceSeq++
}

// demand returns the demand of a task of the job, corrected by observed usage.
func (s *Scheduler) demand(j *caledger.Job) caplace.Demand {
	s.updateEstimates(j)
	return j.Demand
}

// expectedRunTime returns the expected run time of a task of the job, zero when
// it is unknown.
func (s *Scheduler) expectedRunTime(j *caledger.Job) time.Duration {
	s.updateEstimates(j)
	return j.RunTime
}

// updateEstimates recomputes the demand and the run time of the job when the
// usage record, the policy or the capacity has changed.
func (s *Scheduler) updateEstimates(j *caledger.Job) {
	if j.Record == nil {
		j.Record = s.team(j.Team).records[j.Spec.Kind]
	}
	version := 1 + j.Record.Version() + s.estimateEpoch
	if j.EstimateVersion == version {
		return
	}
	j.EstimateVersion = version
	size := j.Spec.Size
	j.RunTime = j.Spec.RunTime
	if s.policy.CorrectSizes {
		size = j.Record.Size(size)
	}
	if s.policy.CorrectRunTimes {
		j.RunTime = j.Record.RunTime(j.RunTime)
	}
	if j.Spec.Kind == cawork.WorkKindService {
		j.RunTime = 0
	}
	size = elementwiseMax(size, j.SizeFloor)
	if !size.Fits(j.Spec.Size) && !s.couldFit(j, size) {
		size = j.Spec.Size
	}
	j.Demand = s.demandOf(size, j.Spec.Kind)
}

// couldFit reports whether a task of the size would fit on an idle upstream that
// satisfies the constraints of the job.
func (s *Scheduler) couldFit(j *caledger.Job, size cawork.Resources) bool {
	for _, u := range s.knownUpstreamShapes() {
		if size.Fits(u.Capacity) && u.Admits(j.Spec.Constraints) {
			return true
		}
	}
	return false
}

func (s *Scheduler) demandOf(size cawork.Resources, k cawork.WorkKind) caplace.Demand {
	p := s.policy.Kind(k)
	return caplace.Demand{Size: size, Slots: p.Slots, Connections: p.Connections}
}

func elementwiseMax(a, b cawork.Resources) cawork.Resources {
	return cawork.Resources{
		CPU:          max(a.CPU, b.CPU),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// expectedEnd returns when a task of the job is expected to end if it starts
// now, zero when that is unknown.
func (s *Scheduler) expectedEnd(j *caledger.Job, now time.Time) time.Time {
	d := s.expectedRunTime(j)
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// query returns the placement query for a task of the job.
func (s *Scheduler) query(j *caledger.Job, now time.Time) caplace.Query {
	q := caplace.Query{
		Demand: s.demand(j), Constraints: j.Spec.Constraints, Placement: s.policy.Kind(j.Spec.Kind).Placement,
		Job: j.ID, End: s.expectedEnd(j, now), Probe: j.Spec.Idempotent && !j.IsGang(),
	}
	if q.Placement == cawork.PlacementSpread {
		s.siblingHosts = s.siblingHosts[:0]
		for _, t := range j.OpenTasks {
			if t.Host != caplace.NoHost {
				s.siblingHosts = append(s.siblingHosts, t.Host)
			}
		}
		q.JobHosts = s.siblingHosts
	}
	return q
}

func (s *Scheduler) fleetCapacity() cawork.Resources {
	return s.index.Capacity().Size.Plus(s.remoteUse.Capacity)
}

// knownUpstreamShapes returns one upstream of each shape among those of this and
// of the other entries.
func (s *Scheduler) knownUpstreamShapes() []casched.Upstream {
	if s.upstreamShapes != nil {
		return s.upstreamShapes
	}
	seen := map[casched.Upstream]bool{}
	add := func(u casched.Upstream) {
		u.ID, u.Leaving, u.Slots, u.Connections = "", false, 0, 0
		if !seen[u] {
			seen[u] = true
			s.upstreamShapes = append(s.upstreamShapes, u)
		}
	}
	for h := range s.index.HostBound() {
		if s.index.StateOf(h) != caplace.StateRemoved {
			add(s.index.Upstream(h))
		}
	}
	for _, u := range s.remoteUse.Shapes {
		add(u)
	}
	return s.upstreamShapes
}

func (s *Scheduler) reportViolation(i casched.Invariant, format string, args ...any) {
	s.report(casched.Violationf(i, format, args...))
}
