package calaunch

import (
	"context"
	"time"

	"github.com/google/uuid"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

//go:generate go tool enumer -type=phase -trimprefix=phase -transform=snake -output=phase_names.go

// phase is the stage that an attempt has reached.
type phase int

const (
	// phaseIntended means that the intent is being replicated.
	phaseIntended phase = iota
	// phaseSent means that the start has been sent.
	phaseSent
	// phaseUnresolved means that it is unknown whether the start arrived.
	phaseUnresolved
	// phaseRunning means that the upstream reported the attempt as running.
	phaseRunning
	// phaseSettling means that the end is being replicated.
	phaseSettling
)

// attempt is an open attempt of a task of a led shard.
type attempt struct {
	id       cawork.AttemptID
	task     cawork.TaskRef
	shard    cawork.ShardID
	team     cawork.TeamName
	kind     cawork.WorkKind
	size     cawork.Resources
	upstream cawork.UpstreamID
	payload  []byte
	phase    phase
	// trackedSince is the time at which this entry began to track the
	// attempt.
	trackedSince time.Time
	// seenAt is when the owner of the upstream was last found to know the
	// running attempt.
	seenAt      time.Time
	remoteOwner cawork.VMID
	reservation casched.ReservationID
	resolving   bool
	stopping    bool
	// allowanceMoved is set once allowance was moved to the shard for the
	// attempt.
	allowanceMoved bool
}

func (l *Launcher) newAttempt(p casched.Placement, d casched.Decision) *attempt {
	return &attempt{
		id:       cawork.AttemptID(uuid.NewString()),
		task:     p.Task,
		shard:    l.currentShard(p.Task.Job),
		team:     d.Team,
		kind:     d.WorkKind,
		size:     p.Size,
		upstream: p.Upstream,
	}
}

func (l *Launcher) track(a *attempt) {
	a.trackedSince = l.now()
	l.attempts[a.id] = a
	l.byTask[a.task] = a
	delete(l.foreignTasks, a.task)
}

func (l *Launcher) untrack(a *attempt) {
	delete(l.attempts, a.id)
	if l.byTask[a.task] == a {
		delete(l.byTask, a.task)
	}
}

// recordIntents records the attempts of one job before any start is sent.
// Either all of them are sent or none.
func (l *Launcher) recordIntents(attempts []*attempt) {
	shard := attempts[0].shard
	record := cajob.AttemptsIntended{}
	view, _ := l.Shards.MayAct(shard)
	for _, a := range attempts {
		l.track(a)
		record.Attempts = append(record.Attempts, cajob.Intent{Attempt: a.id, Task: a.task, Upstream: a.upstream, Charge: a.size, View: view})
	}
	err := l.propose(shard, cajob.Record{Type: cajob.RecordAttemptsIntended, AttemptsIntended: &record}, func(err error) {
		l.intentsRecorded(attempts, err)
	})
	if err != nil {
		l.abandon(attempts, err)
	}
}

// intentsRecorded sends the starts once their intents have taken effect.
func (l *Launcher) intentsRecorded(attempts []*attempt, err error) {
	switch {
	case err == nil:
		l.sendStarts(attempts)
	case cakind.Of(err) == cakind.KindUnknown:
		// The shard has another primary, which settles the intents if
		// they took effect. ShardEvent drops the attempts tracked here.
	case cakind.Of(err) == cakind.KindLimitReached && attempts[0].shard != l.Shard && !attempts[0].allowanceMoved:
		l.moveAllowance(attempts)
	default:
		l.abandon(attempts, err)
	}
}

// abandon withdraws attempts whose intents did not take effect.
func (l *Launcher) abandon(attempts []*attempt, err error) {
	// The cause, such as a shard without a backup, does not change at once.
	// Without a pause the same decision would be repeated in a busy loop.
	l.decisionsPausedUntil = l.now().Add(tickPeriod)
	l.releaseRemoteReservations(attempts)
	for _, a := range attempts {
		caevent.Warn(l.Logger, caevent.StartFailed).Str("task", a.task.String()).Str("upstream", string(a.upstream)).
			Str("kind", cakind.Of(err).String()).AnErr("error", err).Send()
		l.untrack(a)
		l.Scheduler.Withdrawn(a.task, l.now())
	}
	l.refreshAllowances()
	l.reconcile(attempts[0].task.Job)
}

func (l *Launcher) sendStarts(attempts []*attempt) {
	// The record of the job is certain to have taken effect only once the
	// intents have, so the payload is read here.
	payload := l.jobPayload(attempts[0].task.Job)
	var local []*attempt
	remote := make(map[casched.ReservationID][]*attempt)
	for _, a := range attempts {
		a.phase = phaseSent
		a.payload = payload
		if a.remoteOwner == "" {
			local = append(local, a)
			continue
		}
		remote[a.reservation] = append(remote[a.reservation], a)
	}
	for _, a := range local {
		l.sendLocalStart(a)
	}
	for id, group := range remote {
		l.sendRemoteStarts(id, group)
	}
}

// sendLocalStart starts an attempt on an owned upstream. It checks the
// leadership of the shard and the ownership of the upstream right before the
// call.
func (l *Launcher) sendLocalStart(a *attempt) {
	lease, owned := l.Leases.Lease(a.upstream)
	view, leads := l.Shards.MayAct(a.shard)
	vm, listed := l.Directory.Upstream(a.upstream)
	if !owned || !leads || !listed || l.draining {
		l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateFenced}, true)
		return
	}
	start := a.startRequest(view, l.TaskTTL)
	start.Epoch = lease.Epoch
	agent := l.Agents.Agent(vm.Address)
	l.runInBackground(func(ctx context.Context) func() {
		status, err := agent.Start(ctx, start)
		return func() {
			l.updateStartBackoff(a.upstream, err)
			l.startAnswered(a, status, err)
		}
	})
}

// runInBackground runs a call outside of the loop and posts its result to the
// loop.
func (l *Launcher) runInBackground(call func(ctx context.Context) func()) {
	l.calls.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, startTimeout)
		defer cancel()
		l.post(call(ctx))
	})
}

// startAnswered handles the result of a start.
func (l *Launcher) startAnswered(a *attempt, status caplatform.TaskStatus, err error) {
	if l.attempts[a.id] != a || a.phase != phaseSent {
		return
	}
	if err == nil {
		l.observe(a.upstream, status)
		return
	}
	kind := cakind.Of(err)
	l.Scheduler.ReportUpstreamResult(a.upstream, kind == cakind.KindUnavailable || kind == cakind.KindUnknown, l.now())
	caevent.Warn(l.Logger, caevent.StartFailed).Str("task", a.task.String()).Str("attempt", string(a.id)).
		Str("upstream", string(a.upstream)).Str("kind", kind.String()).AnErr("error", err).Send()
	if cakind.ResponseTo(kind).Execution == cakind.ExecutionNotRun {
		l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateFenced}, true)
		return
	}
	a.phase = phaseUnresolved
}

// observe handles the state of an attempt as reported by the owner of its
// upstream.
func (l *Launcher) observe(u cawork.UpstreamID, s caplatform.TaskStatus) {
	a, ok := l.attempts[s.Attempt]
	if !ok {
		l.observeUntracked(u, s)
		return
	}
	switch {
	case a.phase == phaseIntended || a.phase == phaseSettling:
	case a.phase == phaseUnresolved && s.State == cawork.TaskStateFenced:
		// resolveAttempts finds out whether the upstream may have forgotten the attempt.
	case s.State.Ended():
		l.settle(a, s, true)
	case s.State == cawork.TaskStateRunning:
		l.observeRunning(a, s)
	}
}

func (l *Launcher) observeRunning(a *attempt, s caplatform.TaskStatus) {
	if a.phase != phaseRunning {
		a.phase, a.seenAt = phaseRunning, l.now()
		l.Scheduler.Started(a.task, l.now())
	}
	if !s.Used.IsZero() {
		l.Scheduler.ReportUsage(a.task, s.Used, l.now())
	}
	if l.isCanceled(a) {
		l.stopAttempt(a, caplatform.StopModeStop)
	}
}

// observeUntracked stops an attempt that runs although it is not open in its
// shard, for example because its end was recorded from a lapsed lease.
func (l *Launcher) observeUntracked(u cawork.UpstreamID, s caplatform.TaskStatus) {
	led, ok := l.led[s.Shard]
	if !ok || !led.recovered || s.State != cawork.TaskStateRunning {
		return
	}
	caevent.Warn(l.Logger, caevent.TaskStopped).Str("attempt", string(s.Attempt)).Str("upstream", string(u)).
		Str("reason", "orphan").Send()
	l.stopByID(u, s.Attempt, caplatform.StopModeStop)
}
