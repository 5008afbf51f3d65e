// Package caboard is the decision core of a cell. From the submissions of callers, the
// reports of upstreams, the answers of the advisor and the operator's policy it decides
// which runs are started and stopped and which approvals are requested. It does no input
// or output and reads no clock.
//
// A job passes through it as follows. Submit opens the job, NextBatch returns its record,
// and MarkStored reports that it is stored. Plan requests approvals of its steps from the
// advisor and assigns tasks to upstreams. The assignments are stored before MarkStored
// returns their start orders. Reports of upstreams end the runs, and the end of the last
// task completes the job.
package caboard

import (
	"math/rand"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/calatency"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caadmission"
	"celeryarch.example/celeryarch/internal/cell/cacalls"
	"celeryarch.example/celeryarch/internal/cell/cacrash"
	"celeryarch.example/celeryarch/internal/cell/cagang"
	"celeryarch.example/celeryarch/internal/cell/cahealth"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caruntime"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/cell/cateam"
	"celeryarch.example/celeryarch/internal/cell/caterms"
)

// ClockReading is a reading of the clocks: Monotonic never goes back, WallMS is the time of day in
// Unix milliseconds.
type ClockReading struct {
	Monotonic time.Time
	WallMS    int64
}

// Planner holds the scheduling state of one cell: its jobs, upstreams and teams. It is not
// safe for concurrent use.
type Planner struct {
	log    zerolog.Logger
	random *rand.Rand
	now    ClockReading
	policy caspec.Policy
	// terms are the definitions of queues and teams that jobs run under.
	terms *caterms.Terms
	// termsCheckedAt is when definitions were last sought that no job needs any more.
	termsCheckedAt time.Time

	jobs      map[cawork.JobID]*job
	upstreams map[cawork.UpstreamID]*upstream
	// sortedUpstreams holds the same upstreams by their ids, so that the same inputs lead
	// to the same decisions.
	sortedUpstreams []*upstream
	// slots number the upstreams by their ids. bySlot holds them by these numbers, nil where
	// one left, and unusedSlots are the numbers to be given again.
	slots       map[cawork.UpstreamID]int
	bySlot      []*upstream
	unusedSlots []int
	accounts    *cateam.Accounts
	queues      map[caspec.QueueName]*queueStats
	partitions  map[caspec.PoolName]*cagang.Partition
	// poolSizes are the numbers of listed upstreams of the pools.
	poolSizes  map[caspec.PoolName]int
	knownRooms caroom.Known
	// steps are the open steps that have not ended.
	steps []*step
	// pools are the pools with available upstreams, in the current or last plan.
	pools map[caspec.PoolName]*poolPlan
	// inheritedLongLeases are the leases that the leader before stated to be longer than ordinary ones.
	inheritedLongLeases map[cawork.UpstreamID]LongLease
	// token is the fencing token of the leader, and logEnd the offset after its last stored record.
	token, logEnd int64
	// raisedTokens are the higher tokens that upstreams know. They keep them while they are not listed.
	raisedTokens map[cawork.UpstreamID]int64
	// keptCalls are the calls without an answer to upstreams that are not known any more.
	keptCalls map[cawork.UpstreamID]keptCalls
	// stopping are the runs to stop.
	stopping map[*run]struct{}
	// changed are the jobs whose stored records are out of date. removedJobs,
	// pendingStarts and endsToStore are also part of the next batch.
	changed       map[cawork.JobID]*job
	delayedEnds   delayedEnds
	removedJobs   []cawork.JobID
	pendingStarts []*run
	endsToStore   map[*upstream]endWatermark
	// inheritedUntil is when the leases that an earlier leader granted expire, other than
	// those of upstreams in silence.
	inheritedUntil time.Time
	silence        silenceLog
	// overallHealth counts how runs ended on all upstreams.
	overallHealth cahealth.Counts
	// pendingRequests counts the approval requests in flight, and pendingLongRequests the
	// long ones of them.
	pendingRequests     int
	pendingLongRequests int
	requestLimits       RequestLimits
	// inheritedRequestDelay is what the leader before observed of the delay of requests.
	inheritedRequestDelay time.Duration
	// outages are since when pools have had no upstream that accepts work.
	outages map[caspec.PoolName]time.Time
	// usefulRequestAt is when the last request was sent for a step that is not late beyond use, or when
	// that was last not known.
	usefulRequestAt time.Time
	// requestsHeldBack is set if the limits held a request back in the last plan, and requestCredit is
	// what steps that have waited long may send out of the order.
	requestsHeldBack bool
	requestCredit    requestCredit
	firstShares      firstShares
	growth           roomGrowth
	// runTimes is what is known about run times.
	runTimes *caruntime.Model
	// plans counts the plans, and visits how many upstreams they looked at, once for each step that
	// they did so for.
	plans, visits int64
	// movedSteps and keptSteps, usable, candidates and ranked are lists that are built again and again.
	movedSteps, keptSteps []*step
	usable, candidates    []*upstream
	ranked                []rankedUpstream
	// brokenInvariants counts the checks of invariants that failed.
	brokenInvariants int
	// detector finds upstreams that stop answering.
	detector failureDetector
	// startLatency follows the time that starts take, and ticketMargin is how long a ticket must be valid
	// for one.
	startLatency *calatency.Quantile
	ticketMargin time.Duration
	// refusals are the jobs that were refused recently.
	refusals caadmission.RefusalHistory
	// storeUnavailable is set while nothing can be stored.
	storeUnavailable bool
	// drains are the drained zones, and drainedRuns the runs counted there when they were
	// last logged.
	drains      DrainView
	drainedRuns map[cawork.ZoneName]int
	// listReadAt is when the reading of the last list began, and stopTime how long a stop is expected
	// to take.
	listReadAt time.Time
	stopTime   time.Duration
	// listValidUntil is when the list of upstreams becomes too old. Zero means never.
	listValidUntil time.Time
	// heldBackSince is since when starts are held back because a view is too old, zero if they are not.
	heldBackSince time.Time
	// longWaitsLoggedAt is when the waits of steps were last logged.
	longWaitsLoggedAt time.Time
	// requestsSent counts the approval requests since then.
	requestsSent requestCounts
	// lackedRoomLoggedAt is when steps without room at approved upstreams were last sought.
	lackedRoomLoggedAt time.Time
	// crashes is what is known about crashes of upstreams.
	crashes crashState
	records recordState
}

// job is a job together with state that is not stored.
type job struct {
	*castate.Job
	// key is the key that it was submitted with, zero if another leader accepted it.
	key caspec.KeyID
	// queue is its queue by the newest version of the policy that lists it, nil if none is known.
	queue    *caspec.Queue
	priority int
	pool     caspec.PoolName
	// acceptedAt is when the job was accepted, moved back to its first refusal if it was
	// refused before.
	acceptedAt time.Time
	// endedAt is when the phase became final, as far as this leader has seen.
	endedAt time.Time
	// stored is set once a record of the job is durable, and storedPhase is the phase in
	// the last durable record.
	stored      bool
	storedPhase castate.Phase
	steps       []*step
	// runs are those of its steps that may be present at upstreams, in no order.
	runs []*run
	// reportedRunning is set once an upstream has reported a run of the job.
	reportedRunning bool
	// isTimed is set for jobs with a schedule.
	isTimed bool
	// objective is the time from acceptance within which the job should end.
	objective time.Duration
	// taskSizes are the sizes of the tasks of each step. They outlast the details of the
	// job, since late runs may be reported after its end.
	taskSizes []cawork.Resources
	// crashes are the crashes of upstreams under its tasks, nil without any, and onProbation is set
	// while a task that is suspected of one waits or has just started.
	crashes     *cacrash.History
	onProbation bool
	// crashedAt is when the last crash was counted.
	crashedAt time.Time
	record    jobRecord
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
	// liveRuns counts the runs of the step that may be present at upstreams.
	liveRuns int
	// lastRuns are the last runs that were charged to upstreams, by task, nil before the first.
	lastRuns     []*run
	waitingTasks int
	// starts counts the runs that were assigned.
	starts int
	// position is its place before the last sort, and sortedBy what it was sorted by.
	position int
	sortedBy stepKey
	// waitingSince is since when some task of the step has waited, not always the same.
	waitingSince time.Time
	lateness     int
	// tasksToRestart counts the waiting tasks of a long-running step that ran before.
	tasksToRestart int
	// tasksEnding counts those whose runs are expected to end soon, with their upstreams, and
	// tasksStopping those of them that are being stopped.
	tasksEnding, tasksStopping int
	// criticalPath is the estimated length of the longest chain of steps from this one
	// on.
	criticalPath time.Duration
	// reservation is the room that is reserved for the step, if any, and
	// reservationTriedAt when a reservation was last attempted.
	reservation        *reservation
	reservationTriedAt time.Time
	approvals          approvals
	// lacksRoom is set once it is logged that the step does not fit on the approved upstreams.
	lacksRoom bool
	// copiedRuns are runs whose tasks were also started elsewhere, and longestRun is the
	// longest run that ended well.
	copiedRuns []*run
	longestRun time.Duration
	// wide is set for gangs of queues whose gangs do not fit on one upstream.
	wide bool
	// urgent is set when the job has little time beyond its run time, and slack is that
	// time.
	urgent bool
	slack  time.Duration
	// prefersSlow is set if its tasks should run on slow upstreams, and avoidsSlow if they must not.
	prefersSlow, avoidsSlow bool
	// orphan steps are placeholders for reported runs that belong to no known step. They
	// have no state.
	orphan bool
}

func (s *step) state() *castate.StepState { return &s.occurrence.Steps[s.number] }

// queueStats holds averages of one queue.
type queueStats struct {
	approvalRate float64
	// approvalBacklog is the backlog of the advisor before a job of the queue, and excessApprovalBacklog
	// that before one beyond the guaranteed rate of its team.
	approvalBacklog, excessApprovalBacklog approvalBacklog
	// requestDelay is how much longer than announced approval requests are in flight.
	requestDelay caadmission.RequestDelay
	// startRate measures how much work is started.
	startRate caadmission.StartRate
	// gangs is the mean size of whole gangs.
	gangs cagang.Sizes
}

// New returns an empty Planner. Leases that an earlier leader granted expire at
// inheritedUntil at the latest.
func New(log zerolog.Logger, seed int64, now ClockReading, inheritedUntil time.Time) *Planner {
	terms := caterms.New()
	return &Planner{
		log: log, random: rand.New(rand.NewSource(seed)), now: now, terms: terms, accounts: cateam.NewAccounts(terms.LimitOf),
		jobs:                make(map[cawork.JobID]*job),
		upstreams:           make(map[cawork.UpstreamID]*upstream),
		slots:               make(map[cawork.UpstreamID]int),
		queues:              make(map[caspec.QueueName]*queueStats),
		partitions:          make(map[caspec.PoolName]*cagang.Partition),
		knownRooms:          make(caroom.Known),
		changed:             make(map[cawork.JobID]*job),
		delayedEnds:         delayedEnds{since: make(map[*job]time.Time)},
		endsToStore:         make(map[*upstream]endWatermark),
		outages:             make(map[caspec.PoolName]time.Time),
		stopping:            make(map[*run]struct{}),
		inheritedLongLeases: make(map[cawork.UpstreamID]LongLease),
		keptCalls:           make(map[cawork.UpstreamID]keptCalls),
		raisedTokens:        make(map[cawork.UpstreamID]int64),
		inheritedUntil:      inheritedUntil, silence: newSilenceLog(now.Monotonic, seed),
		refusals: caadmission.NewRefusalHistory(),
		crashes:  newCrashState(), records: newRecordState(), runTimes: caruntime.New(),
		startLatency: calatency.NewQuantile(calatency.Bounds{Min: minTicketMargin, Max: maxStartLatency}), ticketMargin: minTicketMargin,
		detector: failureDetector{meanAnswerLatency: initialAnswerLatency}, listReadAt: now.Monotonic, usefulRequestAt: now.Monotonic, stopTime: initialStopTime,
	}
}

// SetNow advances the clocks of the planner.
func (b *Planner) SetNow(now ClockReading) { b.now = now }

// SetStoreUnavailable sets whether the store is unavailable. While it is, Plan assigns nothing:
// tickets would expire before their starts may be sent. That nobody submits meanwhile tells nothing.
func (b *Planner) SetStoreUnavailable(away bool) {
	b.storeUnavailable = away
	if away {
		b.usefulRequestAt = b.now.Monotonic
	}
}

func (b *Planner) statsOf(q caspec.QueueName) *queueStats {
	s, ok := b.queues[q]
	if !ok {
		s = &queueStats{approvalRate: initialApprovalRate}
		s.requestDelay.Inherit(b.now.Monotonic, b.inheritedRequestDelay)
		b.queues[q] = s
	}
	return s
}

func (b *Planner) markChanged(j *job) {
	b.changed[j.Submission.ID] = j
	delete(b.delayedEnds.since, j)
}

// NextBatch returns the changes since the last one.
func (b *Planner) NextBatch() (Batch, error) {
	crashes, err := b.takeCrashRecords()
	if err != nil {
		return Batch{}, err
	}
	terms, err := b.terms.TakeChanges()
	if err != nil {
		return Batch{}, err
	}
	b.addDueEnds()
	batch := Batch{
		Terms:  terms,
		Silent: b.declareSilence(), LongLeases: b.longLeases(), InheritedRemaining: max(b.inheritedUntil.Sub(b.now.Monotonic), 0),
		RequestDelay: b.meanRequestDelay(),
		Crashes:      crashes, starts: b.pendingStarts, ends: b.takeEnds(), jobEnds: make(map[cawork.JobID]map[*upstream]bool),
	}
	tooLarge := make(map[*job]int)
	for id, j := range b.changed {
		value, fits, err := b.encodeRecord(j)
		if err != nil {
			return Batch{}, err
		}
		if !fits {
			tooLarge[j] = len(value)
			continue
		}
		batch.Records = append(batch.Records, Record{Job: id, Value: value, phase: j.Phase})
		batch.jobEnds[id], j.record.unstoredEnds = j.record.unstoredEnds, nil
	}
	for _, id := range b.removedJobs {
		batch.Records = append(batch.Records, Record{Job: id})
	}
	b.changed = make(map[cawork.JobID]*job)
	b.removedJobs = nil
	b.pendingStarts = nil
	for j, size := range tooLarge {
		b.hold(&batch, j, size)
	}
	b.holdEnds(&batch)
	b.holdDelayedEnds(&batch)
	return batch, nil
}

// HasChanges reports whether NextBatch would not be empty.
func (b *Planner) HasChanges() bool {
	return b.terms.HasChanges() || len(b.changed) > 0 || b.hasDueEnds() || len(b.crashes.changed) > 0 || len(b.crashes.removed) > 0 || len(b.removedJobs) > 0 || len(b.pendingStarts) > 0 || len(b.endsToStore) > 0
}

// MarkStored marks the batch as stored. It returns the start orders that may be sent now.
func (b *Planner) MarkStored(batch Batch) []caorder.StartOrder {
	for _, r := range batch.Records {
		if j, ok := b.jobs[r.Job]; ok && r.Value != nil {
			j.stored = true
			j.storedPhase = r.phase
			j.record.storedBytes = len(r.Value)
			b.releaseRecord(j)
		}
	}
	for u, end := range batch.ends {
		// A later incarnation numbers its ends from 1 again.
		if end.born == u.info.Incarnation {
			u.storedEnd = max(u.storedEnd, end.number)
		}
	}
	b.silence.stored = make(map[cawork.UpstreamID]bool, len(batch.Silent))
	for _, s := range batch.Silent {
		b.silence.stored[s.Upstream] = true
	}
	b.dropUnsendableStarts(batch.starts)
	var orders []caorder.StartOrder
	for _, r := range batch.starts {
		if order, ok := b.startOrder(r); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// dropUnsendableStarts drops the runs whose tickets expired, whose zones or upstreams were
// drained or whose upstreams lost the room for them or fell silent while their assignments were
// being stored, and the other members of their gangs.
func (b *Planner) dropUnsendableStarts(starts []*run) {
	room := make(startRoom)
	for _, r := range starts {
		if r.upstream.runs[r.id] != r {
			continue
		}
		expired := !r.ticketExpires.IsZero() && !b.now.Monotonic.Before(r.ticketExpires)
		if !expired && b.mayStartOn(r.upstream) && !r.upstream.info.Draining && b.mayExtendLease(r.upstream) && room.take(r) {
			continue
		}
		if expired {
			r.step.approvals.answers.Expire(r.upstream.slot)
		}
		b.stopOtherMembers(r)
		b.dropRun(r)
	}
}

// startOrder returns the order for a run whose assignment is stored. A run that is to be
// stopped by now is dropped instead.
func (b *Planner) startOrder(r *run) (caorder.StartOrder, bool) {
	if r.upstream.runs[r.id] != r {
		return caorder.StartOrder{}, false
	}
	if r.stopping {
		b.dropRun(r)
		return caorder.StartOrder{}, false
	}
	r.sent, r.sentAt = true, b.now.Monotonic
	b.detector.unansweredStarts = append(b.detector.unansweredStarts, r)
	r.upstream.extendLease(b.now.Monotonic, LeaseDuration)
	call := r.upstream.calls.Add(cacalls.Call{SentAt: b.now.Monotonic, Extends: true})
	return caorder.StartOrder{
		Run: r.id, Upstream: r.upstream.info.ID, Address: r.upstream.info.Address, Born: r.upstream.info.Incarnation,
		Payload: r.step.job.Submission.Payload, Checkpoint: r.task().Checkpoint, Ticket: r.ticket,
		LeaseEndMS: r.upstream.leaseEndMS(b.now.Monotonic, LeaseDuration), Call: call, Token: r.upstream.token,
	}, true
}

func (b *Planner) newRun(s *step, index int, u *upstream) *run {
	t := &s.state().Tasks[index]
	return &run{
		id: caorder.RunID{
			Job: s.job.Submission.ID, Occurrence: s.occurrence.Number, Step: s.number, Index: index, Number: t.Run,
		},
		step: s, upstream: u, team: s.job.Submission.Team, size: s.spec.Size(), assignedAt: b.now.Monotonic,
		wide: s.wide, born: t.Born,
	}
}

func (b *Planner) charge(r *run) {
	r.upstream.charge(r)
	b.teamOf(r.team).Acquire(r.size)
	r.step.liveRuns++
	r.step.job.runs = append(r.step.job.runs, r)
}

// dropRun drops a run that has ended and can not be present again. If its task is still
// assigned to it, the task waits again.
func (b *Planner) dropRun(r *run) {
	if r.upstream.runs[r.id] != r {
		return
	}
	r.upstream.discharge(r)
	b.keepAbandonedStart(r)
	delete(b.stopping, r)
	b.teamOf(r.team).Release(r.size)
	r.step.liveRuns--
	r.step.job.removeRun(r)
	if r.isCurrent() {
		r.task().Phase = castate.TaskWaiting
		b.addWaitingTask(r.step)
		b.markChanged(r.step.job)
		b.failIfExhausted(r.step, max(r.task().Failures, r.step.state().GangFailures))
	}
	b.releaseEndedJob(r.step.job)
}

// removeRun removes a run that has ended.
func (j *job) removeRun(r *run) {
	at := slices.Index(j.runs, r)
	if at < 0 {
		return
	}
	last := len(j.runs) - 1
	j.runs[at] = j.runs[last]
	j.runs[last] = nil
	j.runs = j.runs[:last]
}

// addWaitingTask counts one more waiting task of the step.
func (b *Planner) addWaitingTask(s *step) {
	if s.waitingTasks == 0 {
		s.waitingSince = b.now.Monotonic
	}
	s.waitingTasks++
}

// waitBegan returns since when a task of the step has been ready and has waited.
func (s *step) waitBegan() time.Time {
	if s.waitingSince.After(s.readyAt) {
		return s.waitingSince
	}
	return s.readyAt
}

// releaseEndedJob drops the details of a job that has ended and has no runs.
func (b *Planner) releaseEndedJob(j *job) {
	if !j.Phase.IsFinal() || len(j.runs) > 0 || j.steps == nil && j.OpenOccurrences == nil {
		return
	}
	j.steps = nil
	j.ClearDetails()
	b.markChanged(j)
}
