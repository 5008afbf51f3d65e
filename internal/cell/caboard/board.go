// Package caboard is the decision core of a cell: which runs are started,
// stopped and asked about, from what callers, upstreams, the advisor and the
// operator tell. It does no input or output and reads no clock.
//
// The story of a job: Submit opens it, NextBatch hands out its record, and
// Committed tells that the record is stored. Plan asks the advisor about its
// steps and assigns tasks to upstreams; the assignments are stored before
// their start orders leave the board. Reports of upstreams end the runs, and
// with the last task the job is completed.
package caboard

import (
	"math/rand"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// Moment is a reading of the clocks. Steady never goes back; WallMS is the
// time of day in Unix milliseconds.
type Moment struct {
	Steady time.Time
	WallMS int64
}

// Board holds the jobs, upstreams and teams of one cell. It is not safe for
// concurrent use.
type Board struct {
	log    zerolog.Logger
	random *rand.Rand
	now    Moment
	policy caspec.Policy

	jobs      map[cawork.JobID]*job
	upstreams map[cawork.UpstreamID]*upstream
	// inOrder holds the same upstreams by their ids, so that the same happenings lead
	// to the same decisions.
	inOrder []*upstream
	teams   map[cawork.TeamName]*teamUse
	queues  map[caspec.QueueName]*queueStats
	areas   map[caspec.PoolName]*area
	// steps are the open steps that have waiting tasks or wait for others.
	steps []*step
	// pools are what accepts work in the plan being made.
	pools map[caspec.PoolName]*openPool
	// stopping are the runs that are to be stopped.
	stopping map[*run]struct{}
	// changed are the jobs whose records are out of date.
	changed map[cawork.JobID]*job
	removed []cawork.JobID
	starts  []*run
	seen    map[*upstream]endSeen
	// inheritedUntil is when the leases that an earlier leader granted end.
	inheritedUntil time.Time
	// all counts how runs ended on all upstreams.
	all health
	// asking counts the questions that the advisor has not answered.
	asking     int
	askingLong int
	askSlots   AskSlots
	// broken counts the invariants that did not hold.
	broken int
	// sight is what is known of how upstreams answer.
	sight sight
	// returns are the jobs that were refused lately.
	returns returns
	// storeAway is set while nothing can be stored.
	storeAway bool
	// explainedAt is when waiting steps were last explained.
	explainedAt time.Time
}

// job is a job with what is not stored of it.
type job struct {
	*castate.Job
	priority int
	pool     caspec.PoolName
	// accepted is when it was accepted, less the time since it was refused first.
	accepted time.Time
	// ended is when the phase became final, as far as this board knows.
	ended time.Time
	// stored is set once a record of the job is durable, and shown is the
	// phase in the last durable record.
	stored bool
	shown  castate.Phase
	steps  []*step
	runs   int
	// shownRunning is set once an upstream has shown a run of the job.
	shownRunning bool
	// objective is the time from acceptance within which it is in time.
	objective time.Duration
}

// step is an open step of an occurrence of a job.
type step struct {
	job        *job
	occurrence *castate.Occurrence
	number     int
	spec       caspec.Step
	// ready is set once all earlier steps have ended.
	ready   bool
	readyAt time.Time
	// runs are the live runs of the step.
	runs     int
	waiting  int
	lateness int
	// left is the estimated length of the longest chain of steps from this one on.
	left time.Duration
	// hold is the room that is kept for the step, if any, and holdTried when
	// some was looked for last.
	hold      *hold
	holdTried time.Time
	approval  approvals
	// copied are runs whose tasks were started elsewhere as well, and longest is the
	// longest run that ended well.
	copied  []*run
	longest time.Duration
	// wide is set for gangs of queues whose gangs do not fit on one upstream.
	wide bool
	// tight is set when the job has little time beyond its run time, and slack is
	// that time.
	tight bool
	slack time.Duration
	// orphan steps stand in for those of runs that nobody asked for, and have no
	// state.
	orphan bool
}

func (s *step) state() *castate.StepState { return &s.occurrence.Steps[s.number] }

type queueStats struct {
	approvedShare float64
	// durationRatio is the mean run time of tasks against their estimate.
	durationRatio float64
	// started measures the work that is started.
	started startRate
	// gangCPU and gangMemory are the mean size of whole gangs, in thousandths of a
	// core and bytes.
	gangCPU, gangMemory float64
}

// New returns an empty board. Leases that an earlier leader granted may last
// until the time given.
func New(log zerolog.Logger, seed int64, now Moment, inheritedUntil time.Time) *Board {
	return &Board{
		log: log, random: rand.New(rand.NewSource(seed)), now: now,
		jobs:           make(map[cawork.JobID]*job),
		upstreams:      make(map[cawork.UpstreamID]*upstream),
		teams:          make(map[cawork.TeamName]*teamUse),
		queues:         make(map[caspec.QueueName]*queueStats),
		areas:          make(map[caspec.PoolName]*area),
		changed:        make(map[cawork.JobID]*job),
		seen:           make(map[*upstream]endSeen),
		stopping:       make(map[*run]struct{}),
		inheritedUntil: inheritedUntil,
		returns:        newReturns(),
		sight:          sight{mean: answerAtFirst},
	}
}

// SetNow moves the clocks of the board.
func (b *Board) SetNow(now Moment) { b.now = now }

// SetStoreAway tells whether nothing can be stored now. Then Plan assigns nothing:
// tickets would run out before their starts may leave.
func (b *Board) SetStoreAway(away bool) { b.storeAway = away }

// SetPolicy puts a version of the policy in force. Older versions are ignored.
func (b *Board) SetPolicy(p caspec.Policy) {
	if !b.policy.IsZero() && p.Version <= b.policy.Version {
		return
	}
	b.policy = p
	for _, j := range b.jobs {
		if q, ok := p.Queue(j.Submission.Queue); ok {
			j.priority = q.Priority
		}
	}
}

func (b *Board) queueOf(j *job) (caspec.Queue, bool) { return b.policy.Queue(j.Submission.Queue) }

func (b *Board) statsOf(q caspec.QueueName) *queueStats {
	s, ok := b.queues[q]
	if !ok {
		s = &queueStats{approvedShare: approvedShareAtFirst, durationRatio: 1}
		b.queues[q] = s
	}
	return s
}

func (b *Board) touch(j *job) { b.changed[j.Submission.ID] = j }

// NextBatch returns the changes since the last one.
func (b *Board) NextBatch() (Batch, error) {
	batch := Batch{starts: b.starts, seen: b.seen}
	for id, j := range b.changed {
		value, err := j.Encode()
		if err != nil {
			return Batch{}, err
		}
		batch.Records = append(batch.Records, Record{Job: id, Value: value, phase: j.Phase})
	}
	for _, id := range b.removed {
		batch.Records = append(batch.Records, Record{Job: id})
	}
	b.changed = make(map[cawork.JobID]*job)
	b.removed = nil
	b.starts = nil
	b.seen = make(map[*upstream]endSeen)
	return batch, nil
}

// HasChanges reports whether NextBatch would not be empty.
func (b *Board) HasChanges() bool {
	return len(b.changed) > 0 || len(b.removed) > 0 || len(b.starts) > 0 || len(b.seen) > 0
}

// Committed tells that the batch is stored. It returns the start orders that
// may leave now.
func (b *Board) Committed(batch Batch) []StartOrder {
	for _, r := range batch.Records {
		if j, ok := b.jobs[r.Job]; ok && r.Value != nil {
			j.stored = true
			j.shown = r.phase
		}
	}
	for u, end := range batch.seen {
		// Ends of a later incarnation are numbered anew.
		if end.born == u.info.Born {
			u.storedEnd = max(u.storedEnd, end.number)
		}
	}
	b.dropOutdated(batch.starts)
	var orders []StartOrder
	for _, r := range batch.starts {
		if order, ok := b.startOrder(r); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// dropOutdated gives up the runs whose tickets ran out while their assignments
// were stored, and the rest of their gangs.
func (b *Board) dropOutdated(starts []*run) {
	for _, r := range starts {
		if r.ticketEnds.IsZero() || r.up.runs[r.id] != r || b.now.Steady.Before(r.ticketEnds) {
			continue
		}
		r.step.approval.expire(r.up.info.ID)
		b.breakGang(r)
		b.gone(r)
	}
}

// startOrder returns the order for a run whose assignment is stored, unless it
// is to be stopped meanwhile; then the run is over before it began.
func (b *Board) startOrder(r *run) (StartOrder, bool) {
	if r.up.runs[r.id] != r {
		return StartOrder{}, false
	}
	if r.stopping {
		b.gone(r)
		return StartOrder{}, false
	}
	r.sent, r.sentAt = true, b.now.Steady
	b.sight.awaited = append(b.sight.awaited, r)
	r.up.extend(b.now.Steady, LeaseLength)
	return StartOrder{
		Run: r.id, Upstream: r.up.info.ID, Address: r.up.info.Address, Born: r.up.info.Born,
		Payload: r.step.job.Submission.Payload, Checkpoint: r.task().Checkpoint, Ticket: r.ticket,
		UntilMS: r.up.untilMS(b.now.Steady, LeaseLength),
	}, true
}

// Restore takes up a job from its record, as a new leader does before it acts.
func (b *Board) Restore(state *castate.Job) {
	j := &job{Job: state, ended: b.now.Steady, stored: true, shown: state.Phase}
	age := time.Duration(b.now.WallMS-state.AcceptedMS) * time.Millisecond
	j.accepted = b.now.Steady.Add(-min(max(age, 0), restoredAgeMost))
	b.adopt(j)
	for _, o := range state.Open {
		b.openSteps(j, o)
	}
	if state.Phase.IsFinal() {
		b.stopRuns(j)
		b.settle(j)
	}
}

func (b *Board) adopt(j *job) {
	b.jobs[j.Submission.ID] = j
	if q, ok := b.queueOf(j); ok {
		j.priority = q.Priority
		j.pool = q.Pool
		j.objective = objective(q, j.Submission.Steps)
	}
}

// objective returns the time within which a job is in time: the stretched
// length of its longest chain of steps, and the allowance of the queue.
func objective(q caspec.Queue, steps []caspec.Step) time.Duration {
	return time.Duration(q.Stretch*float64(chainOf(q, steps))) + q.Allowance
}

// chainOf returns the length of the longest chain of steps, with a question to
// the advisor for each.
func chainOf(q caspec.Queue, steps []caspec.Step) time.Duration {
	perStep := time.Duration(0)
	if q.Approval != nil {
		perStep = q.Approval.Cost(approvalsInObjective)
	}
	longest := time.Duration(0)
	for _, left := range chainsFrom(steps, perStep) {
		longest = max(longest, left)
	}
	return longest
}

// chainsFrom returns for each step the length of the longest chain of steps from
// it on, where each takes a time beyond its estimate. Steps depend on earlier
// ones only.
func chainsFrom(steps []caspec.Step, perStep time.Duration) []time.Duration {
	left := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		left[i] += steps[i].Estimate + perStep
		for _, earlier := range steps[i].After {
			left[earlier] = max(left[earlier], left[i])
		}
	}
	return left
}

// openSteps adds the steps of an occurrence, with the runs that its tasks
// stand on.
func (b *Board) openSteps(j *job, o *castate.Occurrence) {
	left := chainsFrom(j.Submission.Steps, 0)
	q, _ := b.queueOf(j)
	slack := slackOf(q, j.Submission.Steps)
	for i := range o.Steps {
		s := &step{job: j, occurrence: o, number: i, spec: j.Submission.Steps[i], readyAt: b.now.Steady}
		s.ready = j.IsReady(o, i)
		s.left = left[i]
		s.slack = slack
		s.tight = isTight(slack, s.spec)
		b.statsOf(j.Submission.Queue).noteWidth(s.spec)
		s.approval = newApprovals()
		j.steps = append(j.steps, s)
		for index := range o.Steps[i].Tasks {
			t := &o.Steps[i].Tasks[index]
			switch t.Phase {
			case castate.TaskWaiting:
				s.waiting++
			case castate.TaskAssigned:
				b.inherit(s, index)
			case castate.TaskDone:
				j.shownRunning = true
			}
			if t.Failures > 0 {
				j.shownRunning = true
			}
		}
		if !j.Phase.IsFinal() {
			b.steps = append(b.steps, s)
		}
	}
}

// inherit charges a run that an earlier leader assigned.
func (b *Board) inherit(s *step, index int) {
	t := &s.state().Tasks[index]
	u, ok := b.upstreams[t.Upstream]
	if !ok {
		u = newUpstream(caspec.Upstream{ID: t.Upstream, Born: t.Born})
		b.addUpstream(u)
	}
	u.leaseEnds = b.inheritedUntil
	r := b.newRun(s, index, u)
	r.sent, r.inherited = true, true
	b.charge(r)
}

func (b *Board) newRun(s *step, index int, u *upstream) *run {
	t := &s.state().Tasks[index]
	return &run{
		id: RunID{
			Job: s.job.Submission.ID, Occurrence: s.occurrence.Number, Step: s.number, Index: index, Number: t.Run,
		},
		step: s, up: u, team: s.job.Submission.Team, size: s.spec.Size(), at: b.now.Steady,
		wide: s.wide,
	}
}

func (b *Board) charge(r *run) {
	r.up.charge(r)
	b.teamOf(r.team).use(r.size)
	r.step.runs++
	r.step.job.runs++
}

// gone tells that a run is over and will never be present again. A task that
// still stands on it waits again.
func (b *Board) gone(r *run) {
	if r.up.runs[r.id] != r {
		return
	}
	r.up.discharge(r)
	b.keepLate(r)
	delete(b.stopping, r)
	b.teamOf(r.team).release(r.size)
	r.step.runs--
	r.step.job.runs--
	if r.isCurrent() {
		r.task().Phase = castate.TaskWaiting
		r.step.waiting++
		b.touch(r.step.job)
	}
	b.settle(r.step.job)
}

// settle drops what nobody needs of a job that is over.
func (b *Board) settle(j *job) {
	if !j.Phase.IsFinal() || j.runs > 0 || j.steps == nil && j.Open == nil {
		return
	}
	j.steps = nil
	j.Forget()
	b.touch(j)
}
