package camember

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Greetings looks up the greeting that was last received from the entry at an
// address.
type Greetings interface {
	Greeting(address string) (caversion.Greeting, bool)
}

// HandleGreeting stores the greeting of a member. Greetings of version 0.2.0
// contain no incarnation.
func (s *State) HandleGreeting(vm cawork.VMID, g caversion.Greeting) {
	r, ok := s.records[keyOf(vm)]
	if !ok || g.Incarnation != 0 && Incarnation(g.Incarnation) != r.incarnation {
		return
	}
	r.greeting, r.foreign = g, false
}

// HandleForeign processes the greeting of an entry that answered a probe but
// supports no protocol version of this one. The two can exchange no other
// message, so the greeting serves as proof of liveness and refutes a suspicion
// on behalf of the entry:
//
//	unknown member      added as alive, without application state
//	new incarnation     replaces the previous one
//	suspect or dead     becomes alive
func (s *State) HandleForeign(now time.Time, p Probe, g caversion.Greeting) Step {
	if g.VM == "" {
		// Greetings of version 0.2.0 contain no VM id.
		g.VM = p.VM
	}
	key := keyOf(g.VM)
	if g.VM == "" || key == s.self.key || s.tombstones[key] {
		return s.makeStep(nil, nil)
	}
	r, ok := s.records[key]
	if !ok || Incarnation(g.Incarnation) > r.incarnation {
		place := &Place{VM: g.VM, Address: g.Address, Zone: g.Zone}
		s.applyNewIncarnation(now, Delta{
			Key: key, Incarnation: Incarnation(g.Incarnation), Sections: []Section{{Version: 1, Place: place}},
		}, r)
		r = s.records[key]
	}
	if g.Incarnation != 0 && Incarnation(g.Incarnation) < r.incarnation {
		return s.makeStep(nil, nil)
	}
	s.setReach(r, ReachDirect)
	if l := r.standing.Liveness(); l == LivenessSuspect || l == LivenessDead {
		s.setStanding(r, NewStanding(r.standing.Counter()+1, LivenessAlive), now)
	}
	r.greeting = g
	if !r.foreign {
		r.foreign = true
		s.emit(r, r.standing.Liveness(), CauseForeign)
	}
	return s.makeStep(nil, nil)
}
