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
	// stageSnapshot waits until the new backup holds a copy of the shard.
	stageSnapshot changeStage = iota
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
	view      View
	stage     changeStage
	startedAt time.Time
	// catchUpIndex is the index that the new backup must hold before it may be
	// registered.
	catchUpIndex int64
	// swapSent reports that a swap to the view may take effect.
	swapSent bool
}

// tick runs the timers of the primary.
func (p *primary) tick(now time.Time, out *effects) {
	if p.done || p.halted {
		return
	}
	p.abortFailedChange(now)
	p.finishDrain(out)
	if p.change == nil && !p.done && !now.Before(p.backoffUntil) {
		p.startNeededChange(now)
	}
	p.checkWitness(now, out)
	p.advance(now, out)
}

// finishDrain ends the lead of a shard that retires or is handed to its backup. If
// that backup is lost before it takes over, another view ends the attempt.
func (p *primary) finishDrain(out *effects) {
	if !p.draining || !p.isSettled() || p.commitIndex != p.log.last() {
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

// abortFailedChange gives up a change that cannot be finished. A view that may have
// been registered stays possible until another one excludes it.
func (p *primary) abortFailedChange(now time.Time) {
	c := p.change
	if c == nil {
		return
	}
	witnessFailed := c.stage == stageRegister && p.registerAt(c.view.Witness).bad(now, p.cfg.WitnessTimeout)
	if !witnessFailed && !p.detectBackupLoss(now, c) {
		return
	}
	if witnessFailed {
		p.backoffUntil = now.Add(p.cfg.WitnessPeriod)
	}
	p.cancelChange()
}

// detectBackupLoss reports whether the backup of the change is lost, and passes it
// over for a while if so.
func (p *primary) detectBackupLoss(now time.Time, c *change) bool {
	if c.view.IsSolo() {
		return false
	}
	q := p.peer(c.view.Backup)
	if !q.refused && !p.isUnresponsive(now, q, c.startedAt) {
		return false
	}
	q.backoffUntil = now.Add(p.cfg.CandidateRest)
	q.hasReplica = false
	q.snapshot = nil
	return true
}

// isUnresponsive reports whether the member has acknowledged nothing for too long.
func (p *primary) isUnresponsive(now time.Time, q *peer, since time.Time) bool {
	if q.leaseStart.After(since) {
		since = q.leaseStart
	}
	if q.lastProgress.After(since) {
		since = q.lastProgress
	}
	return now.Sub(since) >= p.cfg.ReplaceAfter
}

// cancelChange ends the change. A view that was never sent to a register cannot
// come into force and is forgotten, as is a view without a backup, since
// nobody can take over from it.
func (p *primary) cancelChange() {
	c := p.change
	p.change = nil
	if c.stage == stageSnapshot || c.swapSent && !c.view.IsSolo() {
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(p.possibleViews), func(v View) bool { return v == c.view })
	if len(remaining) == 0 {
		solo := p.nextView(c.view).WithBackup(Member{})
		remaining = []View{solo}
		p.settledView = solo
	}
	p.possibleViews = remaining
}

// nextView returns a copy of the view with a number never used before.
func (p *primary) nextView(v View) View {
	p.highestNumber++
	return v.WithNumber(p.highestNumber)
}

// startNeededChange starts the change that is needed most, if any. The backup and the
// witness are never replaced in one change, since only the one that stays can
// exclude the old view. A shard that has lost both waits for either.
func (p *primary) startNeededChange(now time.Time) {
	v := p.target()
	switch {
	case p.yielding && !p.isUnresponsive(now, p.peer(v.Backup), time.Time{}):
		return
	case p.hasNoBackup():
		p.replaceBackup(now, v.WithWitness(p.chooseWitness(now, v.Witness)))
	case v.IsSolo() || p.isUnresponsive(now, p.peer(v.Backup), time.Time{}) || p.peer(v.Backup).refused:
		if !p.isWitnessUnhealthy(now, v.Witness) {
			p.replaceBackup(now, v)
		}
	case p.retiring:
		return
	case p.shouldReplaceUnlisted(now, v.Backup) || p.hasSameZoneCandidate(now, v.Backup):
		if !p.isWitnessUnhealthy(now, v.Witness) {
			p.replaceBackup(now, v)
		}
	case p.chooseWitness(now, v.Witness) != v.Witness:
		p.startChange(now, p.nextView(v).WithWitness(p.chooseWitness(now, v.Witness)), stageRegister)
	case v != p.settledView:
		p.resumeChange(now, v)
	}
}

// shouldReplaceUnlisted reports whether the backup is no longer a candidate, so that it is
// replaced while it still answers, if another one is there.
func (p *primary) shouldReplaceUnlisted(now time.Time, m Member) bool {
	if slices.ContainsFunc(p.candidates, func(c Candidate) bool { return c.Member == m }) {
		return false
	}
	_, found := p.chooseBackup(now, m)
	return found
}

// hasNoBackup reports whether no other member may take over.
func (p *primary) hasNoBackup() bool { return len(p.requiredBackups()) == 0 }

// replaceBackup finds a backup for a view that has none or has lost it, or else
// goes on alone.
func (p *primary) replaceBackup(now time.Time, v View) {
	next, found := p.chooseBackup(now, v.Backup)
	switch {
	case found && v.Witness != "" && !p.retiring:
		p.startChange(now, p.nextView(v).WithBackup(next), stageSnapshot)
	case !p.hasNoBackup():
		p.startChange(now, p.nextView(v).WithBackup(Member{}), stageRegister)
	}
}

// resumeChange goes on with a view that may have been registered.
func (p *primary) resumeChange(now time.Time, v View) {
	p.change = &change{view: v, stage: stageRegister, startedAt: now, swapSent: true, catchUpIndex: p.commitIndex}
}

func (p *primary) startChange(now time.Time, v View, stage changeStage) {
	p.change = &change{view: v, stage: stage, startedAt: now}
	if stage == stageSnapshot {
		q := p.peer(v.Backup)
		q.refused = false
		q.leaseStart = time.Time{}
		return
	}
	p.addPossibleView(v)
}

// addPossibleView makes the view of the change possible. Records need its backup from
// now on, so that it lacks nothing once it may take over.
func (p *primary) addPossibleView(v View) {
	p.change.catchUpIndex = p.commitIndex
	p.possibleViews = slices.DeleteFunc(p.possibleViews, func(older View) bool { return older.IsSolo() })
	p.possibleViews = append(p.possibleViews, v)
}

// hasSameZoneCandidate reports whether the backup is of another zone although a candidate
// of the own one is there. A zone that is cut off keeps its shards then.
func (p *primary) hasSameZoneCandidate(now time.Time, backup Member) bool {
	next, found := p.chooseBackup(now, backup)
	return found && p.isInPrimaryZone(next) && !p.isInPrimaryZone(backup)
}

func (p *primary) isInPrimaryZone(m Member) bool {
	return slices.ContainsFunc(p.candidates, func(c Candidate) bool { return c.Member == m && c.Zone == p.zone })
}

// chooseBackup returns the first candidate that has not failed lately.
func (p *primary) chooseBackup(now time.Time, except Member) (Member, bool) {
	for _, sameZone := range []bool{true, false} {
		for _, c := range p.candidates {
			if (c.Zone == p.zone) != sameZone || c.Member == p.self || c.Member == except {
				continue
			}
			if q, ok := p.peers[c.Member]; ok && now.Before(q.backoffUntil) {
				continue
			}
			return c.Member, true
		}
	}
	return Member{}, false
}

// chooseWitness keeps the present witness unless it is bad or leaves.
func (p *primary) chooseWitness(now time.Time, current cawork.UpstreamID) cawork.UpstreamID {
	listed := len(p.witnesses) == 0 || slices.Contains(p.witnesses, current)
	if current != "" && listed && !p.isWitnessUnhealthy(now, current) {
		return current
	}
	for _, u := range p.witnesses {
		if u != current && !p.isWitnessUnhealthy(now, u) {
			return u
		}
	}
	if current == "" && len(p.witnesses) > 0 {
		return p.witnesses[0]
	}
	return current
}

func (p *primary) isWitnessUnhealthy(now time.Time, u cawork.UpstreamID) bool {
	return p.registerAt(u).bad(now, p.cfg.WitnessTimeout)
}

// advanceChange moves the change on.
func (p *primary) advanceChange(now time.Time, out *effects) {
	c := p.change
	if c == nil || p.done {
		return
	}
	if c.stage == stageSnapshot && p.peer(c.view.Backup).adopted == c.view.Number {
		c.stage = stageRegister
		p.addPossibleView(c.view)
		p.commit(now, out)
	}
	if c.stage == stageRegister && p.hasCaughtUp() {
		p.registerView(now, out)
	}
	if c.stage == stageExclude {
		p.settleChange(now, out)
	}
}

// registerView writes the new view to its register, after the registers of older
// views that it must exclude first.
func (p *primary) registerView(now time.Time, out *effects) {
	p.dropSupersededViews()
	conflicting := p.conflictingViews()
	for _, older := range conflicting {
		p.readRegister(now, older.Witness, out)
	}
	if len(conflicting) == 0 {
		p.readRegister(now, p.change.view.Witness, out)
	}
}

// conflictingViews returns the possible views that the registration of the new view
// would neither exclude nor bind to the same backup.
func (p *primary) conflictingViews() []View {
	var out []View
	for _, older := range p.possibleViews {
		v := p.change.view
		if !older.IsSolo() && older.Backup != v.Backup && older.Witness != v.Witness {
			out = append(out, older)
		}
	}
	return out
}

// dropSupersededViews drops older views whose backup has adopted a later one.
func (p *primary) dropSupersededViews() {
	v := p.change.view
	p.possibleViews = slices.DeleteFunc(p.possibleViews, func(older View) bool {
		return older != v && (older.IsSolo() || p.peer(older.Backup).adopted > older.Number)
	})
}

// hasCaughtUp reports whether the backup of the change holds every record
// that took effect before records began to need it.
func (p *primary) hasCaughtUp() bool {
	v := p.change.view
	return v.IsSolo() || p.peer(v.Backup).acked >= p.change.catchUpIndex
}

// settleChange settles the change once every older view is out of force: its
// backup adopted a later view, or its register was swapped.
func (p *primary) settleChange(now time.Time, out *effects) {
	c := p.change
	p.dropSupersededViews()
	if len(p.possibleViews) == 1 {
		p.change = nil
		p.settledView = c.view
		p.yielding = false
		out.events = append(out.events, Event{Type: EventViewChanged, Shard: c.view.Shard, View: c.view})
		return
	}
	for _, older := range p.possibleViews {
		if older.Witness != c.view.Witness {
			p.readRegister(now, older.Witness, out)
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
	p.readRegister(now, v.Witness, out)
}

// readRegister reads the register, unless that is under way or was done lately.
func (p *primary) readRegister(now time.Time, u cawork.UpstreamID, out *effects) {
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
	current, err := DecodeView(r.value.Value)
	switch {
	case err != nil:
		reg.unusable = true
	case current.Primary == p.self:
		p.handleOwnValue(now, r.witness, current, r.value, out)
	default:
		p.handleOtherValue(now, r.witness, current, r.value, out)
	}
	p.advance(now, out)
}

// handleOwnValue folds a value of this primary in a register. Views that the
// register held before, or will not hold, are out of force.
func (p *primary) handleOwnValue(now time.Time, u cawork.UpstreamID, current View, value caplatform.Register, out *effects) {
	reg := p.registerAt(u)
	reg.confirmed = true
	c := p.change
	if c == nil {
		return
	}
	if current != c.view {
		p.swapRegister(now, u, value, out)
		return
	}
	p.possibleViews = slices.DeleteFunc(p.possibleViews, func(v View) bool { return v != c.view && v.Witness == u })
	if c.stage == stageRegister && u == c.view.Witness {
		c.stage = stageExclude
	}
}

// handleOtherValue folds a value of somebody else in a register.
func (p *primary) handleOtherValue(now time.Time, u cawork.UpstreamID, current View, value caplatform.Register, out *effects) {
	reg := p.registerAt(u)
	mayHaveWritten := reg.sent || reg.confirmed
	switch {
	case current.Number == 0 && reg.confirmed:
		reg.unusable = true
	case mayHaveWritten && current.Number > p.possibleViews[0].Number:
		p.depose(current, out)
	case current.Number > p.possibleViews[0].Number:
		reg.unusable = true
	default:
		p.swapRegister(now, u, value, out)
	}
}

// swapRegister writes the view of the change to a register that holds an older one.
func (p *primary) swapRegister(now time.Time, u cawork.UpstreamID, value caplatform.Register, out *effects) {
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
	c.swapSent = true
	out.registers = append(out.registers, registerEffect{witness: u, swap: swap})
}

// mayWrite reports whether the new view may be written to the register now.
func (p *primary) mayWrite(u cawork.UpstreamID) bool {
	c := p.change
	if c == nil || c.stage == stageSnapshot || !p.hasCaughtUp() {
		return false
	}
	conflicting := p.conflictingViews()
	if u == c.view.Witness {
		return len(conflicting) == 0
	}
	usesWitness := func(v View) bool { return v.Witness == u }
	return slices.ContainsFunc(conflicting, usesWitness) || c.stage == stageExclude && slices.ContainsFunc(p.possibleViews, usesWitness)
}
