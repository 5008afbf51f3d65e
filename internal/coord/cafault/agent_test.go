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

// agent is a fake of the agent of one upstream that grants a lease on it: every
// granted claim increases the epoch, and calls are refused once the lease has
// expired.
type agent struct {
	mu       sync.Mutex
	id       cawork.UpstreamID
	holder   cawork.VMID
	epoch    caplatform.Epoch
	expires  time.Time
	sequence int64
	tasks    []caplatform.TaskStatus
	// starterOf holds, by epoch, the process whose starts were accepted.
	starterOf map[caplatform.Epoch]string
	failures  []string
	refused   int
}

func newAgent(id cawork.UpstreamID) *agent {
	return &agent{id: id, starterOf: map[caplatform.Epoch]string{}}
}

func (a *agent) isHeld() bool { return a.holder != "" && time.Now().Before(a.expires) }

func (a *agent) ownership() caplatform.Ownership {
	o := caplatform.Ownership{Holder: a.holder, Epoch: a.epoch}
	if a.isHeld() {
		o.Remaining = time.Until(a.expires)
	}
	return o
}

func (a *agent) claim(c caplatform.Claim) caplatform.ClaimResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isHeld() && a.holder != c.Holder {
		return caplatform.ClaimResult{Ownership: a.ownership()}
	}
	a.holder, a.expires = c.Holder, time.Now().Add(c.TTL)
	a.epoch++
	return caplatform.ClaimResult{Granted: true, Ownership: a.ownership(), Tasks: slices.Clone(a.tasks)}
}

func (a *agent) check(e caplatform.Epoch) error {
	if !a.isHeld() || e != a.epoch {
		return cakind.New(cakind.KindFenced, "call in epoch %d is fenced: current epoch %d, lease held %t", e, a.epoch, a.isHeld())
	}
	return nil
}

func (a *agent) heartbeat(h caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(h.Epoch); err != nil {
		return caplatform.HeartbeatResult{}, err
	}
	a.expires = time.Now().Add(h.TTL)
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

// start accepts a start by the process and checks that no start by another process
// was accepted in the epoch.
func (a *agent) start(process string, s caplatform.Start) (caplatform.TaskStatus, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(s.Epoch); err != nil {
		a.refused++
		return caplatform.TaskStatus{}, err
	}
	if starter, ok := a.starterOf[s.Epoch]; ok && starter != process {
		a.failures = append(a.failures, fmt.Sprintf("%s: accepted starts by both %s and %s in epoch %d", a.id, starter, process, s.Epoch))
	}
	a.starterOf[s.Epoch] = process
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

// attempts returns the status of all attempts started at the agent.
func (a *agent) attempts() []caplatform.TaskStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.tasks)
}

// isHeldBy reports whether the VM holds an unexpired lease.
func (a *agent) isHeldBy(vm cawork.VMID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isHeld() && a.holder == vm
}

// agentClient calls an agent over the network on behalf of one process.
type agentClient struct {
	caplatform.Agent
	net     *network
	from    string
	process string
	to      string
	agent   *agent
}

func (c agentClient) Claim(ctx context.Context, r caplatform.Claim) (caplatform.ClaimResult, error) {
	return call(ctx, c.net, c.from, c.to, func() (caplatform.ClaimResult, error) { return c.agent.claim(r), nil })
}

func (c agentClient) Heartbeat(ctx context.Context, r caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	return call(ctx, c.net, c.from, c.to, func() (caplatform.HeartbeatResult, error) { return c.agent.heartbeat(r) })
}

func (c agentClient) Release(ctx context.Context, o caplatform.Ownership) error {
	_, err := call(ctx, c.net, c.from, c.to, func() (struct{}, error) { return struct{}{}, c.agent.release(o) })
	return err
}

func (c agentClient) Start(ctx context.Context, s caplatform.Start) (caplatform.TaskStatus, error) {
	return call(ctx, c.net, c.from, c.to, func() (caplatform.TaskStatus, error) { return c.agent.start(c.process, s) })
}

func (c agentClient) ReadRegister(ctx context.Context, _ string) (caplatform.Register, error) {
	return call(ctx, c.net, c.from, c.to, func() (caplatform.Register, error) { return caplatform.Register{}, nil })
}
