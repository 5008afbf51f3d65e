// Package cadecide is the decision core of one entry: it queues the jobs of a
// shard, decides which task starts where and which must end, and keeps the
// accounts that bound both. It has no clock, no goroutines and no I/O.
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

const kindCount = int(cawork.WorkKindGang) + 1

// team is a team with its queue.
type team struct {
	*cashare.Team
	queue  *caqueue.Queue[*caledger.Job]
	queued [kindCount]int
	// urgent counts the urgent jobs in the queue.
	urgent  int
	pace    [kindCount]pace
	records [kindCount]*caestimate.Record
	// room counts the changes that give the team more allowance to use.
	room      uint64
	exhausted uint64
	// waits tells whether a job of the team waits for room, as of the round
	// waitsSince.
	waits      bool
	waitsSince uint64
	// leftSince is since when others leave room to the team, zero when they do
	// not.
	leftSince time.Time
	// nextRelief is when jobs that were passed over are looked at again.
	nextRelief time.Time
	// nextUrgent is when relief is searched for urgent jobs at the earliest.
	nextUrgent time.Time
}

// Scheduler implements casched.Scheduler.
type Scheduler struct {
	policy       casched.Policy
	report       func(*casched.Violation)
	index        *caplace.Index
	shares       *cashare.Table
	ledger       *caledger.Ledger
	estimator    *caestimate.Estimator
	monitor      *caeject.Monitor
	teams        map[cawork.TeamName]*team
	order        []*team
	remote       casched.RemoteUse
	shapes       []casched.Upstream
	reservations map[casched.ReservationID]*reservation
	claims       []*claim
	deadlines    *caqueue.Queue[*caledger.Job]
	expiry       map[cawork.JobID]*caqueue.Entry[*caledger.Job]
	broken       []*caledger.Job
	asked        []*caledger.Task
	pending      []casched.Decision
	round        uint64
	owed         float64
	unfinished   bool
	policyCount  uint64
	nextRelief   time.Time

	out        []casched.Decision
	candidates []*class
	victimPool []capreempt.Victim
	hostPool   []capreempt.Host
	hosts      []caplace.HostIndex
	// victimHosts are the upstreams that a search for tasks to preempt walks over.
	victimHosts []caplace.HostIndex
	near        []caplace.HostIndex
}

var _ casched.Scheduler = (*Scheduler)(nil)

// New returns an empty scheduler. Broken invariants are reported; what would
// break one is not done.
func New(p casched.Policy, report func(*casched.Violation)) *Scheduler {
	return &Scheduler{
		policy:       p,
		report:       report,
		index:        caplace.NewIndex(),
		shares:       cashare.NewTable(),
		ledger:       caledger.NewLedger(report),
		estimator:    caestimate.NewEstimator(),
		monitor:      caeject.NewMonitor(),
		teams:        map[cawork.TeamName]*team{},
		reservations: map[casched.ReservationID]*reservation{},
		deadlines:    caqueue.NewQueue[*caledger.Job](),
		expiry:       map[cawork.JobID]*caqueue.Entry[*caledger.Job]{},
	}
}

func (s *Scheduler) team(name cawork.TeamName) *team {
	t, ok := s.teams[name]
	if ok {
		return t
	}
	t = &team{Team: s.shares.Team(name), queue: caqueue.NewQueue[*caledger.Job](), room: 1}
	for k := range t.records {
		t.records[k] = s.estimator.Record(name, cawork.WorkKind(k))
	}
	s.shares.SetWeight(t.Team, s.policy.Weight(name))
	s.teams[name] = t
	i, _ := slices.BinarySearchFunc(s.order, name, func(o *team, n cawork.TeamName) int {
		return cmp.Compare(o.Name, n)
	})
	s.order = slices.Insert(s.order, i, t)
	return t
}

// SetPolicy implements casched.Scheduler.
func (s *Scheduler) SetPolicy(p casched.Policy, _ time.Time) {
	s.policy = p
	s.policyCount++
	s.shares.SetWeights(p)
	s.index.NoteAllFreed()
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
	s.dropClaimsOn(h)
	s.monitor.Forget(id)
	s.index.SetVerdict(h, caplace.StateOpen)
	s.index.Remove(id)
	s.capacityChanged()
}

func (s *Scheduler) capacityChanged() {
	s.shapes = nil
	s.policyCount++
	s.shares.SetTotal(s.index.Capacity().Size.Plus(s.remote.Capacity))
}

// SetAllowance implements casched.Scheduler.
func (s *Scheduler) SetAllowance(name cawork.TeamName, amount cawork.Resources, _ time.Time) {
	t := s.team(name)
	t.Allowance = amount
	t.room++
}

// SetRemoteUse implements casched.Scheduler.
func (s *Scheduler) SetRemoteUse(r casched.RemoteUse, _ time.Time) {
	s.remote = r
	for _, u := range r.Teams {
		s.team(u.Team)
	}
	s.shares.SetRemote(r)
	s.capacityChanged()
}

// charge takes allowance of the team for a task, refund frees it.
func (s *Scheduler) charge(t *team, r cawork.Resources) { s.shares.Charge(t.Team, r) }

func (s *Scheduler) refund(t *team, r cawork.Resources) {
	s.shares.Charge(t.Team, cawork.Resources{}.Minus(r))
	t.room++
}

// demand returns what a task of the job takes, corrected by what was observed.
func (s *Scheduler) demand(j *caledger.Job) caplace.Demand {
	s.estimate(j)
	return j.Demand
}

// runTime returns the run time that is expected of a task of the job, zero
// when it is not known.
func (s *Scheduler) runTime(j *caledger.Job) time.Duration {
	s.estimate(j)
	return j.RunTime
}

// estimate brings the estimates of the job up to date.
func (s *Scheduler) estimate(j *caledger.Job) {
	if j.Record == nil {
		j.Record = s.team(j.Team).records[j.Spec.Kind]
	}
	version := 1 + j.Record.Version() + s.policyCount
	if j.Version == version {
		return
	}
	j.Version = version
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
	size = larger(size, j.Floor)
	if !size.Fits(j.Spec.Size) && !s.couldFit(j, size) {
		size = j.Spec.Size
	}
	j.Demand = s.demandOf(size, j.Spec.Kind)
}

// couldFit reports whether some upstream could hold the size for the job.
func (s *Scheduler) couldFit(j *caledger.Job, size cawork.Resources) bool {
	for _, u := range s.shapesKnown() {
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

func larger(a, b cawork.Resources) cawork.Resources {
	return cawork.Resources{
		CPU:          max(a.CPU, b.CPU),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// end returns when a task of the job that starts now is expected to end.
func (s *Scheduler) end(j *caledger.Job, now time.Time) time.Time {
	d := s.runTime(j)
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// query returns what a task of the job asks of an upstream.
func (s *Scheduler) query(j *caledger.Job, now time.Time) caplace.Query {
	q := caplace.Query{
		Demand: s.demand(j), Constraints: j.Spec.Constraints, Placement: s.policy.Kind(j.Spec.Kind).Placement,
		Job: j.ID, End: s.end(j, now), Probe: j.Spec.Idempotent && !j.Gang(),
	}
	if q.Placement == cawork.PlacementSpread {
		s.near = s.near[:0]
		for _, t := range j.Open {
			if t.Host != caplace.NoHost {
				s.near = append(s.near, t.Host)
			}
		}
		q.Near = s.near
	}
	return q
}

func (s *Scheduler) total() cawork.Resources {
	return s.index.Capacity().Size.Plus(s.remote.Capacity)
}

// shapesKnown returns one upstream of each shape, own ones and others.
func (s *Scheduler) shapesKnown() []casched.Upstream {
	if s.shapes != nil {
		return s.shapes
	}
	seen := map[casched.Upstream]bool{}
	add := func(u casched.Upstream) {
		u.ID, u.Leaving, u.Slots, u.Connections = "", false, 0, 0
		if !seen[u] {
			seen[u] = true
			s.shapes = append(s.shapes, u)
		}
	}
	for h := range s.index.Hosts() {
		if s.index.StateOf(h) != caplace.StateGone {
			add(s.index.Upstream(h))
		}
	}
	for _, u := range s.remote.Shapes {
		add(u)
	}
	return s.shapes
}

func (s *Scheduler) violated(i casched.Invariant, format string, args ...any) {
	s.report(casched.Violated(i, format, args...))
}
