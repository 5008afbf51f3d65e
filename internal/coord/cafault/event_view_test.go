package cafault_test

import (
	"fmt"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cafeed"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// eventView is the state of an upstream that the events of its owner report.
type eventView struct {
	owns  bool
	epoch caplatform.Epoch
	tasks map[cawork.AttemptID]bool
}

// watchEvents applies the events of a process to its views and checks their order.
func (w *world) watchEvents(p *process, events *cafeed.Subscription[caowner.Event]) {
	for e := range events.C {
		w.mu.Lock()
		w.applyEvent(p, e)
		w.mu.Unlock()
	}
}

func (w *world) applyEvent(p *process, e caowner.Event) {
	view := p.views[e.Upstream]
	if view == nil {
		view = &eventView{}
		p.views[e.Upstream] = view
	}
	switch e.Kind {
	case caowner.EventKindGained:
		w.checkEvent(!view.owns && e.Epoch > view.epoch, p, e, view)
		*view = eventView{owns: true, epoch: e.Epoch, tasks: map[cawork.AttemptID]bool{}}
		view.addTasks(e.Tasks)
	case caowner.EventKindTasksChanged:
		w.checkEvent(view.owns && e.Epoch == view.epoch, p, e, view)
		view.addTasks(e.Tasks)
	case caowner.EventKindLost, caowner.EventKindReleased:
		w.checkEvent(view.owns && e.Epoch == view.epoch, p, e, view)
		view.owns = false
	case caowner.EventKindListed, caowner.EventKindLeaving, caowner.EventKindUnlisted:
	}
}

func (v *eventView) addTasks(tasks []caplatform.TaskStatus) {
	for _, t := range tasks {
		v.tasks[t.Attempt] = true
	}
}

func (w *world) checkEvent(ok bool, p *process, e caowner.Event, view *eventView) {
	if !ok {
		w.failures = append(w.failures, fmt.Sprintf("%s: unexpected event %s of %s in epoch %d; owned before: %t, epoch before: %d",
			p.name, e.Kind, e.Upstream, e.Epoch, view.owns, view.epoch))
	}
}

// unreportedAttempts returns the attempts at owned agents that no event has reported
// to the owner.
func (w *world) unreportedAttempts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var missing []string
	for _, p := range w.running() {
		for _, id := range p.owner.Owned() {
			for _, t := range w.agents[string(id)].attempts() {
				if view := p.views[id]; view == nil || !view.owns || !view.tasks[t.Attempt] {
					missing = append(missing, fmt.Sprintf("%s got no event about attempt %s at %s", p.name, t.Attempt, id))
				}
			}
		}
	}
	return missing
}
