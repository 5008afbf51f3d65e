package cashard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// changeStage is how far a change of view has come.
type changeStage int

const (
	// stageRecruit waits until the new backup holds a copy of the shard.
	stageRecruit changeStage = iota
	// stageRegister writes the new view to its witness register.
	stageRegister
	// stageExclude waits until no older view can be in force.
	stageExclude
)

// change is a change of view under way, for example to replace backup b by c:
//
//	recruit:  c takes a snapshot of the shard; the view is not yet possible
//	register: the witness register is swapped from the old view to the new
//	exclude:  the swap has excluded the old view; the new one is settled
//
// A change of the witness from w to x registers the new view at x, then lets
// the backup adopt it, which excludes the old view without asking w.
//
// Once a view is registered, its backup may take over from it. So no view is
// registered while an older one of another backup may be in force, unless the
// same swap ends that.
type change struct {
	view    View
	stage   changeStage
	started time.Time
	// catchUp is the index that the new backup must hold before it may be
	// registered.
	catchUp int64
	// sent reports that a swap to the view may take effect.
	sent bool
}

// tick runs the timers of the primary.
func (p *primary) tick(now time.Time, out *effects) {
	if p.done || p.halted {
		return
	}
	p.abandon(now)
	p.leave(out)
	if p.change == nil && !p.done && !now.Before(p.restUntil) {
		p.decide(now)
	}
	p.checkWitness(now, out)
	p.advance(now, out)
}

// leave ends the lead of a shard that retires or is handed to its backup. If
// that backup is lost before it takes over, another view ends the attempt.
func (p *primary) leave(out *effects) {
	if !p.draining || !p.isSettled() || p.committed != p.log.last() {
		return
	}
	switch {
	case p.retiring && p.target().IsSolo():
		p.done = true
		out.events = append(out.events, Event{Type: EventRetired, Shard: p.target().Shard, View: p.target()})
	case !p.retiring && !p.target().IsSolo():
		p.yielding = true
	}
}

// abandon gives up a change that cannot be finished. A view that may have
// been registered stays possible until another one excludes it.
func (p *primary) abandon(now time.Time) {
	c := p.change
	if c == nil {
		return
	}
	witnessLost := c.stage == stageRegister && p.registerAt(c.view.Witness).bad(now, p.cfg.WitnessTimeout)
	if !witnessLost && !p.loseBackup(now, c) {
		return
	}
	if witnessLost {
		p.restUntil = now.Add(p.cfg.WitnessPeriod)
	}
	p.withdraw()
}

// loseBackup reports whether the backup of the change is lost, and passes it
// over for a while if so.
func (p *primary) loseBackup(now time.Time, c *change) bool {
	if c.view.IsSolo() {
		return false
	}
	q := p.peer(c.view.Backup)
	if !q.refused && !p.isLost(now, q, c.started) {
		return false
	}
	q.restUntil = now.Add(p.cfg.CandidateRest)
	q.known = false
	q.image = nil
	return true
}

// isLost reports whether the member has acknowledged nothing for too long.
func (p *primary) isLost(now time.Time, q *peer, since time.Time) bool {
	if q.leaseStart.After(since) {
		since = q.leaseStart
	}
	if q.progress.After(since) {
		since = q.progress
	}
	return now.Sub(since) >= p.cfg.ReplaceAfter
}

// withdraw ends the change. A view that was never sent to a register cannot
// come into force and is forgotten, as is a view without a backup, since
// nobody can take over from it.
func (p *primary) withdraw() {
	c := p.change
	p.change = nil
	if c.stage == stageRecruit || c.sent && !c.view.IsSolo() {
		return
	}
	rest := slices.DeleteFunc(slices.Clone(p.possible), func(v View) bool { return v == c.view })
	if len(rest) == 0 {
		solo := p.nextView(c.view).WithBackup(Member{})
		rest = []View{solo}
		p.settled = solo
	}
	p.possible = rest
}

// nextView returns a copy of the view with a number never used before.
func (p *primary) nextView(v View) View {
	p.highest++
	return v.WithNumber(p.highest)
}

// decide starts the change that is needed most, if any. The backup and the
// witness are never replaced in one change, since only the one that stays can
// exclude the old view. A shard that has lost both waits for either.
func (p *primary) decide(now time.Time) {
	v := p.target()
	switch {
	case p.yielding && !p.isLost(now, p.peer(v.Backup), time.Time{}):
		return
	case p.isAlone():
		p.decideBackup(now, v.WithWitness(p.chooseWitness(now, v.Witness)))
	case v.IsSolo() || p.isLost(now, p.peer(v.Backup), time.Time{}) || p.peer(v.Backup).refused:
		if !p.isBad(now, v.Witness) {
			p.decideBackup(now, v)
		}
	case p.retiring:
		return
	case p.isLeaving(now, v.Backup) || p.hasNearer(now, v.Backup):
		if !p.isBad(now, v.Witness) {
			p.decideBackup(now, v)
		}
	case p.chooseWitness(now, v.Witness) != v.Witness:
		p.start(now, p.nextView(v).WithWitness(p.chooseWitness(now, v.Witness)), stageRegister)
	case v != p.settled:
		p.resume(now, v)
	}
}

// isLeaving reports whether the backup is no longer a candidate, so that it is
// replaced while it still answers, if another one is there.
func (p *primary) isLeaving(now time.Time, m Member) bool {
	if slices.ContainsFunc(p.candidates, func(c Candidate) bool { return c.Member == m }) {
		return false
	}
	_, found := p.chooseBackup(now, m)
	return found
}

// isAlone reports whether no other member may take over.
func (p *primary) isAlone() bool { return len(p.required()) == 0 }

// decideBackup finds a backup for a view that has none or has lost it, or else
// goes on alone.
func (p *primary) decideBackup(now time.Time, v View) {
	next, found := p.chooseBackup(now, v.Backup)
	switch {
	case found && v.Witness != "" && !p.retiring:
		p.start(now, p.nextView(v).WithBackup(next), stageRecruit)
	case !p.isAlone():
		p.start(now, p.nextView(v).WithBackup(Member{}), stageRegister)
	}
}

// resume goes on with a view that may have been registered.
func (p *primary) resume(now time.Time, v View) {
	p.change = &change{view: v, stage: stageRegister, started: now, sent: true, catchUp: p.committed}
}

func (p *primary) start(now time.Time, v View, stage changeStage) {
	p.change = &change{view: v, stage: stage, started: now}
	if stage == stageRecruit {
		q := p.peer(v.Backup)
		q.refused = false
		q.leaseStart = time.Time{}
		return
	}
	p.bringUp(v)
}

// bringUp makes the view of the change possible. Records need its backup from
// now on, so that it lacks nothing once it may take over.
func (p *primary) bringUp(v View) {
	p.change.catchUp = p.committed
	p.possible = slices.DeleteFunc(p.possible, func(u View) bool { return u.IsSolo() })
	p.possible = append(p.possible, v)
}

// hasNearer reports whether the backup is of another zone although a candidate
// of the own one is there. A zone that is cut off keeps its shards then.
func (p *primary) hasNearer(now time.Time, backup Member) bool {
	next, found := p.chooseBackup(now, backup)
	return found && p.isNear(next) && !p.isNear(backup)
}

func (p *primary) isNear(m Member) bool {
	return slices.ContainsFunc(p.candidates, func(c Candidate) bool { return c.Member == m && c.Zone == p.zone })
}

// chooseBackup returns the first candidate that has not failed lately.
func (p *primary) chooseBackup(now time.Time, except Member) (Member, bool) {
	for _, sameZone := range []bool{true, false} {
		for _, c := range p.candidates {
			if (c.Zone == p.zone) != sameZone || c.Member == p.self || c.Member == except {
				continue
			}
			if q, ok := p.peers[c.Member]; ok && now.Before(q.restUntil) {
				continue
			}
			return c.Member, true
		}
	}
	return Member{}, false
}

// chooseWitness keeps the present witness unless it is bad or leaves.
func (p *primary) chooseWitness(now time.Time, present cawork.UpstreamID) cawork.UpstreamID {
	listed := len(p.witnesses) == 0 || slices.Contains(p.witnesses, present)
	if present != "" && listed && !p.isBad(now, present) {
		return present
	}
	for _, u := range p.witnesses {
		if u != present && !p.isBad(now, u) {
			return u
		}
	}
	if present == "" && len(p.witnesses) > 0 {
		return p.witnesses[0]
	}
	return present
}

func (p *primary) isBad(now time.Time, u cawork.UpstreamID) bool {
	return p.registerAt(u).bad(now, p.cfg.WitnessTimeout)
}

// progress moves the change on.
func (p *primary) progress(now time.Time, out *effects) {
	c := p.change
	if c == nil || p.done {
		return
	}
	if c.stage == stageRecruit && p.peer(c.view.Backup).adopted == c.view.Number {
		c.stage = stageRegister
		p.bringUp(c.view)
		p.commit(now, out)
	}
	if c.stage == stageRegister && p.hasCaughtUp() {
		p.register(now, out)
	}
	if c.stage == stageExclude {
		p.exclude(now, out)
	}
}

// register writes the new view to its register, after the registers of older
// views that it must exclude first.
func (p *primary) register(now time.Time, out *effects) {
	p.dropAdopted()
	blockers := p.blockers()
	for _, u := range blockers {
		p.operate(now, u.Witness, out)
	}
	if len(blockers) == 0 {
		p.operate(now, p.change.view.Witness, out)
	}
}

// blockers returns the possible views that the registration of the new view
// would neither exclude nor bind to the same backup.
func (p *primary) blockers() []View {
	var out []View
	for _, u := range p.possible {
		v := p.change.view
		if !u.IsSolo() && u.Backup != v.Backup && u.Witness != v.Witness {
			out = append(out, u)
		}
	}
	return out
}

// dropAdopted drops older views whose backup has adopted a later one.
func (p *primary) dropAdopted() {
	v := p.change.view
	p.possible = slices.DeleteFunc(p.possible, func(u View) bool {
		return u != v && (u.IsSolo() || p.peer(u.Backup).adopted > u.Number)
	})
}

// hasCaughtUp reports whether the backup of the change holds every record
// that took effect before records began to need it.
func (p *primary) hasCaughtUp() bool {
	v := p.change.view
	return v.IsSolo() || p.peer(v.Backup).acked >= p.change.catchUp
}

// exclude settles the change once every older view is out of force: its
// backup adopted a later view, or its register was swapped.
func (p *primary) exclude(now time.Time, out *effects) {
	c := p.change
	p.dropAdopted()
	if len(p.possible) == 1 {
		p.change = nil
		p.settled = c.view
		p.yielding = false
		out.events = append(out.events, Event{Type: EventViewChanged, Shard: c.view.Shard, View: c.view})
		return
	}
	for _, u := range p.possible {
		if u.Witness != c.view.Witness {
			p.operate(now, u.Witness, out)
		}
	}
}

// checkWitness reads the register now and then: to learn of a takeover and
// whether it still answers.
func (p *primary) checkWitness(now time.Time, out *effects) {
	v := p.target()
	if v.IsSolo() || p.change != nil {
		return
	}
	p.operate(now, v.Witness, out)
}

// operate reads the register, unless that is under way or was done lately.
func (p *primary) operate(now time.Time, u cawork.UpstreamID, out *effects) {
	r := p.registerAt(u)
	if r.busy || now.Before(r.nextRead) || u == "" {
		return
	}
	r.busy = true
	r.nextRead = now.Add(p.cfg.Heartbeat)
	if p.change == nil {
		r.nextRead = now.Add(p.cfg.WitnessPeriod)
	}
	out.registers = append(out.registers, registerEffect{witness: u})
}

// onRegister folds the answer of a witness.
func (p *primary) onRegister(now time.Time, r registerResult, out *effects) {
	if p.done || p.halted {
		return
	}
	reg := p.registerAt(r.witness)
	reg.note(now, r.err)
	if r.swap != nil {
		reg.nextRead = time.Time{}
	}
	if r.err != nil {
		return
	}
	held, err := DecodeView(r.value.Value)
	switch {
	case err != nil:
		reg.unusable = true
	case held.Primary == p.self:
		p.observe(now, r.witness, held, r.value, out)
	default:
		p.observeOther(now, r.witness, held, r.value, out)
	}
	p.advance(now, out)
}

// observe folds a value of this primary in a register. Views that the
// register held before, or will not hold, are out of force.
func (p *primary) observe(now time.Time, u cawork.UpstreamID, held View, value caplatform.Register, out *effects) {
	reg := p.registerAt(u)
	reg.confirmed = true
	c := p.change
	if c == nil {
		return
	}
	if held != c.view {
		p.swap(now, u, value, out)
		return
	}
	p.possible = slices.DeleteFunc(p.possible, func(v View) bool { return v != c.view && v.Witness == u })
	if c.stage == stageRegister && u == c.view.Witness {
		c.stage = stageExclude
	}
}

// observeOther folds a value of somebody else in a register.
func (p *primary) observeOther(now time.Time, u cawork.UpstreamID, held View, value caplatform.Register, out *effects) {
	reg := p.registerAt(u)
	mine := reg.sent || reg.confirmed
	switch {
	case held.Number == 0 && reg.confirmed:
		reg.unusable = true
	case mine && held.Number > p.possible[0].Number:
		p.depose(held, out)
	case held.Number > p.possible[0].Number:
		reg.unusable = true
	default:
		p.swap(now, u, value, out)
	}
}

// swap writes the view of the change to a register that holds an older one.
func (p *primary) swap(now time.Time, u cawork.UpstreamID, value caplatform.Register, out *effects) {
	if !p.mayWrite(u) {
		return
	}
	c := p.change
	swap, err := newSwap(c.view, value.Version)
	if err != nil {
		return
	}
	reg := p.registerAt(u)
	reg.busy = true
	reg.sent = true
	reg.nextRead = now.Add(p.cfg.Heartbeat)
	c.sent = true
	out.registers = append(out.registers, registerEffect{witness: u, swap: swap})
}

// mayWrite reports whether the new view may be written to the register now.
func (p *primary) mayWrite(u cawork.UpstreamID) bool {
	c := p.change
	if c == nil || c.stage == stageRecruit || !p.hasCaughtUp() {
		return false
	}
	blockers := p.blockers()
	if u == c.view.Witness {
		return len(blockers) == 0
	}
	excludes := func(v View) bool { return v.Witness == u }
	return slices.ContainsFunc(blockers, excludes) || c.stage == stageExclude && slices.ContainsFunc(p.possible, excludes)
}
