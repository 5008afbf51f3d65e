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

// phase is how far an attempt has got.
type phase int

const (
	// phaseIntended means that the intent is on its way to the backup.
	phaseIntended phase = iota
	// phaseSent means that the start has been sent.
	phaseSent
	// phaseUnresolved means that it cannot be told whether the start arrived.
	phaseUnresolved
	// phaseRunning means that the upstream reported the attempt as running.
	phaseRunning
	// phaseSettling means that the end is on its way to the backup.
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
	// since is the time from which on this entry tracks the attempt.
	since       time.Time
	remote      cawork.VMID
	reservation casched.ReservationID
	resolving   bool
	stopping    bool
	// funded is set once allowance was moved to the shard for the attempt.
	funded bool
}

func (l *Launcher) newAttempt(p casched.Placement, d casched.Decision) *attempt {
	return &attempt{
		id:       cawork.AttemptID(uuid.NewString()),
		task:     p.Task,
		shard:    l.home(p.Task.Job),
		team:     d.Team,
		kind:     d.WorkKind,
		size:     p.Size,
		upstream: p.Upstream,
	}
}

func (l *Launcher) track(a *attempt) {
	a.since = l.now()
	l.attempts[a.id] = a
	l.byTask[a.task] = a
	delete(l.foreign, a.task)
}

func (l *Launcher) forget(a *attempt) {
	delete(l.attempts, a.id)
	if l.byTask[a.task] == a {
		delete(l.byTask, a.task)
	}
}

// intend records the attempts of one job before any is sent. All start or
// none.
func (l *Launcher) intend(attempts []*attempt) {
	shard := attempts[0].shard
	record := cajob.AttemptsIntended{}
	view, _ := l.Shards.MayAct(shard)
	for _, a := range attempts {
		l.track(a)
		record.Attempts = append(record.Attempts, cajob.Intent{Attempt: a.id, Task: a.task, Upstream: a.upstream, Charge: a.size, View: view})
	}
	err := l.propose(shard, cajob.Record{Type: cajob.RecordAttemptsIntended, AttemptsIntended: &record}, func(err error) {
		l.intended(attempts, err)
	})
	if err != nil {
		l.abandon(attempts, err)
	}
}

// intended sends the attempts whose intent has taken effect.
func (l *Launcher) intended(attempts []*attempt, err error) {
	switch {
	case err == nil:
		l.send(attempts)
	case cakind.Of(err) == cakind.KindUnknown:
		// The shard has another primary, which settles the intent if it took
		// effect. ShardEvent drops what is tracked here.
	case cakind.Of(err) == cakind.KindLimitReached && attempts[0].shard != l.Shard && !attempts[0].funded:
		l.fund(attempts)
	default:
		l.abandon(attempts, err)
	}
}

// abandon takes back attempts whose intent has no effect.
func (l *Launcher) abandon(attempts []*attempt, err error) {
	// What stands in the way, such as a shard without a backup, takes a while
	// to change; deciding the same again at once would only burn processor time.
	l.restUntil = l.now().Add(tickPeriod)
	l.releaseRemote(attempts)
	for _, a := range attempts {
		caevent.Warn(l.Logger, caevent.StartFailed).Str("task", a.task.String()).Str("upstream", string(a.upstream)).
			Str("kind", cakind.Of(err).String()).AnErr("error", err).Send()
		l.forget(a)
		l.Scheduler.Withdrawn(a.task, l.now())
	}
	l.refreshAllowances()
	l.reconcile(attempts[0].task.Job)
}

func (l *Launcher) send(attempts []*attempt) {
	// The job itself takes effect before the intent does, and not earlier.
	payload := l.payload(attempts[0].task.Job)
	var local []*attempt
	remote := make(map[casched.ReservationID][]*attempt)
	for _, a := range attempts {
		a.phase = phaseSent
		a.payload = payload
		if a.remote == "" {
			local = append(local, a)
			continue
		}
		remote[a.reservation] = append(remote[a.reservation], a)
	}
	for _, a := range local {
		l.sendLocal(a)
	}
	for id, group := range remote {
		l.sendRemote(id, group)
	}
}

// sendLocal starts an attempt on an owned upstream. The right to act and the
// ownership are checked right before the call.
func (l *Launcher) sendLocal(a *attempt) {
	lease, owned := l.Leases.Lease(a.upstream)
	view, leads := l.Shards.MayAct(a.shard)
	vm, listed := l.Directory.Upstream(a.upstream)
	if !owned || !leads || !listed || l.draining {
		l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateFenced}, true)
		return
	}
	start := a.start(view, l.TaskTTL)
	start.Epoch = lease.Epoch
	agent := l.Agents.Agent(vm.Address)
	l.background(func(ctx context.Context) func() {
		status, err := agent.Start(ctx, start)
		return func() {
			l.answered(a.upstream, err)
			l.sent(a, status, err)
		}
	})
}

// background runs a call beside the loop and reports its result to the loop.
func (l *Launcher) background(call func(ctx context.Context) func()) {
	l.calls.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, startTimeout)
		defer cancel()
		l.post(call(ctx))
	})
}

// sent takes over the answer to a start.
func (l *Launcher) sent(a *attempt, status caplatform.TaskStatus, err error) {
	if l.attempts[a.id] != a || a.phase != phaseSent {
		return
	}
	if err == nil {
		l.observe(a.upstream, status)
		return
	}
	failed := cakind.Of(err)
	l.Scheduler.MarkUpstream(a.upstream, failed == cakind.KindUnavailable || failed == cakind.KindUnknown, l.now())
	caevent.Warn(l.Logger, caevent.StartFailed).Str("task", a.task.String()).Str("attempt", string(a.id)).
		Str("upstream", string(a.upstream)).Str("kind", failed.String()).AnErr("error", err).Send()
	if cakind.AnswerTo(failed).Execution == cakind.ExecutionNotRun {
		l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateFenced}, true)
		return
	}
	a.phase = phaseUnresolved
}

// observe takes over what an owner tells of an attempt.
func (l *Launcher) observe(u cawork.UpstreamID, s caplatform.TaskStatus) {
	a, ok := l.attempts[s.Attempt]
	if !ok {
		l.observeUntracked(u, s)
		return
	}
	switch {
	case a.phase == phaseIntended || a.phase == phaseSettling:
	case s.State.Ended():
		l.settle(a, s, true)
	case s.State == cawork.TaskStateRunning:
		l.running(a, s)
	}
}

func (l *Launcher) running(a *attempt, s caplatform.TaskStatus) {
	if a.phase != phaseRunning {
		a.phase = phaseRunning
		l.Scheduler.Started(a.task, l.now())
	}
	if !s.Used.IsZero() {
		l.Scheduler.ReportUsage(a.task, s.Used, l.now())
	}
	if l.isCanceled(a) {
		l.stopAttempt(a, caplatform.StopModeStop)
	}
}

// observeUntracked stops an attempt that runs although its shard has it not as
// open, for example because its end was recorded from a lapsed lease.
func (l *Launcher) observeUntracked(u cawork.UpstreamID, s caplatform.TaskStatus) {
	led, ok := l.led[s.Shard]
	if !ok || !led.recovered || s.State != cawork.TaskStateRunning {
		return
	}
	caevent.Warn(l.Logger, caevent.TaskStopped).Str("attempt", string(s.Attempt)).Str("upstream", string(u)).
		Str("reason", "orphan").Send()
	l.stopAt(u, s.Attempt, caplatform.StopModeStop)
}
