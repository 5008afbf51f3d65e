package cashard

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// ReplicaStatus is the state of a shard on this member, as reported to another member.
type ReplicaStatus struct {
	// View is the view of the replica on this member, or the zero view if there is
	// no replica.
	View View
	// Leads reports that the replica is the primary, and MayAct that the primary may
	// act.
	Leads  bool
	MayAct bool
	// Index is the index of the last record of the replica.
	Index int64
}

// HandleReplicaStatus returns the state of a shard on this member to another member.
func (p *ReplicaManager) HandleReplicaStatus(_ context.Context, s cawork.ShardID) (ReplicaStatus, error) {
	p.beforeStep()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasStopped() {
		return ReplicaStatus{}, cakind.New(cakind.KindUnavailable, "member %s has stopped", p.opts.Self.VM)
	}
	r, ok := p.replicas[s]
	if !ok || r.primary == nil && r.backup == nil {
		return ReplicaStatus{}, nil
	}
	status := p.status(r)
	return ReplicaStatus{View: status.View, Leads: status.Primary, MayAct: status.MayAct, Index: status.Index}, nil
}

// possibleWitnesses returns the witnesses of all possible views and of the view of
// the change under way.
func (p *primary) possibleWitnesses() []cawork.UpstreamID {
	var out []cawork.UpstreamID
	for _, v := range p.possibleViews {
		out = append(out, v.Witness)
	}
	if p.change != nil {
		out = append(out, p.change.view.Witness)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// HaltPrimary stops a primary on this member that has lost its witness. It then writes
// the next view to the registers of the witnesses that are not lost, so that no
// backup of the halted primary can take over. It has no effect on a member that is
// not the primary. KindConflict means that a backup has taken over.
func (p *ReplicaManager) HaltPrimary(ctx context.Context, next View, isLost func(cawork.UpstreamID) bool) error {
	for _, u := range p.haltPrimary(next.Shard) {
		if u == "" || isLost(u) {
			continue
		}
		if err := p.excludeOlderViews(ctx, u, next); err != nil {
			return err
		}
	}
	return nil
}

// haltPrimary stops the primary of the shard, if it is on this member, and returns
// its witnesses.
func (p *ReplicaManager) haltPrimary(s cawork.ShardID) []cawork.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[s]
	if !ok || r.primary == nil {
		return nil
	}
	r.primary.halted = true
	return r.primary.possibleWitnesses()
}

// maxExclusionAttempts bounds the swaps of one register. A swap can fail because a
// delayed swap of the halted primary takes effect between the read and the swap.
const maxExclusionAttempts = 3

// excludeOlderViews writes the next view to the register of a witness of the halted
// primary. A backup of an older view then can no longer take over at this witness.
func (p *ReplicaManager) excludeOlderViews(ctx context.Context, u cawork.UpstreamID, next View) error {
	for range maxExclusionAttempts {
		current, err := p.opts.Witnesses.ReadRegister(ctx, u, RegisterName(next.Shard))
		if err != nil {
			return err
		}
		v, err := DecodeView(current.Value)
		if err != nil || v.Number > 0 && v.Primary != p.opts.Self {
			return cakind.New(cakind.KindConflict, "register at %s holds view %d of shard %s", u, v.Number, next.Shard)
		}
		if p.claimRegister(ctx, u, next, current) == nil {
			return nil
		}
	}
	return cakind.New(cakind.KindUnavailable, "register at %s could not be swapped", u)
}

// StartElectedPrimary makes this member the primary of a shard in an elected view, after the
// witness of the former view is lost for good. The caller must have verified that
// no other member leads the shard or can come to lead it, and that no other member
// was elected. The state is the newer one of the replica on this member and the
// image. firstRecord is the first record of the new primary.
//
// KindConflict means that the register of the new witness holds a later view, or
// that another member has swapped it first.
func (p *ReplicaManager) StartElectedPrimary(ctx context.Context, next View, image LoggedState, firstRecord []byte) error {
	if next.Primary != p.opts.Self || !next.IsSolo() || next.Witness == "" {
		return cakind.New(cakind.KindInvalid, "view %d of shard %s must have this member as primary, no backup and a witness", next.Number, next.Shard)
	}
	machine, last, err := p.newestState(next.Shard, image)
	if err != nil {
		return err
	}
	current, err := p.opts.Witnesses.ReadRegister(ctx, next.Witness, RegisterName(next.Shard))
	if err != nil {
		return err
	}
	if v, err := DecodeView(current.Value); err != nil || v.Number > next.Number {
		return cakind.New(cakind.KindConflict, "register at %s holds view %d of shard %s", next.Witness, v.Number, next.Shard)
	}
	if err := p.claimView(ctx, next, current); err != nil {
		return err
	}
	// The result is ignored: what the log or the replica lacks is found by the new
	// primary once it leads.
	_ = machine.Apply(firstRecord)
	p.dropReplica(next)
	return p.startPrimary(next, machine, last+1)
}

// newestState returns a state machine with the newest state that this member has,
// and the index of the last record: a copy of the replica, or the image if the
// replica is older.
func (p *ReplicaManager) newestState(s cawork.ShardID, image LoggedState) (StateMachine, int64, error) {
	machine := p.opts.NewStateMachine(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	loggedIndex := image.Snapshot.Index + int64(len(image.Records))
	if r, ok := p.replicas[s]; ok && (r.primary != nil || r.backup != nil) {
		status := p.status(r)
		if status.View.Number >= image.View.Number && status.Index >= loggedIndex {
			return copyMachine(r.machine(), machine, status.Index)
		}
	}
	last, err := restoreImage(machine, image)
	return machine, last, err
}

// machine returns the state machine of the replica, nil when there is none.
func (r *replica) machine() StateMachine {
	switch {
	case r.primary != nil:
		return r.primary.machine
	case r.backup != nil:
		return r.backup.machine
	default:
		return nil
	}
}

func copyMachine(from, to StateMachine, last int64) (StateMachine, int64, error) {
	state, err := from.Snapshot()
	if err != nil {
		return nil, 0, err
	}
	return to, last, to.Restore(state)
}

// dropReplica drops the replica that this member had before the next view.
func (p *ReplicaManager) dropReplica(next View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[next.Shard]
	if !ok {
		return
	}
	p.step(r, func(out *effects) {
		if r.primary != nil {
			r.primary.depose(next, out)
		}
		r.primary, r.backup = nil, nil
	})
}
