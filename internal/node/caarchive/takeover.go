package caarchive

import (
	"bytes"
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calog"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// viewGap is the distance from the last known view number to that of an elected
// view. Views in between may have been in force at the lost witness.
const viewGap = 1 << 20

// stuckReplicas returns the replicas here that cannot make progress, because a
// witness is permanently lost together with another member.
func (p *Archiver) stuckReplicas() []cashard.Status {
	var stuck []cashard.Status
	for _, s := range p.Shards.Statuses() {
		blocked := s.Primary && !s.MayAct || !s.Primary && p.hasEnded(s.View.Primary)
		if blocked && slices.ContainsFunc(s.Witnesses, p.isLost) {
			stuck = append(stuck, s)
		}
	}
	return stuck
}

func (p *Archiver) isLost(u cawork.UpstreamID) bool { return u != "" && p.Directory.IsGone(u) }

// succeedAll tries to take over the shards whose replicas here are stuck. It
// reports whether none is left.
func (p *Archiver) succeedAll(ctx context.Context, stuck []cashard.Status, fold *calog.Replay) bool {
	complete := true
	for _, s := range stuck {
		image, _ := fold.Image(s.Shard)
		complete = p.succeed(ctx, s.View, image) && complete
	}
	return complete
}

// succeed takes over the leadership of a shard whose witness is lost, so that
// nobody can decide there whether its last view is in force. All running entries
// must have reported the state of their replica, and the log decides between
// concurrent candidates. It reports whether this entry now leads the shard.
func (p *Archiver) succeed(ctx context.Context, view cashard.View, image calog.Image) bool {
	logged, err := cashard.DecodeView(image.ViewBody)
	if image.Later {
		p.recordUnreadable(view.Shard, errUnreadableEntry)
		return false
	}
	if err != nil || !p.isUndecided(ctx, logged, view, image.Elected) {
		return false
	}
	if logged.Number == 0 && !p.mayBeUnlogged(view.Shard) {
		return false
	}
	imageView := logged
	if image.Elected {
		if imageView, err = cashard.DecodeView(image.FormerBody); err != nil {
			return false
		}
	}
	if imageView.Number > view.Number || image.Elected && view == logged {
		view = imageView
	}
	if !p.mayLead(ctx, view, image.Last()) {
		return false
	}
	next, proposed := p.proposed[view.Shard]
	// The shard is missing from the log if its first primary ended before it wrote
	// to it.
	if !proposed || logged != next || p.isLost(logged.Witness) {
		view = view.WithNumber(max(view.Number, logged.Number))
		if next, err = p.elect(ctx, view); err != nil {
			return false
		}
	}
	return p.lead(ctx, next, imageView, image)
}

// isUndecided reports whether the last view in the log leaves the leadership
// open: its witness is lost, or it was elected and has not led, or it is not later
// than the view of the replica here, whose witness is lost. A view that was led
// here after an election is decided.
func (p *Archiver) isUndecided(ctx context.Context, logged, view cashard.View, elected bool) bool {
	switch {
	case logged.Number <= p.ledElections[view.Shard] && view.Number <= p.ledElections[view.Shard] && p.ledElections[view.Shard] > 0:
		return false
	case p.isLost(logged.Witness) || logged.Number == 0:
		return true
	case !elected:
		return logged.Number <= view.Number && p.isLost(view.Witness)
	case logged == p.proposed[view.Shard]:
		return true
	default:
		return p.hasEnded(logged.Primary) && !p.hasLed(ctx, logged)
	}
}

// hasLed reports whether an elected view may have led. Its register is written
// before it leads.
func (p *Archiver) hasLed(ctx context.Context, elected cashard.View) bool {
	register, err := p.Witnesses.ReadRegister(ctx, elected.Witness, cashard.RegisterName(elected.Shard))
	if err != nil {
		return true
	}
	held, err := cashard.DecodeView(register.Value)
	return err != nil || held.Number >= elected.Number
}

// mayLead reports whether no other entry leads the shard or takes priority for
// leading it.
func (p *Archiver) mayLead(ctx context.Context, view cashard.View, loggedIndex int64) bool {
	own, err := p.Shards.HandleReplicaStatus(ctx, view.Shard)
	if err != nil {
		return false
	}
	if own.View.Number < view.Number {
		own = cashard.ReplicaStatus{View: view, Index: loggedIndex}
	}
	for _, vm := range p.Directory.RunningEntries() {
		other, err := p.Peers.Standing(ctx, vm, view.Shard)
		if err != nil || p.hasPriority(other, own) {
			return false
		}
	}
	return true
}

// hasPriority reports whether the replica of another entry takes priority over
// the data available here. Replicas of one primary hold the same records up to
// their index; a later primary holds all records of the earlier ones.
func (p *Archiver) hasPriority(other, own cashard.ReplicaStatus) bool {
	switch {
	case other.View.Number == 0:
		return false
	case other.MayAct:
		return true
	case other.View.Primary == p.Self:
		return false
	case !p.isLost(other.View.Witness):
		return true
	case other.View.Primary == own.View.Primary && !other.Leads:
		return other.Index > own.Index || other.Index == own.Index && other.View.Number >= own.View.Number
	default:
		return other.View.Number >= own.View.Number
	}
}

// elect proposes a successor of the view, with this entry as primary and a
// reachable upstream as witness, and returns it if it comes first in the log.
func (p *Archiver) elect(ctx context.Context, view cashard.View) (cashard.View, error) {
	witness, ok := p.findWitness(ctx, view.Shard)
	if !ok {
		return view, cakind.New(cakind.KindUnavailable, "no witness is reachable for shard %s", view.Shard)
	}
	next := view.WithNumber(view.Number + viewGap).WithPrimary(p.Self).WithBackup(cashard.Member{}).WithWitness(witness)
	body, err := next.Encode()
	if err != nil {
		return view, err
	}
	if err := p.Shards.HaltPrimary(ctx, next, p.isLost); err != nil {
		return view, err
	}
	p.proposalCount++
	p.proposed[view.Shard] = next
	// On an error the append may still have succeeded. The read below decides.
	_ = calog.AppendElection(ctx, p.Log, topic, calog.Election{
		ID:    calog.EntryID{Writer: p.Writer + "/elections", Sequence: p.proposalCount},
		Shard: view.Shard, Base: view.Number, View: next.Number, Body: body,
	})
	traces, err := calog.ScanShards(ctx, p.Log, topic)
	if err != nil {
		return view, err
	}
	won := slices.ContainsFunc(traces, func(t calog.ShardSummary) bool { return t.Shard == view.Shard && bytes.Equal(t.ViewBody, body) })
	if !won {
		return view, cakind.New(cakind.KindConflict, "another entry was elected for shard %s", view.Shard)
	}
	return next, nil
}

func (p *Archiver) findWitness(ctx context.Context, s cawork.ShardID) (cawork.UpstreamID, bool) {
	for _, vm := range p.Directory.ZoneUpstreams() {
		u := cawork.UpstreamID(vm.ID)
		if vm.State != caplatform.VMStateLive {
			continue
		}
		if _, err := p.Witnesses.ReadRegister(ctx, u, cashard.RegisterName(s)); err == nil {
			return u, true
		}
	}
	return "", false
}

// lead takes over the shard in the view that this entry was elected to. imageView
// is the view in which the image was written.
func (p *Archiver) lead(ctx context.Context, next, imageView cashard.View, image calog.Image) bool {
	rebuiltRecord, err := p.encodeRebuiltRecord()
	if err != nil {
		return false
	}
	err = p.Shards.StartElectedPrimary(ctx, next, cashard.LoggedState{
		View:     imageView,
		Snapshot: cashard.Snapshot{Index: image.Base, State: image.State},
		Records:  image.Records,
	}, rebuiltRecord)
	p.recordUnreadable(next.Shard, err)
	p.logRebuilt(next, image.Last(), err)
	if err == nil {
		p.ledElections[next.Shard] = next.Number
	}
	return err == nil
}
