package cashard

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// LoggedState is the state of a shard as read from the platform's log.
type LoggedState struct {
	View     View
	Snapshot Snapshot
	// Records are the records after the snapshot.
	Records [][]byte
}

// maxRegisterHops bounds how many witness registers are read to find the latest
// view.
const maxRegisterHops = 4

// RebuildFromLog makes this member the primary of a shard whose primary and backup are
// both lost, from an image of the platform's log. isGone reports whether a member
// has ended and will never run again; a member that only does not answer is not
// gone. If several members rebuild the shard at once, the swap of the witness
// register of the latest view decides between them.
//
// The caller must then fence every upstream of the zone, as after a takeover, and
// start no task until all of them have answered. KindConflict means that another
// member leads the shard or may lead it. Records that are missing from the log
// are lost.
func (p *ReplicaManager) RebuildFromLog(ctx context.Context, image LoggedState, isGone func(Member) bool) error {
	if p.holdsReplica(image.View) {
		return cakind.New(cakind.KindConflict, "shard %s already has a replica on this member", image.View.Shard)
	}
	machine := p.opts.NewStateMachine(image.View.Shard)
	last, err := restoreImage(machine, image)
	if err != nil {
		return err
	}
	latest, register, err := p.latestView(ctx, image.View)
	if err != nil {
		return err
	}
	if !isGone(latest.Primary) || !latest.IsSolo() && !isGone(latest.Backup) {
		return cakind.New(cakind.KindConflict, "shard %s: a member of view %d may still be running", latest.Shard, latest.Number)
	}
	next := latest.WithNumber(latest.Number + 1).WithPrimary(p.opts.Self).WithBackup(Member{})
	if err := p.claimView(ctx, next, register); err != nil {
		return err
	}
	return p.startPrimary(next, machine, last)
}

func (p *ReplicaManager) holdsReplica(v View) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[v.Shard]
	return ok && (r.primary != nil || r.backup != nil)
}

// restoreImage restores an image to an empty state machine and returns the index
// of the last record. It returns an error for a record of a later format, which
// this version cannot apply.
func restoreImage(m StateMachine, image LoggedState) (int64, error) {
	if image.Snapshot.State != nil {
		if err := m.Restore(image.Snapshot.State); err != nil {
			return 0, err
		}
	}
	for _, r := range image.Records {
		if err := m.Apply(r); isLaterFormat(err) {
			return 0, err
		}
	}
	return image.Snapshot.Index + int64(len(image.Records)), nil
}

// latestView returns the latest registered view and its register. It starts at
// the witness of the view of the log; if a register holds a view with another
// witness, it goes on to the register of that witness.
func (p *ReplicaManager) latestView(ctx context.Context, v View) (View, caplatform.Register, error) {
	for range maxRegisterHops {
		register, err := p.opts.Witnesses.ReadRegister(ctx, v.Witness, RegisterName(v.Shard))
		if err != nil {
			return View{}, register, err
		}
		registered, err := DecodeView(register.Value)
		switch {
		case err != nil:
			return View{}, register, err
		case registered.Number == 0 && v.IsSolo():
			return v, register, nil
		case registered.Number < v.Number:
			return View{}, register, cakind.New(cakind.KindConflict,
				"register at %s holds view %d of shard %s, but the log holds view %d", v.Witness, registered.Number, v.Shard, v.Number)
		case registered.Witness == v.Witness:
			return registered, register, nil
		}
		v = registered
	}
	return View{}, caplatform.Register{}, cakind.New(cakind.KindConflict, "shard %s: latest view was not found", v.Shard)
}

// claimView writes the next view to the register of its witness.
func (p *ReplicaManager) claimView(ctx context.Context, next View, current caplatform.Register) error {
	return p.claimRegister(ctx, next.Witness, next, current)
}

// claimRegister writes the next view to a register. If the swap returns an error,
// it reads the register to learn whether the swap has taken effect.
func (p *ReplicaManager) claimRegister(ctx context.Context, u cawork.UpstreamID, next View, current caplatform.Register) error {
	swap, err := newSwap(next, current.Version)
	if err != nil {
		return err
	}
	result, err := p.opts.Witnesses.SwapRegister(ctx, u, *swap)
	if err != nil {
		result, err = p.opts.Witnesses.ReadRegister(ctx, u, swap.Name)
	}
	if err != nil {
		return err
	}
	if v, err := DecodeView(result.Value); err != nil || v != next {
		return cakind.New(cakind.KindConflict, "shard %s was claimed by another member", next.Shard)
	}
	return nil
}

// startPrimary makes this member the primary of a view that it has claimed.
func (p *ReplicaManager) startPrimary(v View, m StateMachine, last int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.ensureReplica(v.Shard)
	if r.primary != nil || r.backup != nil {
		return cakind.New(cakind.KindConflict, "shard %s already has a replica on this member", v.Shard)
	}
	now := p.opts.Timer.Now()
	p.step(r, func(out *effects) { r.becomePrimary(now, v, m, last, out) })
	return nil
}
