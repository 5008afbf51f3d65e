package cashard

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Standing tells another member how a shard stands here.
type Standing struct {
	// View is the view of the replica here, the zero view when there is none.
	View View
	// Leads reports that the replica is the primary, MayAct that it may act.
	Leads  bool
	MayAct bool
	// Index is that of the last record of the replica.
	Index int64
}

// HandleStanding tells another member how a shard stands here.
func (p *Part) HandleStanding(_ context.Context, s cawork.ShardID) (Standing, error) {
	p.beforeStep()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasStopped() {
		return Standing{}, cakind.New(cakind.KindUnavailable, "member %s has stopped", p.opts.Self.VM)
	}
	r, ok := p.replicas[s]
	if !ok || r.primary == nil && r.backup == nil {
		return Standing{}, nil
	}
	status := p.status(r)
	return Standing{View: status.View, Leads: status.Primary, MayAct: status.MayAct, Index: status.Index}, nil
}

// possibleWitnesses returns the witnesses of all views that are possible or sought.
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

// Halt stops a primary here that cannot go on, and takes from its backups what
// they need for a takeover: the registers of the witnesses that are not lost. It
// has no effect on a member that is not the primary. KindConflict means that a
// backup has taken over.
func (p *Part) Halt(ctx context.Context, next View, isLost func(cawork.UpstreamID) bool) error {
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

// haltPrimary stops the primary of the shard and returns its witnesses.
func (p *Part) haltPrimary(s cawork.ShardID) []cawork.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[s]
	if !ok || r.primary == nil {
		return nil
	}
	r.primary.halted = true
	return r.primary.possibleWitnesses()
}

// maxExclusionAttempts bounds the swaps of a register, which a late swap of the halted
// primary may cross.
const maxExclusionAttempts = 3

// excludeOlderViews writes the view to the register of a witness of the own lead.
func (p *Part) excludeOlderViews(ctx context.Context, u cawork.UpstreamID, next View) error {
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
	return cakind.New(cakind.KindUnavailable, "register at %s cannot be written", u)
}

// Succeed makes this member lead a shard in a view that was agreed on without
// the witness of the former one, which is lost for good. The caller has seen
// that no other member leads the shard, or will, and that nobody else was
// elected. The state is that of the replica here, unless the image
// has more. The mark is the first record of the new lead.
//
// KindConflict means that the register of the new witness names another view.
func (p *Part) Succeed(ctx context.Context, next View, image Image, firstRecord []byte) error {
	if next.Primary != p.opts.Self || !next.IsSolo() || next.Witness == "" {
		return cakind.New(cakind.KindInvalid, "view %d of shard %s is not one to succeed in", next.Number, next.Shard)
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
	// What the log or the replica lacks is for the new lead to find out.
	_ = machine.Apply(firstRecord)
	p.dropReplica(next)
	return p.startPrimary(next, machine, last+1)
}

// newestState returns a copy of the newest state that this member knows of.
func (p *Part) newestState(s cawork.ShardID, image Image) (StateMachine, int64, error) {
	machine := p.opts.NewMachine(s)
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

// dropReplica ends the part that this member had before the view.
func (p *Part) dropReplica(next View) {
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
