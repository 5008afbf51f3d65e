package cagate

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

// Register makes the server answer the calls of other entries.
func (g *Gate) Register(s *capeer.Server) {
	capeer.Handle(s, callHello, g.handleHello)
	capeer.Handle(s, callSubmit, g.handleSubmit)
	capeer.Handle(s, callPhase, g.handlePhase)
	capeer.Handle(s, callCancel, g.handleCancel)
	capeer.Handle(s, callPending, g.handlePending)
	capeer.Handle(s, callAdvise, g.handleAdvise)
	g.agent.Register(s)
}

func (g *Gate) handleHello(_ context.Context, r helloRequest) (helloReply, error) {
	l, err := g.link(r.Shard)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Timer.Now()
	p := g.meet(r.From)
	if now.Sub(p.seenAt) > peerAge {
		p.presentSince = now
	}
	p.seenAt = now
	p.advises = r.Advises
	p.reachesStore = r.ReachesStore
	reply := helloReply{PolicyVersion: g.policy.Version}
	if err == nil {
		reply.Leader = l.belief.lead
		if l.leader != nil && !g.draining && !g.stepsBack(l.leader) {
			reply.Leading = true
			reply.StoreAge = l.leader.StoreAge()
			reply.CallAgain = helloPeriodOf(p, len(g.peers)+1)
		}
	}
	if g.policy.Version > r.PolicyVersion {
		policy := g.policy
		reply.Policy = &policy
	}
	if !r.HasLayout && !g.layout.IsZero() {
		layout := g.layout
		reply.Layout = &layout
	}
	for _, known := range g.peers {
		present := known.VM != r.From.VM && now.Sub(known.seenAt) < peerAge
		if present && (!reply.Leading || known.isStrong()) {
			reply.Peers = append(reply.Peers, known.Peer)
		}
	}
	return reply, nil
}

// stepsBack reports whether a leader here should let another entry lead: the store turns
// its appends away and serves others. Claims are conditional, so that it may lead on
// if none of them claims the shard. The lock is held.
func (g *Gate) stepsBack(leader *caleader.Leader) bool {
	if !leader.IsTurnedAway() {
		return false
	}
	for _, p := range g.peers {
		if p.reachesStore && g.Timer.Now().Sub(p.seenAt) < agentAge {
			return true
		}
	}
	return false
}

// led returns the leader of the shard if this entry leads it.
func (g *Gate) led(shard int) (*caleader.Leader, error) {
	l, err := g.link(shard)
	if err != nil {
		return nil, err
	}
	leader, _, _ := l.target()
	if leader == nil {
		return nil, cakind.New(cakind.KindFenced, "entry %s does not lead shard %d", g.Self.VM, shard)
	}
	return leader, nil
}

func (g *Gate) handleSubmit(ctx context.Context, r submitRequest) (empty, error) {
	l, err := g.led(r.Shard)
	if err != nil {
		return empty{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	return empty{}, l.Submit(ctx, r.Submission)
}

func (g *Gate) handlePhase(_ context.Context, r jobRequest) (phaseReply, error) {
	l, err := g.led(r.Shard)
	if err != nil {
		return phaseReply{}, err
	}
	phase, err := l.Phase(r.Job)
	return phaseReply{Phase: phase}, err
}

func (g *Gate) handleCancel(ctx context.Context, r jobRequest) (empty, error) {
	l, err := g.led(r.Shard)
	if err != nil {
		return empty{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	return empty{}, l.Cancel(ctx, r.Job)
}

func (g *Gate) handlePending(_ context.Context, r pendingRequest) (pendingReply, error) {
	l, err := g.led(r.Shard)
	if err != nil {
		return pendingReply{}, err
	}
	n, err := l.Pending(r.Queue)
	return pendingReply{Pending: n}, err
}

func (g *Gate) handleAdvise(ctx context.Context, r adviseRequest) (adviseReply, error) {
	if g.Advisor == nil {
		return adviseReply{}, cakind.New(cakind.KindUnavailable, "entry %s has no advisor", g.Self.VM)
	}
	approved, err := g.Advisor.Advise(ctx, r.Ask)
	return adviseReply{Approved: approved}, err
}
