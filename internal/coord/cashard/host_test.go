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

// host is an upstream: registers, fences and running attempts.
type host struct {
	w         *world
	id        cawork.UpstreamID
	mu        sync.Mutex
	down      bool
	registers map[string]caplatform.Register
	views     map[cawork.ShardID]int64
	tasks     map[cawork.AttemptID]*caplatform.TaskStatus
	ends      map[cawork.AttemptID]time.Time
}

func newHost(w *world, i int) *host {
	return &host{
		w: w, id: cawork.UpstreamID(fmt.Sprintf("u%d", i)),
		registers: map[string]caplatform.Register{}, views: map[cawork.ShardID]int64{},
		tasks: map[cawork.AttemptID]*caplatform.TaskStatus{}, ends: map[cawork.AttemptID]time.Time{},
	}
}

// lock fails when the agent does not answer.
func (h *host) lock() error {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return cakind.New(cakind.KindUnavailable, "upstream %s is down", h.id)
	}
	h.finish()
	return nil
}

// finish ends the attempts whose time has come, also while the agent is down.
func (h *host) finish() {
	for id, end := range h.ends {
		if !time.Now().Before(end) {
			h.tasks[id].State = cawork.TaskStateDone
			delete(h.ends, id)
		}
	}
}

func (h *host) read(name string) (caplatform.Register, error) {
	if err := h.lock(); err != nil {
		return caplatform.Register{}, err
	}
	defer h.mu.Unlock()
	return h.registers[name], nil
}

func (h *host) swap(s caplatform.RegisterSwap) (caplatform.Register, error) {
	if err := h.lock(); err != nil {
		return caplatform.Register{}, err
	}
	defer h.mu.Unlock()
	held := h.registers[s.Name]
	if held.Version != s.Expected {
		return held, cakind.New(cakind.KindConflict, "register is at version %d", held.Version)
	}
	h.registers[s.Name] = caplatform.Register{Version: held.Version + 1, Value: s.Value}
	return h.registers[s.Name], nil
}

func (h *host) start(s caplatform.Start) (caplatform.TaskStatus, error) {
	if err := h.lock(); err != nil {
		return caplatform.TaskStatus{}, err
	}
	defer h.mu.Unlock()
	if t, ok := h.tasks[s.Attempt]; ok {
		return *t, nil
	}
	if s.View < h.views[s.Shard] {
		return caplatform.TaskStatus{}, cakind.New(cakind.KindFenced, "view %d is below %d", s.View, h.views[s.Shard])
	}
	h.tasks[s.Attempt] = &caplatform.TaskStatus{
		Attempt: s.Attempt, Task: s.Task, Shard: s.Shard, Team: s.Team, Size: s.Size, State: cawork.TaskStateRunning,
	}
	h.ends[s.Attempt] = time.Now().Add(time.Duration(500+h.w.intn(4000)) * time.Millisecond)
	h.w.started(h, s)
	return *h.tasks[s.Attempt], nil
}

// stop fences an attempt that never started, and ends one that runs.
func (h *host) stop(s caplatform.Start) (caplatform.TaskStatus, error) {
	if err := h.lock(); err != nil {
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
		delete(h.ends, s.Attempt)
	}
	return *t, nil
}

func (h *host) status(a cawork.AttemptID) (caplatform.TaskStatus, error) {
	if err := h.lock(); err != nil {
		return caplatform.TaskStatus{}, err
	}
	defer h.mu.Unlock()
	if t, ok := h.tasks[a]; ok {
		return *t, nil
	}
	return caplatform.TaskStatus{Attempt: a, State: cawork.TaskStateAbsent}, nil
}

func (h *host) fence(f caplatform.ShardFence) ([]caplatform.TaskStatus, error) {
	if err := h.lock(); err != nil {
		return nil, err
	}
	defer h.mu.Unlock()
	if f.View < h.views[f.Shard] {
		return nil, cakind.New(cakind.KindFenced, "view %d is below %d", f.View, h.views[f.Shard])
	}
	h.views[f.Shard] = f.View
	var out []caplatform.TaskStatus
	for _, t := range h.tasks {
		if t.Shard == f.Shard {
			out = append(out, *t)
		}
	}
	return out, nil
}

// running returns the attempts that run now.
func (h *host) running() []caplatform.TaskStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finish()
	var out []caplatform.TaskStatus
	for _, t := range h.tasks {
		if t.State == cawork.TaskStateRunning {
			out = append(out, *t)
		}
	}
	slices.SortFunc(out, func(a, b caplatform.TaskStatus) int { return compareIDs(a.Attempt, b.Attempt) })
	return out
}
