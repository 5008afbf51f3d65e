package cashard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// changeStage is the stage of a change of view.
type changeStage int

const (
	// stageSnapshot waits until the new backup holds a snapshot of the shard.
	stageSnapshot changeStage = iota
	// stageRegister writes the new view to its witness register.
	stageRegister
	// stageExclude waits until no older view can be in force.
	stageExclude
)

// change is a change of view under way, for example to replace backup b by c:
//
//	snapshot: c receives a snapshot of the shard; the new view is not yet possible
//	register: the witness register is swapped from the old view to the new one
//	exclude:  the swap has excluded the old view; the new one is settled
//
// A change of the witness from w to x registers the new view at x. Then the
// backup adopts the new view, which excludes the old one without access to w.
//
// Once a view is registered, its backup may take over. So no view is registered
// while an older one with another backup may be in force, unless the same swap
// excludes the older one.
type change struct {
	view      View
	stage     changeStage
	startedAt time.Time
	// catchUpIndex is the index up to which the new backup must hold the records
	// before the view may be registered.
	catchUpIndex int64
	// swapSent reports that a swap to the view was sent and may take effect.
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

// finishDrain ends the leadership of a draining shard once all records are
// committed. A retiring shard is done when a view without a backup is registered;
// the former backup then drops its replica. A shard that does not retire is yielded
// to its backup; if that backup is lost before it takes over, the next view that is
// settled cancels the yield.
func (p *primary) finishDrain(out *effects) {
	if !p.draining || !p.isSettled() || p.commitIndex != p.log.last() {
		return
	}
	switch {
	case p.retiring && p.target().IsSolo():
		p.done = true
		p.releaseReplicas(out)
		out.events = append(out.events, Event{Type: EventRetired, Shard: p.target().Shard, View: p.target()})
	case !p.retiring && !p.target().IsSolo():
		p.yielding = true
	}
}

// releaseReplicas tells the members that still hold a replica to drop it. A member
// that misses the release learns from the witness register that it is not the
// backup any more.
func (p *primary) releaseReplicas(out *effects) {
	for _, q := range p.peers {
		if q.hasReplica {
			out.calls = append(out.calls, callEffect{request: ReplicateRequest{To: q.member, View: p.target(), Release: true}})
		}
	}
}

// abortFailedChange cancels the change if its witness or its backup has failed. A
// view that may have been registered stays possible until another view excludes
// it.
func (p *primary) abortFailedChange(now time.Time) {
	c := p.change
	if c == nil {
		return
	}
	witnessFailed := c.stage == stageRegister && p.registerAt(c.view.Witness).isUnhealthy(now, p.cfg.WitnessTimeout)
	if !witnessFailed && !p.detectBackupLoss(now, c) {
		return
	}
	if witnessFailed {
		p.backoffUntil = now.Add(p.cfg.WitnessPeriod)
	}
	p.cancelChange()
}

// detectBackupLoss reports whether the backup of the change has refused or is
// unresponsive. If so, the member is not chosen again for CandidateRest.
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

// isUnresponsive reports whether the member has acknowledged nothing for
// ReplaceAfter, counted from since at the earliest.
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
// come into force and is no longer possible. The same holds for a view without a
// backup, since nobody can take over from it.
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

// nextView returns a copy of the view with a number that was never used before.
func (p *primary) nextView(v View) View {
	p.highestNumber++
	return v.WithNumber(p.highestNumber)
}

// startNeededChange starts the most urgent change, if any is needed. The backup
// and the witness are never replaced in one change, since only the one that stays
// can exclude the old view. A shard that has lost both waits until one of them
// answers again.
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
	case p.retiring && !p.isWitnessUnhealthy(now, v.Witness):
		p.replaceBackup(now, v)
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

// shouldReplaceUnlisted reports whether the backup is no longer a candidate and
// another candidate can replace it, although the backup still answers.
func (p *primary) shouldReplaceUnlisted(now time.Time, m Member) bool {
	if slices.ContainsFunc(p.candidates, func(c Candidate) bool { return c.Member == m }) {
		return false
	}
	_, found := p.chooseBackup(now, m)
	return found
}

// hasNoBackup reports whether no possible view has a backup, so that no other
// member may take over.
func (p *primary) hasNoBackup() bool { return len(p.requiredBackups()) == 0 }

// replaceBackup starts a change to another backup. If there is no candidate or no
// witness, or if the shard retires, it starts a change to a view without a backup,
// unless no possible view has one.
func (p *primary) replaceBackup(now time.Time, v View) {
	next, found := p.chooseBackup(now, v.Backup)
	switch {
	case found && v.Witness != "" && !p.retiring:
		p.startChange(now, p.nextView(v).WithBackup(next), stageSnapshot)
	case !p.hasNoBackup():
		p.startChange(now, p.nextView(v).WithBackup(Member{}), stageRegister)
	}
}

// resumeChange resumes the registration of a view whose change was canceled after
// it may have been registered.
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

// addPossibleView makes the view of the change possible. From now on a record
// takes effect only once the backup of the view holds it, so that the backup lacks
// no record when it may take over.
func (p *primary) addPossibleView(v View) {
	p.change.catchUpIndex = p.commitIndex
	p.possibleViews = slices.DeleteFunc(p.possibleViews, func(older View) bool { return older.IsSolo() })
	p.possibleViews = append(p.possibleViews, v)
}

// hasSameZoneCandidate reports whether the backup is in another zone while a
// candidate in the zone of the primary could replace it. A zone that is cut off
// keeps its shards if their backups are in the zone too.
func (p *primary) hasSameZoneCandidate(now time.Time, backup Member) bool {
	next, found := p.chooseBackup(now, backup)
	return found && p.isInPrimaryZone(next) && !p.isInPrimaryZone(backup)
}

func (p *primary) isInPrimaryZone(m Member) bool {
	return slices.ContainsFunc(p.candidates, func(c Candidate) bool { return c.Member == m && c.Zone == p.zone })
}

// chooseBackup returns the first candidate that has not failed recently.
// Candidates in the zone of the primary are preferred.
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

// chooseWitness returns the current witness unless it is unhealthy or no longer
// listed and another one can replace it.
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
	return p.registerAt(u).isUnhealthy(now, p.cfg.WitnessTimeout)
}

// advanceChange moves the change to its next stage when the conditions are met.
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

// registerView starts to write the new view to the register of its witness. If
// older views conflict with it, the new view is written to their registers first,
// to exclude them.
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

// conflictingViews returns the possible views that the registration of the new
// view does not exclude and that have another backup.
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

// dropSupersededViews drops the older views that have no backup or whose backup
// has adopted a later view.
func (p *primary) dropSupersededViews() {
	v := p.change.view
	p.possibleViews = slices.DeleteFunc(p.possibleViews, func(older View) bool {
		return older != v && (older.IsSolo() || p.peer(older.Backup).adopted > older.Number)
	})
}

// hasCaughtUp reports whether the backup of the change holds every record that
// took effect before its acknowledgment was required.
func (p *primary) hasCaughtUp() bool {
	v := p.change.view
	return v.IsSolo() || p.peer(v.Backup).acked >= p.change.catchUpIndex
}

// settleChange completes the change once all older views are excluded, each by its
// backup, which adopted a later view, or by a swap of its register. Until then it
// reads the registers of the older views.
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

// checkWitness reads the witness register periodically while no change is under
// way, to detect a takeover and to check that the witness answers.
func (p *primary) checkWitness(now time.Time, out *effects) {
	v := p.target()
	if v.IsSolo() || p.change != nil {
		return
	}
	p.readRegister(now, v.Witness, out)
}

// readRegister requests a read of the register, unless an operation on it is in
// flight or the next read is not due yet.
func (p *primary) readRegister(now time.Time, u cawork.UpstreamID, out *effects) {
	r := p.registerAt(u)
	if r.inFlight || now.Before(r.nextRead) || u == "" {
		return
	}
	r.inFlight = true
	r.nextRead = now.Add(p.cfg.Heartbeat)
	if p.change == nil {
		r.nextRead = now.Add(p.cfg.WitnessPeriod)
	}
	out.registers = append(out.registers, registerEffect{witness: u})
}

// onRegister handles the result of a read or swap of a witness register.
func (p *primary) onRegister(now time.Time, r registerResult, out *effects) {
	if p.done || p.halted {
		return
	}
	reg := p.registerAt(r.witness)
	reg.updateHealth(now, r.err)
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

// handleOwnValue handles a register value that this primary has written. If the
// value is the view of the change, all other views at this witness are excluded:
// the register held them before, or will never hold them.
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

// handleOtherValue handles a register value that another primary has written, or
// an empty register. A later view there deposes this primary if it may have
// written the register before, and makes the register unusable otherwise. A
// register that has lost the value of this primary is unusable too.
func (p *primary) handleOtherValue(now time.Time, u cawork.UpstreamID, current View, value caplatform.Register, out *effects) {
	reg := p.registerAt(u)
	mayHaveWritten := reg.maybeWritten || reg.confirmed
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

// swapRegister requests a swap of the register from an older view to the view of
// the change.
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
	reg.inFlight = true
	reg.maybeWritten = true
	reg.nextRead = now.Add(p.cfg.Heartbeat)
	c.swapSent = true
	out.registers = append(out.registers, registerEffect{witness: u, swap: swap})
}

// mayWrite reports whether the view of the change may be written to the register
// now: to that of its own witness once no older view conflicts, and to others in
// order to exclude an older view.
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
