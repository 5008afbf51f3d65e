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

// State implements the membership protocol without I/O. The caller passes in
// the time, sends the requests listed in each Step, and reports their results.
// It is not safe for concurrent use.
type State struct {
	cfg   Config
	id    Identity
	check *cacheck.Checker
	rng   *rand.Rand

	records  map[uint64]*record
	self     *record
	localApp AppState

	// usageDue is the earliest time of the next publication of usage.
	usageDue time.Time
	lastTick time.Time
	// lastAnswer is the time of the last reply to a probe of this entry.
	lastAnswer time.Time
	// graceUntil is the end of the time after a pause of this entry in which
	// failed probes cause no suspicion.
	graceUntil time.Time
	// sequence counts the changes of all records.
	sequence uint64
	// probeCursor is the position in probeOrder, the round of probes.
	probeCursor int
	probeOrder  []uint64
	// contactedAt holds the times of the last probes by nextContact, by address.
	contactedAt     map[string]time.Time
	seeds           []string
	listedAddresses []string
	// tombstones holds the keys of VMs that never run again. Their records are
	// not accepted from other members.
	tombstones map[uint64]bool
	// failureScore is incremented by each failed probe of an unsuspected member
	// and decremented by each reply.
	failureScore int
	events       []MemberChanged
	nextProbe    time.Time
	// digestCursor is the position in the rotation of members in digests.
	digestCursor int
	lastProbe    time.Time

	// probeSoon reports that an urgent change was not yet sent with a probe.
	probeSoon    bool
	newestConfig int64
	// urgentLimiters limits the rate of changes of each section other than
	// usage.
	urgentLimiters map[sectionKey]*rate.Limiter
}

// NewState returns the state of an entry whose only member is itself. Seeds are
// the addresses of entries to contact first. The seed initializes the random
// generator that shuffles the order of probes.
func NewState(cfg Config, id Identity, seeds []string, now time.Time, seed uint64, check *cacheck.Checker) *State {
	s := &State{
		cfg: cfg, id: id, check: check, rng: rand.New(rand.NewPCG(seed, keyOf(id.VM))),
		records: map[uint64]*record{}, contactedAt: map[string]time.Time{}, tombstones: map[uint64]bool{},
		seeds: slices.Clone(seeds), lastTick: now, lastAnswer: now, urgentLimiters: map[sectionKey]*rate.Limiter{},
	}
	s.nextProbe = now.Add(time.Duration(s.rng.Int64N(int64(cfg.Period))))
	s.self = &record{
		key: keyOf(id.VM), incarnation: Incarnation(max(now.Unix(), 1)), livenessAt: now, joinedAt: now, liveSince: now,
	}
	s.records[s.self.key] = s.self
	s.publishSection(now, Section{Place: &Place{VM: id.VM, Address: id.Address, Zone: id.Zone}})
	return s
}

// Probe is an exchange to start with the entry at the address. VM is empty when
// only the address is known.
type Probe struct {
	VM      cawork.VMID
	Address string
	Request ExchangeRequest
}

// Relay is a request to the entry at Address to probe the target.
type Relay struct {
	Address string
	Target  Probe
}

// Step lists the requests that the caller has to send and the events that it
// has to deliver after a call of State.
type Step struct {
	Probes []Probe
	Relays []Relay
	Events []MemberChanged
}

func (s *State) makeStep(probes []Probe, relays []Relay) Step {
	events := s.events
	s.events = nil
	s.check.Assert(!s.self.standing.Liveness().Gone() || s.self.standing.Liveness() == LivenessLeft,
		cacheck.RuleSelfStanding, "own standing %+v", s.self.standing)
	return Step{Probes: probes, Relays: relays, Events: events}
}

// SetLocal sets the application state of this entry, which later ticks publish
// to the other members.
func (s *State) SetLocal(a AppState) { s.localApp = a }

// Leave marks this entry as left if left is set, and otherwise as leaving.
func (s *State) Leave(left bool) {
	liveness := LivenessLeaving
	if left {
		liveness = LivenessLeft
	}
	s.self.standing = NewStanding(s.self.standing.Counter()+1, liveness)
	s.markChanged(s.self, true)
}

// AnnouncementProbes returns probes that send the standing of this entry at once to all
// members of its zone, which take over the work that it releases, and to a few
// members of other zones.
func (s *State) AnnouncementProbes() []Probe {
	var probes []Probe
	otherZones := 0
	for _, key := range s.sortedKeys() {
		r := s.records[key]
		if r == s.self || r.standing.Liveness().Gone() {
			continue
		}
		if p, _ := r.place(); p.Zone != s.id.Zone {
			otherZones++
			if otherZones > s.cfg.Relays {
				continue
			}
		}
		probes = append(probes, s.probeOf(r))
	}
	return probes
}

// Members returns all known members ordered by VM id, including this entry.
// The slices in their application state are shared and must not be modified.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.records))
	for _, r := range s.records {
		members = append(members, r.member())
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// Member returns the member that runs on the VM and whether it is known.
func (s *State) Member(vm cawork.VMID) (Member, bool) {
	r, ok := s.records[keyOf(vm)]
	if !ok {
		return Member{}, false
	}
	m := r.member()
	return m, m.VM == vm
}

// Self returns the member that represents this entry.
func (s *State) Self() Member { return s.self.member() }

// SetListed applies the entries of a VM list of the platform. Live holds the
// addresses of running entries; gone holds VMs that never run again, whose
// records are removed for good.
func (s *State) SetListed(live []string, gone []cawork.VMID) {
	s.listedAddresses = slices.Clone(live)
	for _, vm := range gone {
		key := keyOf(vm)
		if key == s.self.key || s.tombstones[key] {
			continue
		}
		s.tombstones[key] = true
		s.dropUnlisted(key)
	}
}

func (s *State) dropUnlisted(key uint64) {
	r, ok := s.records[key]
	if !ok {
		return
	}
	was := r.standing.Liveness()
	r.standing = NewStanding(r.standing.Counter(), LivenessDead)
	s.emit(r, was, CauseUnlisted)
	delete(s.records, key)
}

// Tick advances the time: it publishes the application state, ends expired
// suspicions and returns the probes that are due.
func (s *State) Tick(now time.Time) Step {
	s.detectPause(now)
	s.publishAppState(now)
	s.expireMembers(now)
	probes := s.verificationProbes(now)
	if s.probeSoon && now.Sub(s.lastProbe) >= s.cfg.Period/2 {
		s.nextProbe = now
	}
	if !now.Before(s.nextProbe) {
		s.probeSoon, s.lastProbe, s.nextProbe = false, now, now.Add(s.probePeriod())
		probes = append(probes, s.nextProbes(now)...)
	}
	return s.makeStep(probes, nil)
}

// fastTicksPerPeriod is the number of ticks in a period while a member is
// suspected or an urgent change has to be sent.
const fastTicksPerPeriod = 4

// NeedsFastTicks reports whether ticks have to be more frequent, because a member is
// suspected or an urgent change has to be sent.
func (s *State) NeedsFastTicks() bool {
	if s.probeSoon {
		return true
	}
	for _, r := range s.records {
		if r.standing.Liveness() == LivenessSuspect {
			return true
		}
	}
	return false
}

// TickDelay returns the time until the next Tick, at most a period.
func (s *State) TickDelay(now time.Time) time.Duration {
	if s.NeedsFastTicks() {
		return s.cfg.Period / fastTicksPerPeriod
	}
	return max(0, min(s.nextProbe.Sub(now), s.cfg.Period))
}

// maxVerificationProbes limits the verification probes of one tick.
const maxVerificationProbes = 4

// verificationProbes returns probes with a short digest for suspected members,
// at most one per member and period. They inform a live member of the
// suspicion, so that its reply refutes it.
func (s *State) verificationProbes(now time.Time) []Probe {
	var due []*record
	for _, key := range s.sortedKeys() {
		r := s.records[key]
		if r.standing.Liveness() == LivenessSuspect && now.Sub(r.verifiedAt) >= s.cfg.Period {
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, func(a, b *record) int { return a.verifiedAt.Compare(b.verifiedAt) })
	var probes []Probe
	for _, r := range due[:min(len(due), maxVerificationProbes)] {
		r.verifiedAt = now
		p, _ := r.place()
		probes = append(probes, Probe{VM: p.VM, Address: p.Address, Request: s.newRequest(r, verificationDigestSize)})
	}
	return probes
}

// probePeriod returns the interval between two probes. It grows with the number
// of members, so that the traffic of digests does not.
func (s *State) probePeriod() time.Duration {
	return s.cfg.Period + time.Duration(len(s.records))*s.cfg.PeriodPerMember
}

// detectPause restarts the timeouts of all suspicions after a period in which
// this process did not run, because it could not receive replies meanwhile.
func (s *State) detectPause(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	if gap <= pausePeriods*s.cfg.Period {
		return
	}
	s.graceUntil = now.Add(2 * s.cfg.Period)
	for _, r := range s.records {
		if r.standing.Liveness() == LivenessSuspect {
			r.suspectedAt = now
		}
	}
	s.emit(s.self, s.self.standing.Liveness(), CauseSelfPaused)
}

// expireMembers declares members dead whose suspicion timed out, and removes
// the records of members that have been dead or left for Config.Forget.
func (s *State) expireMembers(now time.Time) {
	for _, key := range s.sortedKeys() {
		r := s.records[key]
		switch {
		case r == s.self:
		case r.standing.Liveness() == LivenessSuspect && now.Sub(r.suspectedAt) >= s.suspicionTimeout():
			s.setStanding(r, NewStanding(r.standing.Counter(), LivenessDead), now)
		case r.standing.Liveness().Gone() && now.Sub(r.livenessAt) >= s.cfg.Forget:
			delete(s.records, key)
		}
	}
}

// maxExtraSuspicion is the largest number of additional timeouts by which
// failed probes of this entry extend a suspicion.
const maxExtraSuspicion = 3

// suspicionTimeout returns the time that a suspected member has to refute. An
// entry most of whose probes fail is probably partitioned itself, and waits
// longer.
func (s *State) suspicionTimeout() time.Duration {
	return s.cfg.Suspicion * time.Duration(1+min(s.failureScore/4, maxExtraSuspicion))
}

func (s *State) sortedKeys() []uint64 {
	keys := make([]uint64, 0, len(s.records))
	for key := range s.records {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// markChanged moves the record to the front of the order in which digests pick
// members. A change is urgent unless it concerns usage only.
func (s *State) markChanged(r *record, urgent bool) {
	s.sequence++
	r.changeSequence = s.sequence
	if urgent {
		r.urgentSequence = s.sequence
	}
}

// expediteProbe brings the next probe forward after a change of a section other
// than usage. Of the configuration version, which all members adopt one after
// another, only the first occurrence counts.
func (s *State) expediteProbe(sec Section) {
	switch {
	case sec.isUsage():
		return
	case sec.Config == nil:
	case sec.Config.Version <= s.newestConfig:
		return
	default:
		s.newestConfig = sec.Config.Version
	}
	s.probeSoon = true
}

func (s *State) emit(r *record, was Liveness, c Cause) {
	s.events = append(s.events, MemberChanged{Member: r.member(), Was: was, Cause: c})
}

// setStanding stores a newer standing of the record and emits an event if its
// liveness changed.
func (s *State) setStanding(r *record, standing Standing, now time.Time) {
	was := r.standing
	r.standing = standing
	s.markChanged(r, true)
	s.probeSoon = true
	if was.Liveness() == standing.Liveness() {
		return
	}
	r.livenessAt = now
	r.updateLiveSince(was.Liveness(), now)
	if standing.Liveness() == LivenessSuspect {
		r.suspectedAt = now
	}
	s.emit(r, was.Liveness(), causeOf(was.Liveness(), standing.Liveness()))
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
