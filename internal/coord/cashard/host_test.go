package cashard_test

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// host is a fake upstream with registers, fences and attempts of tasks.
type host struct {
	w           *world
	id          cawork.UpstreamID
	mu          sync.Mutex
	down        bool
	registers   map[string]caplatform.Register
	fencedBelow map[cawork.ShardID]int64
	tasks       map[cawork.AttemptID]*caplatform.TaskStatus
	endTimes    map[cawork.AttemptID]time.Time
}

func newHost(w *world, i int) *host {
	return &host{
		w: w, id: cawork.UpstreamID(fmt.Sprintf("u%d", i)),
		registers: map[string]caplatform.Register{}, fencedBelow: map[cawork.ShardID]int64{},
		tasks: map[cawork.AttemptID]*caplatform.TaskStatus{}, endTimes: map[cawork.AttemptID]time.Time{},
	}
}

// lockIfUp locks the host, or returns an error if its agent is down.
func (h *host) lockIfUp() error {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return cakind.New(cakind.KindUnavailable, "upstream %s is down", h.id)
	}
	h.endDueTasks()
	return nil
}

// endDueTasks ends the attempts whose end time has passed, also while the agent is
// down.
func (h *host) endDueTasks() {
	for id, end := range h.endTimes {
		if !time.Now().Before(end) {
			h.tasks[id].State = cawork.TaskStateDone
			delete(h.endTimes, id)
		}
	}
}

func (h *host) readRegister(name string) (caplatform.Register, error) {
	if err := h.lockIfUp(); err != nil {
		return caplatform.Register{}, err
	}
	defer h.mu.Unlock()
	return h.registers[name], nil
}

func (h *host) swapRegister(s caplatform.RegisterSwap) (caplatform.Register, error) {
	if err := h.lockIfUp(); err != nil {
		return caplatform.Register{}, err
	}
	defer h.mu.Unlock()
	current := h.registers[s.Name]
	if current.Version != s.Expected {
		return current, cakind.New(cakind.KindConflict, "register is at version %d", current.Version)
	}
	h.registers[s.Name] = caplatform.Register{Version: current.Version + 1, Value: s.Value}
	return h.registers[s.Name], nil
}

func (h *host) start(s caplatform.Start) (caplatform.TaskStatus, error) {
	if err := h.lockIfUp(); err != nil {
		return caplatform.TaskStatus{}, err
	}
	defer h.mu.Unlock()
	if t, ok := h.tasks[s.Attempt]; ok {
		return *t, nil
	}
	if s.View < h.fencedBelow[s.Shard] {
		return caplatform.TaskStatus{}, cakind.New(cakind.KindFenced, "view %d is below the fence at view %d", s.View, h.fencedBelow[s.Shard])
	}
	h.tasks[s.Attempt] = &caplatform.TaskStatus{
		Attempt: s.Attempt, Task: s.Task, Shard: s.Shard, Team: s.Team, Size: s.Size, State: cawork.TaskStateRunning,
	}
	h.endTimes[s.Attempt] = time.Now().Add(time.Duration(500+h.w.intn(4000)) * time.Millisecond)
	h.w.checkStart(h, s)
	return *h.tasks[s.Attempt], nil
}

// stop fences an attempt that has not started, and stops a running one.
func (h *host) stop(s caplatform.Start) (caplatform.TaskStatus, error) {
	if err := h.lockIfUp(); err != nil {
		return caplatform.TaskStatus{}, err
	}
	defer h.mu.Unlock()
	t, ok := h.tasks[s.Attempt]
	switch {
	case !ok:
		t = &caplatform.TaskStatus{Attempt: s.Attempt, Task: s.Task, Shard: s.Shard, State: cawork.TaskStateFenced}
		h.tasks[s.Attempt] = t
	case t.State == cawork.TaskStateRunning:
		t.State = cawork.TaskStateStopped
		delete(h.endTimes, s.Attempt)
	}
	return *t, nil
}

func (h *host) status(a cawork.AttemptID) (caplatform.TaskStatus, error) {
	if err := h.lockIfUp(); err != nil {
		return caplatform.TaskStatus{}, err
	}
	defer h.mu.Unlock()
	if t, ok := h.tasks[a]; ok {
		return *t, nil
	}
	return caplatform.TaskStatus{Attempt: a, State: cawork.TaskStateAbsent}, nil
}

func (h *host) fence(f caplatform.ShardFence) ([]caplatform.TaskStatus, error) {
	if err := h.lockIfUp(); err != nil {
		return nil, err
	}
	defer h.mu.Unlock()
	if f.View < h.fencedBelow[f.Shard] {
		return nil, cakind.New(cakind.KindFenced, "view %d is below the fence at view %d", f.View, h.fencedBelow[f.Shard])
	}
	h.fencedBelow[f.Shard] = f.View
	var out []caplatform.TaskStatus
	for _, t := range h.tasks {
		if t.Shard == f.Shard {
			out = append(out, *t)
		}
	}
	return out, nil
}

// running returns the running attempts, sorted by ID.
func (h *host) running() []caplatform.TaskStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endDueTasks()
	var out []caplatform.TaskStatus
	for _, t := range h.tasks {
		if t.State == cawork.TaskStateRunning {
			out = append(out, *t)
		}
	}
	slices.SortFunc(out, func(a, b caplatform.TaskStatus) int { return compareIDs(a.Attempt, b.Attempt) })
	return out
}
