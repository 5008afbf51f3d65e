package camember

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/coord/cacheck"
)

// verificationWindow is the number of digest entries of a verifying probe: the
// own entry and the target.
const verificationWindow = 2

// request returns the first request of an exchange with the member, nil for
// an unknown one, with a digest of the size.
func (s *State) request(target *record, size int) ExchangeRequest {
	return ExchangeRequest{From: s.id.VM, Digest: s.window(target, size)}
}

// window returns a digest of the own entry and the target, filled up to size:
// to one half with the members that changed last in more than usage, to three
// quarters with those that changed last at all, and then with the next in turn.
func (s *State) window(target *record, size int) []Digest {
	records := make([]*record, 0, len(s.records))
	for _, key := range s.sortedKeys() {
		records = append(records, s.records[key])
	}
	chosen := []*record{s.self}
	add := func(r *record, limit int) {
		if len(chosen) < limit && !slices.Contains(chosen, r) {
			chosen = append(chosen, r)
		}
	}
	if target != nil {
		add(target, size)
	}
	turn := slices.Clone(records)
	slices.SortStableFunc(records, func(a, b *record) int { return cmp.Compare(b.urgent, a.urgent) })
	for _, r := range records {
		add(r, size/2)
	}
	slices.SortStableFunc(records, func(a, b *record) int { return cmp.Compare(b.touched, a.touched) })
	for _, r := range records {
		add(r, size*3/4)
	}
	for range turn {
		s.windowAt = (s.windowAt + 1) % len(turn)
		if len(chosen) >= size {
			break
		}
		add(turn[s.windowAt], size)
	}
	digest := make([]Digest, len(chosen))
	for i, r := range chosen {
		digest[i] = r.digest()
	}
	return digest
}

// Handle answers a request of another entry.
func (s *State) Handle(now time.Time, req ExchangeRequest) (ExchangeReply, Step) {
	s.apply(now, req.Deltas)
	if r, ok := s.records[keyOf(req.From)]; ok && r.reach == ReachNone {
		s.setReach(r, ReachHeard)
	}
	reply := ExchangeReply{From: s.id.VM}
	wants, deltas := s.compare(req.Digest)
	reply.Deltas = deltas
	if req.Second || len(req.Digest) == 0 {
		return reply, s.step(nil, nil)
	}
	reply.Digest = wants
	for _, d := range s.window(nil, s.cfg.ReplyWindow) {
		if !slices.ContainsFunc(req.Digest, func(o Digest) bool { return o.Key == d.Key }) {
			reply.Digest = append(reply.Digest, d)
		}
	}
	return reply, s.step(nil, nil)
}

// HandleReply takes over the answer to a probe and returns the second request
// of the exchange when either side lacks something.
func (s *State) HandleReply(now time.Time, p Probe, reply ExchangeReply) Step {
	s.apply(now, reply.Deltas)
	s.failures, s.answered = max(s.failures-1, 0), now
	if r, ok := s.records[keyOf(reply.From)]; ok && r != s.self {
		s.setReach(r, ReachDirect)
	}
	s.noteOther(now, p, reply)
	wants, deltas := s.compare(reply.Digest)
	if p.Request.Second || len(wants) == 0 && len(deltas) == 0 {
		return s.step(nil, nil)
	}
	second := ExchangeRequest{From: s.id.VM, Second: true, Digest: wants, Deltas: deltas}
	return s.step([]Probe{{VM: reply.From, Address: p.Address, Request: second}}, nil)
}

// noteOther suspects the probed member when another VM answered at its
// address.
func (s *State) noteOther(now time.Time, p Probe, reply ExchangeReply) {
	if r, ok := s.records[keyOf(p.VM)]; ok && p.VM != "" && p.VM != reply.From {
		s.conclude(r, now)
	}
}

// compare returns a digest of what the other knows better, and what it lacks.
func (s *State) compare(theirs []Digest) (wants []Digest, deltas []Delta) {
	room := s.cfg.MaxSections
	for _, d := range theirs {
		r, ok := s.records[d.Key]
		switch {
		case s.banned[d.Key] || !ok && d.Standing.Liveness().Gone():
			continue
		case !ok:
			wants = append(wants, Digest{Key: d.Key})
			continue
		case r == s.self:
			s.defend(d.Incarnation, d.Standing, d.Version)
		case theirsNewer(d, r):
			wants = append(wants, r.digest())
		}
		if delta, any := r.delta(d, room); any {
			room -= len(delta.Sections)
			deltas = append(deltas, delta)
		}
	}
	return wants, deltas
}

func theirsNewer(d Digest, r *record) bool {
	if d.Incarnation != r.incarnation {
		return d.Incarnation > r.incarnation
	}
	return d.Standing.Newer(r.standing) || d.Version > r.version
}

// delta returns what the sender of the digest lacks of the record.
func (r *record) delta(d Digest, room int) (Delta, bool) {
	if d.Incarnation > r.incarnation {
		return Delta{}, false
	}
	since := d.Version
	if d.Incarnation < r.incarnation {
		since = 0
	}
	sections := r.after(since, max(room, 1))
	if len(sections) == 0 && (d.Incarnation < r.incarnation || !r.standing.Newer(d.Standing)) {
		return Delta{}, false
	}
	return Delta{
		Key: r.key, Incarnation: r.incarnation, Standing: r.standing, Since: since, Sections: sections,
	}, true
}

// defend refutes a belief that the own entry is gone, and outdoes what an
// earlier life of it left behind.
func (s *State) defend(inc Incarnation, st Standing, version uint64) {
	ahead := inc > s.self.incarnation || inc == s.self.incarnation && version > s.self.version
	if ahead {
		s.self.incarnation = inc + 1
		s.touch(s.self, true)
		return
	}
	if inc != s.self.incarnation || s.self.standing.Liveness() == LivenessLeft || !st.Newer(s.self.standing) {
		return
	}
	s.self.standing = NewStanding(st.Counter()+1, s.self.standing.Liveness())
	s.touch(s.self, true)
}

// apply takes over deltas.
func (s *State) apply(now time.Time, deltas []Delta) {
	for _, d := range deltas {
		if s.banned[d.Key] {
			continue
		}
		if d.Key == s.self.key {
			s.defend(d.Incarnation, d.Standing, 0)
			continue
		}
		s.applyOne(now, d)
	}
}

func (s *State) applyOne(now time.Time, d Delta) {
	r, ok := s.records[d.Key]
	if !ok || d.Incarnation > r.incarnation {
		s.applyNew(now, d, r)
		return
	}
	if d.Incarnation < r.incarnation {
		return
	}
	before := r.version
	if d.Since <= r.version {
		s.addSections(r, d.Sections)
	}
	s.check.Assert(r.version >= before, cacheck.RuleMemberMonotonic,
		"version of %s went from %d to %d", r.vm(), before, r.version)
	if r.version > before {
		s.touch(r, slices.ContainsFunc(d.Sections, func(sec Section) bool { return !sec.usage() && sec.Version > before }))
		s.emit(r, r.standing.Liveness(), CauseApp)
	}
	if d.Standing.Newer(r.standing) {
		s.hear(r, d.Standing, now)
	}
}

// hear takes over a standing from another entry. A death is taken for a
// suspicion first: after a cut between zones, each side hears of the deaths that
// the other concluded of members it has contact with.
func (s *State) hear(r *record, st Standing, now time.Time) {
	if st.Liveness() == LivenessDead {
		st = NewStanding(st.Counter(), LivenessSuspect)
		if !st.Newer(r.standing) {
			return
		}
	}
	s.believe(r, st, now)
}

// applyNew takes over a member, or an incarnation of it, that was unknown.
func (s *State) applyNew(now time.Time, d Delta, old *record) {
	if old == nil && d.Standing.Liveness().Gone() {
		return
	}
	if len(d.Sections) == 0 || d.Sections[0].Place == nil || keyOf(d.Sections[0].Place.VM) != d.Key {
		return
	}
	r := &record{key: d.Key, incarnation: d.Incarnation, standing: d.Standing, since: now, joined: now}
	r.setLive(LivenessDead, now)
	if d.Standing.Liveness() == LivenessSuspect {
		r.suspect = now
	}
	s.addSections(r, d.Sections)
	s.records[d.Key] = r
	s.touch(r, true)
	if old == nil {
		s.emit(r, LivenessDead, CauseJoined)
		return
	}
	s.emit(r, old.standing.Liveness(), CauseRestarted)
}

func (s *State) addSections(r *record, sections []Section) {
	for _, sec := range sections {
		if sec.Version > r.version {
			r.set(sec)
			s.noteNews(sec)
		}
	}
}
