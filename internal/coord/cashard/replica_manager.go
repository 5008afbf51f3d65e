package cashard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// PeerClient sends messages of a primary to other members.
type PeerClient interface {
	Replicate(ctx context.Context, to cawork.VMID, req ReplicateRequest) (ReplicateReply, error)
}

// RegisterClient reads and swaps the registers of upstreams. After a version mismatch
// SwapRegister returns the current register, or an error of any kind except
// KindUnavailable and KindNotStarted, which prove that the swap had no effect.
type RegisterClient interface {
	ReadRegister(ctx context.Context, u cawork.UpstreamID, name string) (caplatform.Register, error)
	SwapRegister(ctx context.Context, u cawork.UpstreamID, s caplatform.RegisterSwap) (caplatform.Register, error)
}

// Listener is notified of the events and commits of a member's shards, in order.
// Its methods are called from the goroutine of Run, so a slow call delays all
// later ones.
type Listener interface {
	// ShardEvent reports a change of the leadership or the view of a shard.
	ShardEvent(e Event)
	// ShardCommitted reports a record that took effect on the primary.
	ShardCommitted(s cawork.ShardID, index int64, record []byte)
}

// Options holds the settings and dependencies of a ReplicaManager.
type Options struct {
	Self      Member
	Zone      cawork.ZoneName
	Config    Config
	Peers     PeerClient
	Witnesses RegisterClient
	Listener  Listener
	// NewStateMachine returns an empty state machine for a shard.
	NewStateMachine func(cawork.ShardID) StateMachine
	Timer           *catimer.Service
	Log             zerolog.Logger
	Scope           tally.Scope
}

// Status is the state of a shard on this member.
type Status struct {
	Shard   cawork.ShardID
	View    View
	Primary bool
	// Since is the number of the first view since this member became the primary.
	// If it is above 1, upstreams must be fenced before any task starts.
	Since int64
	// MayAct reports whether the primary may act now.
	MayAct bool
	// Degraded reports that records have a single copy, or that a change of view is
	// not settled and no takeover is possible until then.
	Degraded bool
	Index    int64
	// Witnesses are the witnesses of all views that may be in force or come into
	// force.
	Witnesses []cawork.UpstreamID
	// Violation describes the first invariant that was broken, and is empty if none
	// was. The primary may not act after a violation.
	Violation string
}

// ReplicaManager runs all replicas of a member: of the shard that it created, of the shards
// that it took over, and of those that it backs up.
type ReplicaManager struct {
	opts Options
	done chan struct{}
	wake chan struct{}
	// beforeStep is called before each step of a replica. Tests use it to pause a
	// member.
	beforeStep func()

	mu            sync.Mutex
	ctx           context.Context
	calls         sync.WaitGroup
	replicas      map[cawork.ShardID]*replica
	waiters       map[waitKey]*waiter
	candidates    []Candidate
	witnesses     []cawork.UpstreamID
	notifications []notification
}

type waitKey struct {
	shard cawork.ShardID
	index int64
}

type waiter struct {
	result chan error
}

// notification is an event or a commit that is queued for the listener.
type notification struct {
	event  *Event
	shard  cawork.ShardID
	commit committedRecord
}

// NewReplicaManager returns a ReplicaManager, which does nothing by itself until Run is called.
func NewReplicaManager(o Options) (*ReplicaManager, error) {
	if err := o.Config.Validate(); err != nil {
		return nil, err
	}
	if o.Self.IsZero() {
		return nil, cakind.New(cakind.KindInvalid, "member is unset")
	}
	return &ReplicaManager{
		opts:       o,
		done:       make(chan struct{}),
		wake:       make(chan struct{}, 1),
		beforeStep: func() {},
		replicas:   map[cawork.ShardID]*replica{},
		waiters:    map[waitKey]*waiter{},
	}, nil
}

// Done is closed when Run has ended.
func (p *ReplicaManager) Done() <-chan struct{} { return p.done }

// Run runs the timers and notifies the listener until the context ends.
func (p *ReplicaManager) Run(ctx context.Context) error {
	defer close(p.done)
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	ticks := p.opts.Timer.Every(p.opts.Config.Tick)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			p.stop()
			return nil
		case <-ticks.C:
			p.beforeStep()
			p.tick()
		case <-p.wake:
		}
		p.deliver()
	}
}

// stop fails all waiting appends and waits for the calls in flight.
func (p *ReplicaManager) stop() {
	p.mu.Lock()
	for key := range p.waiters {
		p.completeWaiter(key, cakind.New(cakind.KindUnknown, "member stopped before a record of shard %s was acknowledged", key.shard))
	}
	p.mu.Unlock()
	p.calls.Wait()
}

func (p *ReplicaManager) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Timer.Now()
	for _, r := range p.replicas {
		p.step(r, func(out *effects) { r.tick(now, out) })
	}
	p.updateGauges()
}

// updateGauges reports how many shards this member leads, and how many of these
// are degraded.
func (p *ReplicaManager) updateGauges() {
	led, degraded := 0, 0
	for _, r := range p.replicas {
		s := p.status(r)
		if s.Primary {
			led++
			if s.Degraded {
				degraded++
			}
		}
	}
	p.opts.Scope.Gauge("shards_led").Update(float64(led))
	p.opts.Scope.Gauge("shards_degraded").Update(float64(degraded))
}

// deliver passes the queued notifications to the listener.
func (p *ReplicaManager) deliver() {
	p.mu.Lock()
	queued := p.notifications
	p.notifications = nil
	p.mu.Unlock()
	for _, n := range queued {
		if n.event != nil {
			p.opts.Listener.ShardEvent(*n.event)
			continue
		}
		p.opts.Listener.ShardCommitted(n.shard, n.commit.index, n.commit.record)
	}
}

// Create creates a shard with this member as its primary. The ID must never have
// been used before, for example because it contains the VM and the incarnation.
func (p *ReplicaManager) Create(s cawork.ShardID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.replicas[s]; ok {
		return cakind.New(cakind.KindConflict, "shard %s already exists on this member", s)
	}
	r := p.ensureReplica(s)
	var witness cawork.UpstreamID
	if len(p.witnesses) > 0 {
		witness = p.witnesses[0]
	}
	r.createShard(witness)
	p.propagateCandidates(r)
	return nil
}

// ensureReplica returns the replica of the shard and creates it if there is none.
func (p *ReplicaManager) ensureReplica(s cawork.ShardID) *replica {
	if r, ok := p.replicas[s]; ok {
		return r
	}
	r := &replica{shard: s, self: p.opts.Self, zone: p.opts.Zone, cfg: p.opts.Config, newMachine: p.opts.NewStateMachine}
	p.replicas[s] = r
	return r
}

// propagateCandidates passes the current candidates and witnesses to the primary
// of the replica, if there is one.
func (p *ReplicaManager) propagateCandidates(r *replica) {
	if r.primary != nil {
		r.primary.candidates = p.candidates
		r.primary.witnesses = p.witnesses
	}
}

// SetCandidates sets the members that may become backups, in order of preference.
func (p *ReplicaManager) SetCandidates(c []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.candidates = slices.Clone(c)
	for _, r := range p.replicas {
		p.propagateCandidates(r)
	}
}

// SetWitnesses sets the upstreams whose registers may be used, in order of
// preference.
func (p *ReplicaManager) SetWitnesses(u []cawork.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.witnesses = slices.Clone(u)
	for _, r := range p.replicas {
		p.propagateCandidates(r)
	}
}

// MayAct returns the view number that the starts of tasks must carry, and whether
// this member may act for the shard now.
func (p *ReplicaManager) MayAct(s cawork.ShardID) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[s]
	if !ok || r.primary == nil {
		return 0, false
	}
	return r.primary.mayAct(p.opts.Timer.Now())
}

// Read calls f with the state machine of the shard if this member is its primary,
// and reports whether it is. f must neither block nor change the state.
func (p *ReplicaManager) Read(s cawork.ShardID, f func(StateMachine)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[s]
	if !ok || r.primary == nil {
		return false
	}
	f(r.primary.machine)
	return true
}

// Snapshot returns the state of a shard whose primary is this member, with the
// oldest view that may be in force and the index of the last record included.
func (p *ReplicaManager) Snapshot(s cawork.ShardID) (View, Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[s]
	if !ok || r.primary == nil {
		return View{}, Snapshot{}, cakind.New(cakind.KindNotFound, "shard %s is not led here", s)
	}
	state, err := r.primary.machine.Snapshot()
	if err != nil {
		return View{}, Snapshot{}, err
	}
	return r.primary.possibleViews[0], Snapshot{Index: r.primary.commitIndex, State: state}, nil
}

// Retire ends a shard whose state is empty. EventRetired reports the completion.
func (p *ReplicaManager) Retire(s cawork.ShardID) { p.startDrain(s, true) }

// Yield hands a shard over to its backup without waiting for the lease to
// expire. EventDeposed reports the completion. A shard without a backup stays
// with this member.
func (p *ReplicaManager) Yield(s cawork.ShardID) { p.startDrain(s, false) }

func (p *ReplicaManager) startDrain(s cawork.ShardID, retire bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[s]
	if !ok || r.primary == nil {
		return
	}
	r.primary.draining = true
	r.primary.retiring = retire
	p.step(r, func(out *effects) { r.tick(p.opts.Timer.Now(), out) })
}

// Discard drops the backup replica of a retired shard, which nobody will lead
// again. It has no effect on a primary.
func (p *ReplicaManager) Discard(s cawork.ShardID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.replicas[s]; ok && r.backup != nil {
		r.drop(r.backup.view.Number)
	}
}

// Statuses returns the status of each shard that has a replica on this member.
func (p *ReplicaManager) Statuses() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Status
	for _, r := range p.replicas {
		if r.primary != nil || r.backup != nil {
			out = append(out, p.status(r))
		}
	}
	return out
}

func (p *ReplicaManager) status(r *replica) Status {
	if r.primary == nil {
		if r.backup == nil {
			return Status{Shard: r.shard}
		}
		return Status{Shard: r.shard, View: r.backup.view, Index: r.backup.lastIndex, Witnesses: []cawork.UpstreamID{r.backup.view.Witness}}
	}
	_, mayAct := r.primary.mayAct(p.opts.Timer.Now())
	violation := ""
	if r.primary.violation != nil {
		violation = r.primary.violation.Error()
	}
	return Status{
		Shard: r.shard, View: r.primary.possibleViews[0], Primary: true, Since: r.primary.firstNumber, MayAct: mayAct,
		Degraded: !r.primary.isSettled() || r.primary.target().IsSolo(),
		Index:    r.primary.commitIndex, Witnesses: r.primary.possibleWitnesses(), Violation: violation,
	}
}

// HandleReplicate handles a message from the primary on another member.
func (p *ReplicaManager) HandleReplicate(_ context.Context, req ReplicateRequest) (ReplicateReply, error) {
	p.beforeStep()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasStopped() {
		return ReplicateReply{}, cakind.New(cakind.KindUnavailable, "member %s has stopped", p.opts.Self.VM)
	}
	r := p.ensureReplica(req.View.Shard)
	var reply ReplicateReply
	var err error
	p.step(r, func(out *effects) { reply, err = r.handle(p.opts.Timer.Now(), req, out) })
	return reply, err
}

// step runs one step of a replica and executes its effects.
func (p *ReplicaManager) step(r *replica, f func(*effects)) {
	var out effects
	wasPrimary := r.primary != nil
	f(&out)
	for _, c := range out.commits {
		p.completeWaiter(waitKey{shard: r.shard, index: c.index}, c.err)
		p.notifications = append(p.notifications, notification{shard: r.shard, commit: c})
	}
	for _, e := range out.events {
		p.emitEvent(e)
	}
	for _, err := range out.violations {
		caevent.Warn(p.opts.Log, caevent.PartFailed).Err(err).Str("part", "shard").Str("shard", string(r.shard)).Send()
		p.opts.Scope.Counter("violations").Inc(1)
	}
	if wasPrimary && r.primary == nil {
		p.failWaiters(r.shard)
	}
	p.propagateCandidates(r)
	p.startCalls(r, out)
	if len(p.notifications) > 0 {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

func (p *ReplicaManager) emitEvent(e Event) {
	p.notifications = append(p.notifications, notification{event: &e})
	number := caevent.ShardViewChanged
	switch e.Type {
	case EventTakenOver:
		number = caevent.ShardTakenOver
	case EventDeposed:
		number = caevent.ShardDeposed
	case EventViewChanged, EventRetired:
	}
	caevent.Info(p.opts.Log, number).Str("shard", string(e.Shard)).Int64("view", e.View.Number).
		Str("primary", string(e.View.Primary.VM)).Str("backup", string(e.View.Backup.VM)).
		Str("witness", string(e.View.Witness)).Str("type", e.Type.String()).Send()
	p.opts.Scope.Counter("events_" + e.Type.String()).Inc(1)
}

// hasStopped reports whether the context of Run has ended.
func (p *ReplicaManager) hasStopped() bool { return p.ctx != nil && p.ctx.Err() != nil }

func (p *ReplicaManager) startCalls(r *replica, out effects) {
	if p.ctx == nil || p.hasStopped() {
		return
	}
	sentAt := p.opts.Timer.Now()
	for _, c := range out.calls {
		p.calls.Go(func() { p.callPeer(r, sentAt, c.request) })
	}
	for _, e := range out.registers {
		p.calls.Go(func() { p.callWitness(r, e) })
	}
}

func (p *ReplicaManager) callPeer(r *replica, sentAt time.Time, req ReplicateRequest) {
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.Config.CallTimeout)
	defer cancel()
	reply, err := p.opts.Peers.Replicate(ctx, req.To.VM, req)
	p.beforeStep()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Timer.Now()
	p.step(r, func(out *effects) { r.onReply(now, sentAt, req, reply, err, out) })
}

func (p *ReplicaManager) callWitness(r *replica, e registerEffect) {
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.Config.CallTimeout)
	defer cancel()
	res := registerResult{witness: e.witness, swap: e.swap}
	if e.swap != nil {
		res.value, res.err = p.opts.Witnesses.SwapRegister(ctx, e.witness, *e.swap)
	} else {
		res.value, res.err = p.opts.Witnesses.ReadRegister(ctx, e.witness, RegisterName(r.shard))
	}
	p.beforeStep()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Timer.Now()
	p.step(r, func(out *effects) { r.onRegister(now, res, out) })
}
