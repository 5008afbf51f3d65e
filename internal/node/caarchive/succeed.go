package caarchive

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calog"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// viewGap is how far the number of an elected view lies above the last known
// one. Views in between may have been in force at the lost witness.
const viewGap = 1 << 20

// stuck returns the replicas here that cannot go on, because the witness of
// their view is lost for good together with all other members.
func (p *Part) stuck() []cashard.Status {
	var stuck []cashard.Status
	for _, s := range p.Shards.Statuses() {
		if s.View.Witness != "" && !s.MayAct && p.isAlone(s) && p.Directory.IsWitnessLost(s.View.Witness) {
			stuck = append(stuck, s)
		}
	}
	return stuck
}

// isAlone reports whether all members that the replica knows of have ended.
func (p *Part) isAlone(s cashard.Status) bool {
	if !s.Primary {
		return p.hasEnded(s.View.Primary)
	}
	return !slices.ContainsFunc(s.Followers, func(m cashard.Member) bool { return !p.hasEnded(m) })
}

// succeedAll tries to lead the shards whose replicas here cannot go on. It
// reports whether none is left.
func (p *Part) succeedAll(ctx context.Context, stuck []cashard.Status, fold *calog.Fold) bool {
	complete := true
	for _, s := range stuck {
		image, _ := fold.Image(s.Shard)
		complete = p.succeed(ctx, s.View, image) && complete
	}
	return complete
}

// succeed leads a shard whose last view cannot be decided at its witness any
// more. All entries must have told how the shard stands with them, and the log
// decides between those that try. It reports whether the shard needs no further
// look.
func (p *Part) succeed(ctx context.Context, view cashard.View, image calog.Image) bool {
	logged, err := cashard.DecodeView(image.ViewBody)
	if err != nil {
		return false
	}
	if logged.Number > view.Number {
		view = logged
	}
	if p.succeeded[view.Shard] >= view.Number || !p.isFree(ctx, view, image.Last()) {
		return false
	}
	if view != p.proposed[view.Shard] || p.Directory.IsWitnessLost(view.Witness) {
		elected, ok := p.elect(ctx, view)
		if !ok {
			return false
		}
		view = elected
	}
	return p.lead(ctx, view, image)
}

// isFree reports whether no other entry leads the shard or should rather come
// to lead it.
func (p *Part) isFree(ctx context.Context, view cashard.View, logged int64) bool {
	own, err := p.Shards.HandleStanding(ctx, view.Shard)
	if err != nil {
		return false
	}
	if own.View.Number < view.Number {
		own = cashard.Standing{View: view, Index: logged}
	}
	for _, vm := range p.Directory.RunningEntries() {
		other, err := p.Peers.Standing(ctx, vm, view.Shard)
		if err != nil || p.goesFirst(other, own) {
			return false
		}
	}
	return true
}

// goesFirst reports whether a replica of another entry is to lead rather than
// what is known here. Replicas of one primary hold the same records up to their
// index; a later primary holds all records of the former ones.
func (p *Part) goesFirst(other, own cashard.Standing) bool {
	switch {
	case other.View.Number == 0:
		return false
	case other.MayAct:
		return true
	case other.View.Primary == p.Self:
		return false
	case other.View.Primary == own.View.Primary && !other.Leads:
		return other.Index > own.Index || other.Index == own.Index && other.View.Number >= own.View.Number
	default:
		return other.View.Number >= own.View.Number
	}
}

// elect proposes this entry for the lead and reports whether the log has it
// first. The new witness is one that answers.
func (p *Part) elect(ctx context.Context, view cashard.View) (cashard.View, bool) {
	witness, ok := p.newWitness(ctx, view.Shard)
	if !ok {
		return view, false
	}
	next := view.WithNumber(view.Number + viewGap).WithPrimary(p.Self).WithBackup(cashard.Member{}).WithWitness(witness)
	body, err := next.Encode()
	if err != nil {
		return view, false
	}
	p.proposals++
	p.proposed[view.Shard] = next
	// A lost answer is settled by the read that follows.
	_ = calog.Elect(ctx, p.Log, topic, calog.Election{
		ID:    calog.EntryID{Writer: p.Life + "/elections", Sequence: p.proposals},
		Shard: view.Shard, Base: view.Number, View: next.Number, Body: body,
	})
	fold, err := calog.ReadAll(ctx, p.Log, topic)
	if err != nil {
		return view, false
	}
	image, _ := fold.Image(view.Shard)
	won, err := cashard.DecodeView(image.ViewBody)
	return next, err == nil && won == next
}

func (p *Part) newWitness(ctx context.Context, s cawork.ShardID) (cawork.UpstreamID, bool) {
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

// lead leads the shard in a view that this entry was elected to.
func (p *Part) lead(ctx context.Context, next cashard.View, image calog.Image) bool {
	logged, err := cashard.DecodeView(image.ViewBody)
	if err != nil {
		return false
	}
	mark, err := p.mark()
	if err != nil {
		return false
	}
	err = p.Shards.Succeed(ctx, next, cashard.Image{
		View:     logged,
		Snapshot: cashard.Snapshot{Index: image.Base, State: image.State},
		Records:  image.Records,
	}, mark)
	p.logRebuilt(next, image.Last(), err)
	if err == nil {
		p.succeeded[next.Shard] = next.Number
	}
	return err == nil
}
