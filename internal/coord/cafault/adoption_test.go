package cafault_test

import (
	"fmt"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cafeed"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// adoption is what an owner knows of an upstream from events alone.
type adoption struct {
	owns  bool
	epoch caplatform.Epoch
	tasks map[cawork.AttemptID]bool
}

// follow keeps what the events of a process tell, and checks their order.
func (w *world) follow(p *process, events *cafeed.Subscription[caowner.Event]) {
	for e := range events.C {
		w.mu.Lock()
		w.adopt(p, e)
		w.mu.Unlock()
	}
}

func (w *world) adopt(p *process, e caowner.Event) {
	a := p.adopted[e.Upstream]
	if a == nil {
		a = &adoption{}
		p.adopted[e.Upstream] = a
	}
	switch e.Kind {
	case caowner.EventKindGained:
		w.expect(!a.owns && e.Epoch > a.epoch, p, e, a)
		*a = adoption{owns: true, epoch: e.Epoch, tasks: map[cawork.AttemptID]bool{}}
		a.add(e.Tasks)
	case caowner.EventKindTasksChanged:
		w.expect(a.owns && e.Epoch == a.epoch, p, e, a)
		a.add(e.Tasks)
	case caowner.EventKindLost, caowner.EventKindReleased:
		w.expect(a.owns && e.Epoch == a.epoch, p, e, a)
		a.owns = false
	case caowner.EventKindListed, caowner.EventKindLeaving, caowner.EventKindUnlisted:
	}
}

func (a *adoption) add(tasks []caplatform.TaskStatus) {
	for _, t := range tasks {
		a.tasks[t.Attempt] = true
	}
}

func (w *world) expect(ok bool, p *process, e caowner.Event, a *adoption) {
	if !ok {
		w.broken = append(w.broken, fmt.Sprintf("%s: event %s of %s in epoch %d after owns %t, epoch %d",
			p.name, e.Kind, e.Upstream, e.Epoch, a.owns, a.epoch))
	}
}

// unadopted returns the attempts that an agent knows and its owner does not.
func (w *world) unadopted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var missing []string
	for _, p := range w.running() {
		for _, id := range p.owner.Owned() {
			for _, t := range w.agents[string(id)].known() {
				if a := p.adopted[id]; a == nil || !a.owns || !a.tasks[t.Attempt] {
					missing = append(missing, fmt.Sprintf("%s does not know %s at %s", p.name, t.Attempt, id))
				}
			}
		}
	}
	return missing
}
