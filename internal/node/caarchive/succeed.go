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

// viewGap is how far the number of an elected view lies above the last known
// one. Views in between may have been in force at the lost witness.
const viewGap = 1 << 20

// stuck returns the replicas here that cannot go on, because a witness is lost
// for good together with another member.
func (p *Part) stuck() []cashard.Status {
	var stuck []cashard.Status
	for _, s := range p.Shards.Statuses() {
		waits := s.Primary && !s.MayAct || !s.Primary && p.hasEnded(s.View.Primary)
		if waits && slices.ContainsFunc(s.Witnesses, p.isLost) {
			stuck = append(stuck, s)
		}
	}
	return stuck
}

func (p *Part) isLost(u cawork.UpstreamID) bool { return u != "" && p.Directory.IsGone(u) }

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
	if image.Later {
		p.noteLater(view.Shard, errLaterEntry)
		return false
	}
	if err != nil || !p.isUndecided(ctx, logged, view, image.Elected) {
		return false
	}
	if logged.Number == 0 && !p.mayBeUnlogged(view.Shard) {
		return false
	}
	content := logged
	if image.Elected {
		if content, err = cashard.DecodeView(image.FormerBody); err != nil {
			return false
		}
	}
	if content.Number > view.Number || image.Elected && view == logged {
		view = content
	}
	if !p.isFree(ctx, view, image.Last()) {
		return false
	}
	next, proposed := p.proposed[view.Shard]
	// The log may not know the shard: its first primary died before it wrote.
	if !proposed || logged != next || p.isLost(logged.Witness) {
		view = view.WithNumber(max(view.Number, logged.Number))
		if next, err = p.elect(ctx, view); err != nil {
			return false
		}
	}
	return p.lead(ctx, next, content, image)
}

// isUndecided reports whether the last view that the log tells of leaves the
// lead open: its witness is lost, or it was elected and has not led, or it is
// not later than the view of the replica here.
func (p *Part) isUndecided(ctx context.Context, logged, view cashard.View, elected bool) bool {
	switch {
	case logged.Number <= p.succeeded[view.Shard] && view.Number <= p.succeeded[view.Shard] && p.succeeded[view.Shard] > 0:
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

// hasLed reports whether an elected view may have led: its register is written
// before.
func (p *Part) hasLed(ctx context.Context, elected cashard.View) bool {
	register, err := p.Witnesses.ReadRegister(ctx, elected.Witness, cashard.RegisterName(elected.Shard))
	if err != nil {
		return true
	}
	held, err := cashard.DecodeView(register.Value)
	return err != nil || held.Number >= elected.Number
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
	case !p.isLost(other.View.Witness):
		return true
	case other.View.Primary == own.View.Primary && !other.Leads:
		return other.Index > own.Index || other.Index == own.Index && other.View.Number >= own.View.Number
	default:
		return other.View.Number >= own.View.Number
	}
}

// elect proposes this entry for the lead after the view and returns the view
// that the log has first. The new witness is one that answers.
func (p *Part) elect(ctx context.Context, view cashard.View) (cashard.View, error) {
	witness, ok := p.newWitness(ctx, view.Shard)
	if !ok {
		return view, cakind.New(cakind.KindUnavailable, "no witness for shard %s", view.Shard)
	}
	next := view.WithNumber(view.Number + viewGap).WithPrimary(p.Self).WithBackup(cashard.Member{}).WithWitness(witness)
	body, err := next.Encode()
	if err != nil {
		return view, err
	}
	if err := p.Shards.Halt(ctx, next, p.isLost); err != nil {
		return view, err
	}
	p.proposals++
	p.proposed[view.Shard] = next
	// A lost answer is settled by the read that follows.
	_ = calog.Elect(ctx, p.Log, topic, calog.Election{
		ID:    calog.EntryID{Writer: p.Life + "/elections", Sequence: p.proposals},
		Shard: view.Shard, Base: view.Number, View: next.Number, Body: body,
	})
	traces, err := calog.Survey(ctx, p.Log, topic)
	if err != nil {
		return view, err
	}
	won := slices.ContainsFunc(traces, func(t calog.Trace) bool { return t.Shard == view.Shard && bytes.Equal(t.ViewBody, body) })
	if !won {
		return view, cakind.New(cakind.KindConflict, "another entry was elected for shard %s", view.Shard)
	}
	return next, nil
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

// lead leads the shard in a view that this entry was elected to. Content is the
// view that the image was written in.
func (p *Part) lead(ctx context.Context, next, content cashard.View, image calog.Image) bool {
	mark, err := p.mark()
	if err != nil {
		return false
	}
	err = p.Shards.Succeed(ctx, next, cashard.Image{
		View:     content,
		Snapshot: cashard.Snapshot{Index: image.Base, State: image.State},
		Records:  image.Records,
	}, mark)
	p.noteLater(next.Shard, err)
	p.logRebuilt(next, image.Last(), err)
	if err == nil {
		p.succeeded[next.Shard] = next.Number
	}
	return err == nil
}
