// Package castandup is a stand-in for an upstream of the platform: an agent
// that arbitrates ownership and runs tasks under leases, and an endpoint that
// runs requests in slots.
package castandup

import (
	"context"
	"slices"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// endedRetention is the retention of ended attempts.
	endedRetention = 30 * time.Minute
	// usageLag is the delay after the start of a task before its usage is reported.
	usageLag = 5 * time.Second
)

// Violations counts calls that break the limits of an upstream.
type Violations struct {
	// Overcommitted counts starts beyond the capacity.
	Overcommitted int `json:"overcommitted"`
	// RepeatedAttempts counts requests whose attempt had already run.
	RepeatedAttempts int `json:"double_requests"`
	// SlotsExceeded counts requests beyond the slots.
	SlotsExceeded int `json:"over_slots"`
}

// Upstream is the state of one upstream. It evaluates the ends of tasks and leases
// on each call, and so needs no goroutine.
type Upstream struct {
	mu         sync.Mutex
	now        func() time.Time
	vm         caplatform.VM
	owner      cawork.VMID
	epoch      caplatform.Epoch
	ownedUntil time.Time
	tasks      map[cawork.AttemptID]*task
	fences     map[cawork.ShardID]int64
	registers  map[string]caplatform.Register
	sequence   int64
	requests   requestTable
	violations Violations
}

// NewUpstream returns an idle upstream of the VM.
func NewUpstream(now func() time.Time, vm caplatform.VM) *Upstream {
	return &Upstream{
		now:       now,
		vm:        vm,
		tasks:     make(map[cawork.AttemptID]*task),
		fences:    make(map[cawork.ShardID]int64),
		registers: make(map[string]caplatform.Register),
		requests:  newRequestTable(),
	}
}

// Violations returns the counts of violations so far.
func (u *Upstream) Violations() Violations {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.violations
}

// Tasks returns every retained attempt in order of its latest change.
func (u *Upstream) Tasks() []caplatform.TaskStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.changedSince(0, u.advance())
}

// Restart ends the tasks and the ownership of the upstream, as a crash of its VM does. Epochs,
// fences and registers are kept, and its tasks are forgotten.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ownedUntil = u.advance()
	u.tasks = make(map[cawork.AttemptID]*task)
}

// Claim implements caplatform.Agent.
func (u *Upstream) Claim(_ context.Context, c caplatform.Claim) (caplatform.ClaimResult, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.advance()
	if u.owned(now) && u.owner != c.Holder {
		return caplatform.ClaimResult{Ownership: u.ownership(now)}, nil
	}
	u.epoch++
	u.owner = c.Holder
	u.ownedUntil = now.Add(c.TTL)
	u.requests.currentEpochRunning = 0
	return caplatform.ClaimResult{
		Granted: true, Ownership: u.ownership(now), Tasks: u.changedSince(0, now), FormerRequests: u.requests.formerEpochRunning(),
	}, nil
}

// Heartbeat implements caplatform.Agent.
func (u *Upstream) Heartbeat(_ context.Context, h caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.advance()
	if !u.owned(now) || u.owner != h.Holder || u.epoch != h.Epoch {
		return caplatform.HeartbeatResult{}, u.fencedError(h.Epoch)
	}
	u.ownedUntil = now.Add(h.TTL)
	for _, t := range u.tasks {
		if t.state == cawork.TaskStateRunning {
			t.leaseUntil = now.Add(h.TaskTTL)
		}
	}
	return caplatform.HeartbeatResult{
		Ownership: u.ownership(now),
		Changed:   u.changedSince(h.Since, now),
		Sequence:  u.sequence,

		FormerRequests: u.requests.formerEpochRunning(),
	}, nil
}

// Release implements caplatform.Agent.
func (u *Upstream) Release(_ context.Context, o caplatform.Ownership) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.advance()
	if u.epoch != o.Epoch || u.owner != o.Holder {
		return u.fencedError(o.Epoch)
	}
	u.ownedUntil = now
	return nil
}

// Start implements caplatform.Agent.
func (u *Upstream) Start(_ context.Context, s caplatform.Start) (caplatform.TaskStatus, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.advance()
	if !u.owned(now) || u.epoch != s.Epoch {
		return caplatform.TaskStatus{}, u.fencedError(s.Epoch)
	}
	if s.View < u.fences[s.Shard] {
		return caplatform.TaskStatus{}, cakind.New(cakind.KindFenced, "view %d of shard %s is fenced", s.View, s.Shard)
	}
	if t, ok := u.tasks[s.Attempt]; ok {
		return t.status(now), nil
	}
	if !u.committed().Plus(s.Size).Fits(u.vm.Capacity) {
		u.violations.Overcommitted++
		return caplatform.TaskStatus{}, cakind.New(cakind.KindNotStarted, "upstream %s has no capacity for %v", u.vm.ID, s.Size)
	}
	t := newTask(s, now)
	u.tasks[s.Attempt] = t
	u.bumpSequence(t)
	return t.status(now), nil
}

// Stop implements caplatform.Agent.
func (u *Upstream) Stop(_ context.Context, s caplatform.Stop) (caplatform.TaskStatus, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.advance()
	if u.epoch != s.Epoch {
		return caplatform.TaskStatus{}, u.fencedError(s.Epoch)
	}
	if state, ok := u.requests.stop(s.Attempt); ok {
		return caplatform.TaskStatus{Attempt: s.Attempt, Kind: cawork.WorkKindLookup, State: state}, nil
	}
	t, ok := u.tasks[s.Attempt]
	if !ok {
		t = newFencedTask(s.Attempt, now)
		u.tasks[s.Attempt] = t
		u.bumpSequence(t)
		return t.status(now), nil
	}
	if t.state == cawork.TaskStateRunning {
		t.stop(s.Mode, now)
		u.bumpSequence(t)
	}
	return t.status(now), nil
}

// Fence implements caplatform.Agent.
func (u *Upstream) Fence(_ context.Context, f caplatform.ShardFence) ([]caplatform.TaskStatus, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.advance()
	if f.View < u.fences[f.Shard] {
		return nil, cakind.New(cakind.KindFenced, "shard %s is fenced at view %d", f.Shard, u.fences[f.Shard])
	}
	u.fences[f.Shard] = f.View
	all := u.changedSince(0, now)
	return slices.DeleteFunc(all, func(s caplatform.TaskStatus) bool { return s.Shard != f.Shard }), nil
}

// ReadRegister implements caplatform.Agent.
func (u *Upstream) ReadRegister(_ context.Context, name string) (caplatform.Register, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.registers[name], nil
}

// SwapRegister implements caplatform.Agent.
func (u *Upstream) SwapRegister(_ context.Context, s caplatform.RegisterSwap) (caplatform.Register, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	current := u.registers[s.Name]
	if current.Version != s.Expected {
		return current, cakind.New(cakind.KindConflict, "register %s is at version %d", s.Name, current.Version)
	}
	next := caplatform.Register{Version: current.Version + 1, Value: s.Value}
	u.registers[s.Name] = next
	return next, nil
}

// advance ends the tasks and leases that are due, removes attempts past their
// retention, and returns the time.
func (u *Upstream) advance() time.Time {
	now := u.now()
	for id, t := range u.tasks {
		if t.advance(now) {
			u.bumpSequence(t)
		}
		if t.state.Ended() && now.Sub(t.endedAt) > endedRetention {
			delete(u.tasks, id)
		}
	}
	return now
}

func (u *Upstream) bumpSequence(t *task) {
	u.sequence++
	t.sequence = u.sequence
}

func (u *Upstream) owned(now time.Time) bool { return u.owner != "" && now.Before(u.ownedUntil) }

func (u *Upstream) ownership(now time.Time) caplatform.Ownership {
	return caplatform.Ownership{Holder: u.owner, Epoch: u.epoch, Remaining: u.ownedUntil.Sub(now)}
}

func (u *Upstream) fencedError(epoch caplatform.Epoch) error {
	return cakind.New(cakind.KindFenced, "upstream %s is owned by %q in epoch %d, not epoch %d", u.vm.ID, u.owner, u.epoch, epoch)
}

func (u *Upstream) committed() cawork.Resources {
	var sum cawork.Resources
	for _, t := range u.tasks {
		if t.state == cawork.TaskStateRunning {
			sum = sum.Plus(t.start.Size)
		}
	}
	return sum
}

func (u *Upstream) changedSince(since int64, now time.Time) []caplatform.TaskStatus {
	var changed []caplatform.TaskStatus
	for _, t := range u.tasks {
		if t.sequence > since {
			changed = append(changed, t.status(now))
		}
	}
	slices.SortFunc(changed, func(a, b caplatform.TaskStatus) int {
		return int(u.tasks[a.Attempt].sequence - u.tasks[b.Attempt].sequence)
	})
	return changed
}
