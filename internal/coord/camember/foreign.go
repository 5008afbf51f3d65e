package camember

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Greetings tells what the entry at an address told of its version.
type Greetings interface {
	Greeting(address string) (caversion.Greeting, bool)
}

// HandleGreeting takes over what a member told of its version. An entry of
// version 0.2.0 tells no incarnation.
func (s *State) HandleGreeting(vm cawork.VMID, g caversion.Greeting) {
	r, ok := s.records[keyOf(vm)]
	if !ok || g.Incarnation != 0 && Incarnation(g.Incarnation) != r.incarnation {
		return
	}
	r.greeting, r.foreign = g, false
}

// HandleForeign takes over the greeting of an entry that answered a probe and
// speaks no protocol of this one. The greeting is all that is understood of it,
// so it stands for its part in membership: it tells that the entry runs, and
// refutes a suspicion in its name.
//
//	not met before      a member that is alive, without application state
//	a new incarnation   the former one is over
//	suspect or dead     alive again
func (s *State) HandleForeign(now time.Time, p Probe, g caversion.Greeting) Step {
	if g.VM == "" {
		// Version 0.2.0 does not tell its name.
		g.VM = p.VM
	}
	key := keyOf(g.VM)
	if g.VM == "" || key == s.self.key || s.banned[key] {
		return s.step(nil, nil)
	}
	r, ok := s.records[key]
	if !ok || Incarnation(g.Incarnation) > r.incarnation {
		place := &Place{VM: g.VM, Address: g.Address, Zone: g.Zone}
		s.applyNew(now, Delta{
			Key: key, Incarnation: Incarnation(g.Incarnation), Sections: []Section{{Version: 1, Place: place}},
		}, r)
		r = s.records[key]
	}
	if g.Incarnation != 0 && Incarnation(g.Incarnation) < r.incarnation {
		return s.step(nil, nil)
	}
	s.setReach(r, ReachDirect)
	if l := r.standing.Liveness(); l == LivenessSuspect || l == LivenessDead {
		s.believe(r, NewStanding(r.standing.Counter()+1, LivenessAlive), now)
	}
	r.greeting = g
	if !r.foreign {
		r.foreign = true
		s.emit(r, r.standing.Liveness(), CauseForeign)
	}
	return s.step(nil, nil)
}
