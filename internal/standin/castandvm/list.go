// Package castandvm is a stand-in for the list of VMs of the platform.
package castandvm

import (
	"context"
	"slices"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// List is a list of VMs that returns each change after a lag.
type List struct {
	mu      sync.Mutex
	now     func() time.Time
	lag     time.Duration
	down    bool
	visible []caplatform.VM
	current []caplatform.VM
	pending []change
}

type change struct {
	visibleAt time.Time
	vms       []caplatform.VM
}

// NewList returns a list with the given VMs. Later changes become visible after
// the lag.
func NewList(now func() time.Time, lag time.Duration, vms []caplatform.VM) *List {
	return &List{now: now, lag: lag, visible: slices.Clone(vms), current: slices.Clone(vms)}
}

// SetDown makes the list unreachable, or reachable again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Put adds the VM or replaces the one with its id.
func (l *List) Put(vm caplatform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := slices.DeleteFunc(slices.Clone(l.current), func(o caplatform.VM) bool { return o.ID == vm.ID })
	l.current = append(vms, vm)
	l.pending = append(l.pending, change{visibleAt: l.now().Add(l.lag), vms: l.current})
}

// Remove removes the VM from the list.
func (l *List) Remove(id cawork.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = slices.DeleteFunc(slices.Clone(l.current), func(o caplatform.VM) bool { return o.ID == id })
	l.pending = append(l.pending, change{visibleAt: l.now().Add(l.lag), vms: l.current})
}

// SetState changes the state of a VM. It reports whether the VM is listed.
func (l *List) SetState(id cawork.VMID, state caplatform.VMState) bool {
	l.mu.Lock()
	i := slices.IndexFunc(l.current, func(vm caplatform.VM) bool { return vm.ID == id })
	if i < 0 {
		l.mu.Unlock()
		return false
	}
	vm := l.current[i]
	l.mu.Unlock()
	vm.State = state
	l.Put(vm)
	return true
}

// List implements caplatform.VMList.
func (l *List) List(context.Context) ([]caplatform.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, cakind.New(cakind.KindUnavailable, "the list of VMs is down")
	}
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(l.now()) {
		l.visible = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return slices.Clone(l.visible), nil
}
