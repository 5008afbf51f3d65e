package camember

import (
	"slices"
	"time"
)

// nextProbes returns the probes of a period: one of the next live member in a
// shuffled round, and one of an address without a live member.
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

// nextMember returns the next member that is neither dead nor left, in a
// shuffled round that visits each member once.
func (s *State) nextMember() (*record, bool) {
	for range 2 {
		for s.probeCursor < len(s.probeOrder) {
			r, ok := s.records[s.probeOrder[s.probeCursor]]
			s.probeCursor++
			if ok && r != s.self && !r.standing.Liveness().Gone() {
				return r, true
			}
		}
		s.probeOrder, s.probeCursor = s.sortedKeys(), 0
		s.rng.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
	}
	return nil, false
}

// nextContact returns a probe of the seed, listed address, or dead member whose
// last contact is the longest ago, if that was at least Config.Retry ago.
// Members that left are included, because the VM may have restarted without
// knowledge of other members. An entry without other members contacts an
// address in each period.
func (s *State) nextContact(now time.Time, noMembers bool) (Probe, bool) {
	interval := s.cfg.Retry
	if noMembers {
		interval = s.cfg.Period
	}
	liveAddresses := map[string]bool{s.id.Address: true}
	var ended []*record
	for _, key := range s.sortedKeys() {
		r := s.records[key]
		if r.standing.Liveness().Gone() {
			ended = append(ended, r)
			continue
		}
		p, _ := r.place()
		liveAddresses[p.Address] = true
	}
	var best Probe
	var bestLastTry time.Time
	considerContact := func(p Probe) {
		lastTry, tried := s.contactedAt[p.Address]
		if tried && now.Sub(lastTry) < interval || best.Address != "" && !lastTry.Before(bestLastTry) {
			return
		}
		best, bestLastTry = p, lastTry
	}
	for _, r := range ended {
		considerContact(s.probeOf(r))
	}
	for _, a := range slices.Concat(s.seeds, s.listedAddresses) {
		if !liveAddresses[a] {
			considerContact(Probe{Address: a, Request: s.newRequest(nil, s.cfg.Window)})
		}
	}
	if best.Address == "" {
		return Probe{}, false
	}
	s.contactedAt[best.Address] = now
	return best, true
}

func (s *State) probeOf(r *record) Probe {
	p, _ := r.place()
	return Probe{VM: p.VM, Address: p.Address, Request: s.newRequest(r, s.cfg.Window)}
}

// HandleProbeFailure processes a probe without an answer and returns the relays to
// ask for indirect probes. During the grace period after a pause of this entry
// it neither asks relays nor suspects the member. A member that is already
// suspected is not probed through relays again.
func (s *State) HandleProbeFailure(now time.Time, p Probe) Step {
	r, ok := s.records[keyOf(p.VM)]
	if !ok || p.VM == "" || r.standing.Liveness().Gone() {
		return s.makeStep(nil, nil)
	}
	if r.standing.Liveness() == LivenessSuspect {
		s.clearDirectReach(r)
		return s.makeStep(nil, nil)
	}
	s.failureScore = min(s.failureScore+1, 4*maxExtraSuspicion)
	if now.Before(s.graceUntil) {
		return s.makeStep(nil, nil)
	}
	relays := s.relaysFor(r, p)
	if len(relays) == 0 {
		s.suspect(r, now)
	}
	return s.makeStep(nil, relays)
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
		place, _ := r.place()
		relays = append(relays, Relay{Address: place.Address, Target: p})
		if len(relays) == s.cfg.Relays {
			break
		}
	}
	return relays
}

// HandleRelayResult processes the result of indirect probes of the target. Answered
// reports whether any relay received an answer.
func (s *State) HandleRelayResult(now time.Time, p Probe, answered bool) Step {
	r, ok := s.records[keyOf(p.VM)]
	if !ok || r.standing.Liveness().Gone() {
		return s.makeStep(nil, nil)
	}
	if answered {
		s.setReach(r, ReachIndirect)
		return s.makeStep(nil, nil)
	}
	s.suspect(r, now)
	return s.makeStep(nil, nil)
}

// suspect sets the reach of a member to ReachNone and marks it as suspected if
// it is alive or leaving.
func (s *State) suspect(r *record, now time.Time) {
	s.setReach(r, ReachNone)
	if r.standing.Liveness() == LivenessAlive || r.standing.Liveness() == LivenessLeaving {
		s.setStanding(r, NewStanding(r.standing.Counter(), LivenessSuspect), now)
	}
}

// Isolated reports whether this entry knows other members but has received no
// answer from any for several periods.
func (s *State) Isolated(now time.Time) bool {
	return len(s.records) > 1 && now.Sub(s.lastAnswer) > pausePeriods*s.probePeriod()+s.cfg.Suspicion
}

// clearDirectReach marks a member as unreachable if it was reached directly
// before.
func (s *State) clearDirectReach(r *record) {
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
