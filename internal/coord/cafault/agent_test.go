package cafault_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// agent is the agent of one upstream with the semantics of a lease: epochs
// grow with every granted claim, and nothing is accepted after a lapse.
type agent struct {
	mu       sync.Mutex
	id       cawork.UpstreamID
	holder   cawork.VMID
	epoch    caplatform.Epoch
	until    time.Time
	sequence int64
	tasks    []caplatform.TaskStatus
	// starters names the process that had starts accepted in an epoch.
	starters map[caplatform.Epoch]string
	broken   []string
	refused  int
}

func newAgent(id cawork.UpstreamID) *agent {
	return &agent{id: id, starters: map[caplatform.Epoch]string{}}
}

func (a *agent) held() bool { return a.holder != "" && time.Now().Before(a.until) }

func (a *agent) ownership() caplatform.Ownership {
	o := caplatform.Ownership{Holder: a.holder, Epoch: a.epoch}
	if a.held() {
		o.Remaining = time.Until(a.until)
	}
	return o
}

func (a *agent) claim(c caplatform.Claim) caplatform.ClaimResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held() && a.holder != c.Holder {
		return caplatform.ClaimResult{Ownership: a.ownership()}
	}
	a.holder, a.until = c.Holder, time.Now().Add(c.TTL)
	a.epoch++
	return caplatform.ClaimResult{Granted: true, Ownership: a.ownership(), Tasks: slices.Clone(a.tasks)}
}

func (a *agent) check(e caplatform.Epoch) error {
	if !a.held() || e != a.epoch {
		return cakind.New(cakind.KindFenced, "epoch %d at %d, held %t", e, a.epoch, a.held())
	}
	return nil
}

func (a *agent) heartbeat(h caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(h.Epoch); err != nil {
		return caplatform.HeartbeatResult{}, err
	}
	a.until = time.Now().Add(h.TTL)
	return caplatform.HeartbeatResult{
		Ownership: a.ownership(), Sequence: a.sequence, Changed: slices.Clone(a.tasks[min(int(h.Since), len(a.tasks)):]),
	}, nil
}

func (a *agent) release(o caplatform.Ownership) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(o.Epoch); err != nil {
		return err
	}
	a.holder = ""
	return nil
}

// start accepts a start of the process and checks that no other process had
// one accepted in the epoch.
func (a *agent) start(process string, s caplatform.Start) (caplatform.TaskStatus, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(s.Epoch); err != nil {
		a.refused++
		return caplatform.TaskStatus{}, err
	}
	if by, ok := a.starters[s.Epoch]; ok && by != process {
		a.broken = append(a.broken, fmt.Sprintf("%s: starts of %s and %s in epoch %d", a.id, by, process, s.Epoch))
	}
	a.starters[s.Epoch] = process
	for _, t := range a.tasks {
		if t.Attempt == s.Attempt {
			return t, nil
		}
	}
	t := caplatform.TaskStatus{Attempt: s.Attempt, State: cawork.TaskStateRunning}
	a.tasks = append(a.tasks, t)
	a.sequence = int64(len(a.tasks))
	return t, nil
}

// known returns the attempts that the agent knows.
func (a *agent) known() []caplatform.TaskStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.tasks)
}

// holds reports whether the lease stands and is the holder's.
func (a *agent) holds(vm cawork.VMID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held() && a.holder == vm
}

// client is an agent as one process reaches it.
type client struct {
	caplatform.Agent
	net     *network
	from    string
	process string
	to      string
	agent   *agent
}

func (c client) Claim(ctx context.Context, r caplatform.Claim) (caplatform.ClaimResult, error) {
	return carry(ctx, c.net, c.from, c.to, func() (caplatform.ClaimResult, error) { return c.agent.claim(r), nil })
}

func (c client) Heartbeat(ctx context.Context, r caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	return carry(ctx, c.net, c.from, c.to, func() (caplatform.HeartbeatResult, error) { return c.agent.heartbeat(r) })
}

func (c client) Release(ctx context.Context, o caplatform.Ownership) error {
	_, err := carry(ctx, c.net, c.from, c.to, func() (struct{}, error) { return struct{}{}, c.agent.release(o) })
	return err
}

func (c client) Start(ctx context.Context, s caplatform.Start) (caplatform.TaskStatus, error) {
	return carry(ctx, c.net, c.from, c.to, func() (caplatform.TaskStatus, error) { return c.agent.start(c.process, s) })
}

func (c client) ReadRegister(ctx context.Context, _ string) (caplatform.Register, error) {
	return carry(ctx, c.net, c.from, c.to, func() (caplatform.Register, error) { return caplatform.Register{}, nil })
}
