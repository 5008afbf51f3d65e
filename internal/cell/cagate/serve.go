package cagate

import (
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/caroster"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

// Register adds the handlers for calls from other entries to the server.
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
	g.roster.RecordCall(now, caroster.Hello{From: r.From, HasAdvisor: r.HasAdvisor, ReachesStore: r.ReachesStore, Stopping: r.Stopping, Leading: r.Leading})
	g.observeProcess(r.From, r.Process)
	if !g.feedLostAt.IsZero() {
		// Whether other entries reach the store decides how long the view of this one is valid.
		g.updateLeaderDrains()
	}
	reply := helloReply{PolicyVersion: g.policy.Version}
	if err == nil {
		reply.Leader = l.status.leaderID
		if l.localLeader != nil {
			reply.Leading = !g.draining && !g.shouldStepDown(l.localLeader)
			reply.SteppingDown = !reply.Leading
			reply.DecidesKeys = true
			reply.LastAppendAge = l.localLeader.LastAppendAge()
			reply.LastAppendTook = l.localLeader.LastAppendTook()
			reply.Unstarted, reply.HasUnstarted = l.localLeader.UnstartedJobs()
			reply.NextHelloIn = helloPeriodFor(r.From, g.roster.Len()+1)
		}
	}
	if g.policy.Version > r.PolicyVersion {
		policy := g.policy
		reply.Policy = &policy
	}
	if g.drains.isKnown() && g.drains.Position >= r.DrainPosition {
		drains := g.drains.ZoneDrains
		reply.Drains, reply.DrainAge = &drains, now.Sub(g.drains.readAt)
	}
	if !g.layout.IsZero() && (!r.HasLayout || r.FollowsLayout && g.layout.Edition > r.LayoutEdition) {
		layout := g.layout
		reply.Layout = &layout
	}
	for _, other := range g.roster.Present(now) {
		if other.VM != r.From.VM && (!reply.Leading || other.IsStrong()) {
			reply.Peers = append(reply.Peers, other)
		}
	}
	return reply, nil
}

// observeProcess passes the process of a peer to the leaders on this entry. The caller must
// hold g.mu.
func (g *Gate) observeProcess(p caroster.Peer, process int64) {
	for _, l := range g.links {
		if l.localLeader != nil {
			l.localLeader.ObserveProcess(p.VM, p.Address, process)
		}
	}
}

// shouldStepDown reports whether a leader on this entry should let another entry take over
// because the store fails its appends but serves other entries. It stops reporting itself
// as the leader and goes on leading until another entry claims the shard, which is safe
// because claims are conditional appends. The caller must hold g.mu.
func (g *Gate) shouldStepDown(leader *caleader.Leader) bool {
	return leader.AreAppendsFailing() && g.roster.AnyReachesStore(g.Timer.Now())
}

// requireLeader returns the leader of the shard if it runs on this entry, and KindFenced
// otherwise.
func (g *Gate) requireLeader(shard int) (*caleader.Leader, error) {
	l, err := g.link(shard)
	if err != nil {
		return nil, err
	}
	leader, _, _ := l.target()
	if leader == nil {
		return nil, cakind.New(cakind.KindFenced, "entry %s is not the leader of shard %d", g.Self.VM, shard)
	}
	return leader, nil
}

func (g *Gate) handleSubmit(ctx context.Context, r submitRequest) (empty, error) {
	l, err := g.requireLeader(r.Shard)
	if err != nil {
		return empty{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	if err := g.checkShard(r); err != nil {
		return empty{}, err
	}
	s := r.Submission
	s.Key, s.FormerTeams = r.Key, r.FormerTeams
	return empty{}, l.Submit(ctx, s)
}

// checkShard refuses a submission that an entry of an earlier build has sent to a shard where the team has no jobs: that entry
// goes by the name of the team, and another shard may have the job already.
func (g *Gate) checkShard(r submitRequest) error {
	policy, layout := g.policyAndLayout()
	team, listed := policy.Team(r.Submission.Team)
	if r.Key != 0 || !listed || slices.Contains(layout.ShardsOfTeam(team), r.Shard) {
		return nil
	}
	return cakind.New(cakind.KindNotStarted, "team %s has no jobs in shard %d", team.Name, r.Shard).WithRetryAfter(noLeaderRetryAfter)
}

func (g *Gate) handlePhase(_ context.Context, r jobRequest) (phaseReply, error) {
	l, err := g.requireLeader(r.Shard)
	if err != nil {
		return phaseReply{}, err
	}
	phase, err := l.PhaseOf(r.Job, r.Teams)
	return phaseReply{Phase: phase}, err
}

func (g *Gate) handleCancel(ctx context.Context, r jobRequest) (empty, error) {
	l, err := g.requireLeader(r.Shard)
	if err != nil {
		return empty{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	return empty{}, l.Cancel(ctx, r.Job)
}

func (g *Gate) handlePending(_ context.Context, r pendingRequest) (pendingReply, error) {
	l, err := g.requireLeader(r.Shard)
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
