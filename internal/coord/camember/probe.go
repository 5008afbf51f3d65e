package camember

import (
	"slices"
	"time"
)

// nextProbes returns the probes of a period: the next member in a shuffled
// round, and one address that is not, or no longer, a live member.
func (s *State) nextProbes(now time.Time) []Probe {
	var probes []Probe
	if r, ok := s.nextMember(); ok {
		probes = append(probes, s.probeOf(r))
	}
	if p, ok := s.nextContact(now, len(probes) == 0); ok {
		probes = append(probes, p)
	}
	return probes
}

// nextMember returns the next live member in a round that visits each once.
func (s *State) nextMember() (*record, bool) {
	for range 2 {
		for s.cursor < len(s.order) {
			r, ok := s.records[s.order[s.cursor]]
			s.cursor++
			if ok && r != s.self && !r.standing.Liveness().Gone() {
				return r, true
			}
		}
		s.order, s.cursor = s.sortedKeys(), 0
		s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	return nil, false
}

// nextContact returns a probe of a seed, a listed VM or a dead member that is
// due. A member that left is tried too, because its VM may have been started
// again and know nobody. An entry that knows no other tries one in each period.
func (s *State) nextContact(now time.Time, alone bool) (Probe, bool) {
	pause := s.cfg.Retry
	if alone {
		pause = s.cfg.Period
	}
	live := map[string]bool{s.id.Address: true}
	var dead []*record
	for _, key := range s.sortedKeys() {
		r := s.records[key]
		if r.standing.Liveness().Gone() {
			dead = append(dead, r)
			continue
		}
		p, _ := r.place()
		live[p.Address] = true
	}
	var best Probe
	var bestAt time.Time
	consider := func(p Probe) {
		at, tried := s.contacts[p.Address]
		if tried && now.Sub(at) < pause || best.Address != "" && !at.Before(bestAt) {
			return
		}
		best, bestAt = p, at
	}
	for _, r := range dead {
		consider(s.probeOf(r))
	}
	for _, a := range slices.Concat(s.seeds, s.listed) {
		if !live[a] {
			consider(Probe{Address: a, Request: s.request(nil, s.cfg.Window)})
		}
	}
	if best.Address == "" {
		return Probe{}, false
	}
	s.contacts[best.Address] = now
	return best, true
}

func (s *State) probeOf(r *record) Probe {
	p, _ := r.place()
	return Probe{VM: p.VM, Address: p.Address, Request: s.request(r, s.cfg.Window)}
}

// HandleFailure notes that a probe got no answer and returns the relays to
// ask. A failure in the grace after a pause of this entry counts for nothing,
// and for a suspected member nobody else is asked again.
func (s *State) HandleFailure(now time.Time, p Probe) Step {
	r, ok := s.records[keyOf(p.VM)]
	if !ok || p.VM == "" || r.standing.Liveness().Gone() {
		return s.step(nil, nil)
	}
	if r.standing.Liveness() == LivenessSuspect {
		s.loseReach(r)
		return s.step(nil, nil)
	}
	s.failures = min(s.failures+1, 4*maxCaution)
	if now.Before(s.grace) {
		return s.step(nil, nil)
	}
	relays := s.relaysFor(r, p)
	if len(relays) == 0 {
		s.conclude(r, now)
	}
	return s.step(nil, relays)
}

func (s *State) relaysFor(target *record, p Probe) []Relay {
	var relays []Relay
	keys := s.sortedKeys()
	s.rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	for _, key := range keys {
		r := s.records[key]
		if r == s.self || r == target || r.standing.Liveness() != LivenessAlive || r.reach != ReachDirect {
			continue
		}
		at, _ := r.place()
		relays = append(relays, Relay{Address: at.Address, Target: p})
		if len(relays) == s.cfg.Relays {
			break
		}
	}
	return relays
}

// HandleRelayed notes whether any relay got an answer from the target.
func (s *State) HandleRelayed(now time.Time, p Probe, answered bool) Step {
	r, ok := s.records[keyOf(p.VM)]
	if !ok || r.standing.Liveness().Gone() {
		return s.step(nil, nil)
	}
	if answered {
		s.setReach(r, ReachIndirect)
		return s.step(nil, nil)
	}
	s.conclude(r, now)
	return s.step(nil, nil)
}

// conclude suspects a member that nobody got an answer from.
func (s *State) conclude(r *record, now time.Time) {
	s.setReach(r, ReachNone)
	if r.standing.Liveness() == LivenessAlive || r.standing.Liveness() == LivenessLeaving {
		s.believe(r, NewStanding(r.standing.Counter(), LivenessSuspect), now)
	}
}

// Isolated reports whether no other entry has answered this one for a while,
// although it knows some.
func (s *State) Isolated(now time.Time) bool {
	return len(s.records) > 1 && now.Sub(s.answered) > pausePeriods*s.period()+s.cfg.Suspicion
}

// loseReach notes that a member that was reached directly is not any more.
func (s *State) loseReach(r *record) {
	if r.reach == ReachDirect {
		s.setReach(r, ReachNone)
	}
}

func (s *State) setReach(r *record, reach Reach) {
	if r.reach == reach {
		return
	}
	r.reach = reach
	s.emit(r, r.standing.Liveness(), CauseReach)
}
