package camember

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/coord/cacheck"
)

// verificationDigestSize is the number of digest entries in a verification
// probe: this entry and the target.
const verificationDigestSize = 2

// newRequest returns the first request of an exchange with the target, with a
// digest of at most size entries. The target is nil when only its address is
// known.
func (s *State) newRequest(target *record, size int) ExchangeRequest {
	return ExchangeRequest{From: s.id.VM, Digest: s.buildDigest(target, size)}
}

// buildDigest returns a digest of at most size entries, starting with this entry
// and the target. Members with the most recent urgent changes fill it up to one
// half, those with the most recent changes of any kind up to three quarters, and
// all members in rotation the rest.
func (s *State) buildDigest(target *record, size int) []Digest {
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
	rotation := slices.Clone(records)
	slices.SortStableFunc(records, func(a, b *record) int { return cmp.Compare(b.urgentSequence, a.urgentSequence) })
	for _, r := range records {
		add(r, size/2)
	}
	slices.SortStableFunc(records, func(a, b *record) int { return cmp.Compare(b.changeSequence, a.changeSequence) })
	for _, r := range records {
		add(r, size*3/4)
	}
	for range rotation {
		s.digestCursor = (s.digestCursor + 1) % len(rotation)
		if len(chosen) >= size {
			break
		}
		add(rotation[s.digestCursor], size)
	}
	digest := make([]Digest, len(chosen))
	for i, r := range chosen {
		digest[i] = r.digestEntry()
	}
	return digest
}

// HandleRequest answers a request from another entry.
func (s *State) HandleRequest(now time.Time, req ExchangeRequest) (ExchangeReply, Step) {
	s.applyDeltas(now, req.Deltas)
	if r, ok := s.records[keyOf(req.From)]; ok && r.reach == ReachNone {
		s.setReach(r, ReachHeard)
	}
	reply := ExchangeReply{From: s.id.VM}
	requested, deltas := s.compareDigest(req.Digest)
	reply.Deltas = deltas
	if req.Second || len(req.Digest) == 0 {
		return reply, s.makeStep(nil, nil)
	}
	reply.Digest = requested
	for _, d := range s.buildDigest(nil, s.cfg.ReplyWindow) {
		if !slices.ContainsFunc(req.Digest, func(o Digest) bool { return o.Key == d.Key }) {
			reply.Digest = append(reply.Digest, d)
		}
	}
	return reply, s.makeStep(nil, nil)
}

// HandleReply processes the reply to a probe. If either side lacks updates, the
// step contains the second request of the exchange.
func (s *State) HandleReply(now time.Time, p Probe, reply ExchangeReply) Step {
	s.applyDeltas(now, reply.Deltas)
	s.failureScore, s.lastAnswer = max(s.failureScore-1, 0), now
	if r, ok := s.records[keyOf(reply.From)]; ok && r != s.self {
		s.setReach(r, ReachDirect)
	}
	s.checkResponder(now, p, reply)
	requested, deltas := s.compareDigest(reply.Digest)
	if p.Request.Second || len(requested) == 0 && len(deltas) == 0 {
		return s.makeStep(nil, nil)
	}
	second := ExchangeRequest{From: s.id.VM, Second: true, Digest: requested, Deltas: deltas}
	return s.makeStep([]Probe{{VM: reply.From, Address: p.Address, Request: second}}, nil)
}

// checkResponder suspects the probed member if a different VM replied at its
// address.
func (s *State) checkResponder(now time.Time, p Probe, reply ExchangeReply) {
	if r, ok := s.records[keyOf(p.VM)]; ok && p.VM != "" && p.VM != reply.From {
		s.suspect(r, now)
	}
}

// compareDigest returns a digest that requests the states of which the sender
// has newer versions, and the deltas that the sender lacks.
func (s *State) compareDigest(remote []Digest) (requested []Digest, deltas []Delta) {
	remaining := s.cfg.MaxSections
	for _, d := range remote {
		r, ok := s.records[d.Key]
		switch {
		case s.tombstones[d.Key] || !ok && d.Standing.Liveness().Gone():
			continue
		case !ok:
			requested = append(requested, Digest{Key: d.Key})
			continue
		case r == s.self:
			s.refute(d.Incarnation, d.Standing, d.Version)
		case remoteNewer(d, r):
			requested = append(requested, r.digestEntry())
		}
		if delta, missing := r.delta(d, remaining); missing {
			remaining -= len(delta.Sections)
			deltas = append(deltas, delta)
		}
	}
	return requested, deltas
}

func remoteNewer(d Digest, r *record) bool {
	if d.Incarnation != r.incarnation {
		return d.Incarnation > r.incarnation
	}
	return d.Standing.Newer(r.standing) || d.Version > r.version
}

// delta returns the changes of the record that the sender of the digest lacks,
// and whether there are any. It holds at most limit sections, but at least one.
func (r *record) delta(d Digest, limit int) (Delta, bool) {
	if d.Incarnation > r.incarnation {
		return Delta{}, false
	}
	since := d.Version
	if d.Incarnation < r.incarnation {
		since = 0
	}
	sections := r.sectionsAfter(since, max(limit, 1))
	if len(sections) == 0 && (d.Incarnation < r.incarnation || !r.standing.Newer(d.Standing)) {
		return Delta{}, false
	}
	return Delta{
		Key: r.key, Incarnation: r.incarnation, Standing: r.standing, Since: since, Sections: sections,
	}, true
}

// refute overrides a standing by which this entry is suspected or dead. If
// other members hold a newer state from an earlier incarnation of this entry,
// it chooses an incarnation above that one.
func (s *State) refute(inc Incarnation, standing Standing, version uint64) {
	remoteAhead := inc > s.self.incarnation || inc == s.self.incarnation && version > s.self.version
	if remoteAhead {
		s.self.incarnation = inc + 1
		s.markChanged(s.self, true)
		return
	}
	if inc != s.self.incarnation || s.self.standing.Liveness() == LivenessLeft || !standing.Newer(s.self.standing) {
		return
	}
	s.self.standing = NewStanding(standing.Counter()+1, s.self.standing.Liveness())
	s.markChanged(s.self, true)
}

// applyDeltas merges the deltas of other members into their records.
func (s *State) applyDeltas(now time.Time, deltas []Delta) {
	for _, d := range deltas {
		if s.tombstones[d.Key] {
			continue
		}
		if d.Key == s.self.key {
			s.refute(d.Incarnation, d.Standing, 0)
			continue
		}
		s.applyDelta(now, d)
	}
}

func (s *State) applyDelta(now time.Time, d Delta) {
	r, ok := s.records[d.Key]
	if !ok || d.Incarnation > r.incarnation {
		s.applyNewIncarnation(now, d, r)
		return
	}
	if d.Incarnation < r.incarnation {
		return
	}
	oldVersion := r.version
	if d.Since <= r.version {
		s.mergeSections(r, d.Sections)
	}
	s.check.Assert(r.version >= oldVersion, cacheck.RuleMemberMonotonic,
		"version of %s decreased from %d to %d", r.vm(), oldVersion, r.version)
	if r.version > oldVersion {
		s.markChanged(r, slices.ContainsFunc(d.Sections, func(sec Section) bool { return !sec.isUsage() && sec.Version > oldVersion }))
		s.emit(r, r.standing.Liveness(), CauseApp)
	}
	if d.Standing.Newer(r.standing) {
		s.mergeStanding(r, d.Standing, now)
	}
}

// mergeStanding applies a standing received from another entry. A reported death
// is treated as a suspicion first: after a partition between zones, each side
// receives the deaths that the other side declared of members that it can reach.
func (s *State) mergeStanding(r *record, standing Standing, now time.Time) {
	if standing.Liveness() == LivenessDead {
		standing = NewStanding(standing.Counter(), LivenessSuspect)
		if !standing.Newer(r.standing) {
			return
		}
	}
	s.setStanding(r, standing, now)
}

// applyNewIncarnation adds the record of an unknown member or of a new
// incarnation of a known one. Old is the previous record, or nil.
func (s *State) applyNewIncarnation(now time.Time, d Delta, old *record) {
	if old == nil && d.Standing.Liveness().Gone() {
		return
	}
	if len(d.Sections) == 0 || d.Sections[0].Place == nil || keyOf(d.Sections[0].Place.VM) != d.Key {
		return
	}
	r := &record{key: d.Key, incarnation: d.Incarnation, standing: d.Standing, livenessAt: now, joinedAt: now}
	r.updateLiveSince(LivenessDead, now)
	if d.Standing.Liveness() == LivenessSuspect {
		r.suspectedAt = now
	}
	s.mergeSections(r, d.Sections)
	s.records[d.Key] = r
	s.markChanged(r, true)
	if old == nil {
		s.emit(r, LivenessDead, CauseJoined)
		return
	}
	s.emit(r, old.standing.Liveness(), CauseRestarted)
}

func (s *State) mergeSections(r *record, sections []Section) {
	for _, sec := range sections {
		if sec.Version > r.version {
			r.setSection(sec)
			s.expediteProbe(sec)
		}
	}
}
