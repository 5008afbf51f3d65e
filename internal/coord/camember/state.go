package camember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
)

// State is the core of membership. It performs no I/O; the caller passes the
// time in, sends what Step lists, and reports what came of it. It is not safe
// for concurrent use.
type State struct {
	cfg   Config
	id    Identity
	check *cacheck.Checker
	rng   *rand.Rand

	records map[uint64]*record
	self    *record
	wanted  AppState

	usageDue  time.Time
	lastTick  time.Time
	answered  time.Time
	grace     time.Time
	sequence  uint64
	cursor    int
	order     []uint64
	contacts  map[string]time.Time
	seeds     []string
	listed    []string
	banned    map[uint64]bool
	failures  int
	events    []MemberChanged
	nextProbe time.Time
	windowAt  int
	lastProbe time.Time

	news         bool
	newestConfig int64
	// urgent limits the changes of each section other than usage.
	urgent map[sectionKey]*rate.Limiter
}

// NewState returns the state of an entry that knows only itself and the
// addresses of seeds. The seed of the random generator decides the order of
// probes.
func NewState(cfg Config, id Identity, seeds []string, now time.Time, seed uint64, check *cacheck.Checker) *State {
	s := &State{
		cfg: cfg, id: id, check: check, rng: rand.New(rand.NewPCG(seed, keyOf(id.VM))),
		records: map[uint64]*record{}, contacts: map[string]time.Time{}, banned: map[uint64]bool{},
		seeds: slices.Clone(seeds), lastTick: now, answered: now, urgent: map[sectionKey]*rate.Limiter{},
	}
	s.nextProbe = now.Add(time.Duration(s.rng.Int64N(int64(cfg.Period))))
	s.self = &record{
		key: keyOf(id.VM), incarnation: Incarnation(max(now.Unix(), 1)), since: now, joined: now, live: now,
	}
	s.records[s.self.key] = s.self
	s.publishSection(now, Section{Place: &Place{VM: id.VM, Address: id.Address, Zone: id.Zone}})
	return s
}

// Probe is an exchange to be made with the VM, unknown for a seed, at the
// address.
type Probe struct {
	VM      cawork.VMID
	Address string
	Request ExchangeRequest
}

// Relay asks the entry at Address to probe the target.
type Relay struct {
	Address string
	Target  Probe
}

// Step is what is to be done after a call.
type Step struct {
	Probes []Probe
	Relays []Relay
	Events []MemberChanged
}

func (s *State) step(probes []Probe, relays []Relay) Step {
	events := s.events
	s.events = nil
	s.check.Assert(!s.self.standing.Liveness().Gone() || s.self.standing.Liveness() == LivenessLeft,
		cacheck.RuleSelfStanding, "own standing %+v", s.self.standing)
	return Step{Probes: probes, Relays: relays, Events: events}
}

// SetLocal sets the application state that the others are told.
func (s *State) SetLocal(a AppState) { s.wanted = a }

// Leave marks the own entry as draining, or as ended by itself.
func (s *State) Leave(left bool) {
	liveness := LivenessLeaving
	if left {
		liveness = LivenessLeft
	}
	s.self.standing = NewStanding(s.self.standing.Counter()+1, liveness)
	s.touch(s.self, true)
}

// Announce returns exchanges that tell the own standing at once to the members
// of the zone, which take over what this entry gives up, and to a few others.
func (s *State) Announce() []Probe {
	var probes []Probe
	others := 0
	for _, key := range s.sortedKeys() {
		r := s.records[key]
		if r == s.self || r.standing.Liveness().Gone() {
			continue
		}
		if p, _ := r.place(); p.Zone != s.id.Zone {
			others++
			if others > s.cfg.Relays {
				continue
			}
		}
		probes = append(probes, s.probeOf(r))
	}
	return probes
}

// Members returns all known members ordered by VM id, the own entry included.
// The slices in their application state are shared and must not be changed.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.records))
	for _, r := range s.records {
		members = append(members, r.member())
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// Member returns a known member, false for a VM that is not met yet.
func (s *State) Member(vm cawork.VMID) (Member, bool) {
	r, ok := s.records[keyOf(vm)]
	if !ok {
		return Member{}, false
	}
	m := r.member()
	return m, m.VM == vm
}

// Self returns the own entry.
func (s *State) Self() Member { return s.self.member() }

// SetListed takes over the entries that the platform lists. Live lists
// addresses worth a contact; gone lists VMs that never run again.
func (s *State) SetListed(live []string, gone []cawork.VMID) {
	s.listed = slices.Clone(live)
	for _, vm := range gone {
		key := keyOf(vm)
		if key == s.self.key || s.banned[key] {
			continue
		}
		s.banned[key] = true
		s.forget(key)
	}
}

func (s *State) forget(key uint64) {
	r, ok := s.records[key]
	if !ok {
		return
	}
	was := r.standing.Liveness()
	r.standing = NewStanding(r.standing.Counter(), LivenessDead)
	s.emit(r, was, CauseUnlisted)
	delete(s.records, key)
}

// Tick advances time: it publishes, ends suspicions and begins a probe.
func (s *State) Tick(now time.Time) Step {
	s.notePause(now)
	s.publish(now)
	s.expire(now)
	probes := s.verifications(now)
	if s.news && now.Sub(s.lastProbe) >= s.cfg.Period/2 {
		s.nextProbe = now
	}
	if !now.Before(s.nextProbe) {
		s.news, s.lastProbe, s.nextProbe = false, now, now.Add(s.period())
		probes = append(probes, s.nextProbes(now)...)
	}
	return s.step(probes, nil)
}

// urgentTicks is how often State is to be asked in a period while a member is
// suspected or news are to be spread.
const urgentTicks = 4

// IsUrgent reports whether a member is suspected or news are to be spread.
func (s *State) IsUrgent() bool {
	if s.news {
		return true
	}
	for _, r := range s.records {
		if r.standing.Liveness() == LivenessSuspect {
			return true
		}
	}
	return false
}

// Pause returns the time until the next Tick, a period at most.
func (s *State) Pause(now time.Time) time.Duration {
	if s.IsUrgent() {
		return s.cfg.Period / urgentTicks
	}
	return max(0, min(s.nextProbe.Sub(now), s.cfg.Period))
}

// maxVerifications bounds the verifying probes of one tick.
const maxVerifications = 4

// verifications returns short probes of suspected members, each again after a
// period, so that one that lives learns of the suspicion and one answer ends it.
func (s *State) verifications(now time.Time) []Probe {
	var due []*record
	for _, key := range s.sortedKeys() {
		r := s.records[key]
		if r.standing.Liveness() == LivenessSuspect && now.Sub(r.verified) >= s.cfg.Period {
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, func(a, b *record) int { return a.verified.Compare(b.verified) })
	var probes []Probe
	for _, r := range due[:min(len(due), maxVerifications)] {
		r.verified = now
		p, _ := r.place()
		probes = append(probes, Probe{VM: p.VM, Address: p.Address, Request: s.request(r, verificationWindow)})
	}
	return probes
}

// period returns the time between two probes, which grows with the members so
// that the traffic of digests does not.
func (s *State) period() time.Duration {
	return s.cfg.Period + time.Duration(len(s.records))*s.cfg.PeriodPerMember
}

// notePause restarts all suspicions after a time in which this entry itself
// did not run, because silence in that time says nothing about the others.
func (s *State) notePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	if gap <= pausePeriods*s.cfg.Period {
		return
	}
	s.grace = now.Add(2 * s.cfg.Period)
	for _, r := range s.records {
		if r.standing.Liveness() == LivenessSuspect {
			r.suspect = now
		}
	}
	s.emit(s.self, s.self.standing.Liveness(), CauseSelfPaused)
}

// expire turns suspicions that were not refuted into deaths and drops members
// that are dead for long.
func (s *State) expire(now time.Time) {
	for _, key := range s.sortedKeys() {
		r := s.records[key]
		switch {
		case r == s.self:
		case r.standing.Liveness() == LivenessSuspect && now.Sub(r.suspect) >= s.suspicion():
			s.believe(r, NewStanding(r.standing.Counter(), LivenessDead), now)
		case r.standing.Liveness().Gone() && now.Sub(r.since) >= s.cfg.Forget:
			delete(s.records, key)
		}
	}
}

// maxCaution bounds the factor by which failing probes of this entry stretch
// its suspicions.
const maxCaution = 3

// suspicion returns the time that a suspected member has. An entry most of
// whose probes fail is probably itself cut off, and waits longer.
func (s *State) suspicion() time.Duration {
	return s.cfg.Suspicion * time.Duration(1+min(s.failures/4, maxCaution))
}

func (s *State) sortedKeys() []uint64 {
	keys := make([]uint64, 0, len(s.records))
	for key := range s.records {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// touch notes a change of the record, which is urgent unless it is of usage.
func (s *State) touch(r *record, urgent bool) {
	s.sequence++
	r.touched = s.sequence
	if urgent {
		r.urgent = s.sequence
	}
}

// noteNews brings the next probe forward when a section tells more than usage
// that is new to the cell. The configuration version that all members take over
// one after the other is new only once.
func (s *State) noteNews(sec Section) {
	switch {
	case sec.usage():
		return
	case sec.Config == nil:
	case sec.Config.Version <= s.newestConfig:
		return
	default:
		s.newestConfig = sec.Config.Version
	}
	s.news = true
}

func (s *State) emit(r *record, was Liveness, c Cause) {
	s.events = append(s.events, MemberChanged{Member: r.member(), Was: was, Cause: c})
}

// believe takes over a standing and tells what it means.
func (s *State) believe(r *record, st Standing, now time.Time) {
	was := r.standing
	r.standing = st
	s.touch(r, true)
	s.news = true
	if was.Liveness() == st.Liveness() {
		return
	}
	r.since = now
	r.setLive(was.Liveness(), now)
	if st.Liveness() == LivenessSuspect {
		r.suspect = now
	}
	s.emit(r, was.Liveness(), causeOf(was.Liveness(), st.Liveness()))
}

func causeOf(was, is Liveness) Cause {
	switch {
	case is == LivenessSuspect:
		return CauseSuspected
	case is == LivenessDead:
		return CauseDied
	case is == LivenessLeft:
		return CauseLeft
	case was == LivenessDead:
		return CauseReturned
	case is == LivenessLeaving:
		return CauseLeaving
	}
	return CauseRefuted
}
