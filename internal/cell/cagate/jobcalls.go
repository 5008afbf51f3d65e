package cagate

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

// errKeyUndecided is returned for a submission with a key that has no shards yet.
var errKeyUndecided = cakind.New(cakind.KindNotStarted, "the shards of the key are not decided yet").WithRetryAfter(noLeaderRetryAfter)

// errLayoutUnknown is returned before the first layout is known.
var errLayoutUnknown = cakind.New(cakind.KindNotStarted, "the shard layout is not known yet").WithRetryAfter(noLeaderRetryAfter)

// linkForSubmission returns the link of the shard that a submission belongs to. A key that a version has only just
// listed has no shard until the leader of the first shard has decided it.
func (g *Gate) linkForSubmission(ctx context.Context, s caspec.Submission) (*link, error) {
	overdue := g.Timer.After(leaderWaitTimeout)
	defer overdue.Close()
	for {
		g.mu.Lock()
		layout, changed, first := g.layout, g.layoutChanged, g.links[0]
		mayDecide := first.localLeader != nil || !first.status.leavesKeys
		g.mu.Unlock()
		if layout.IsZero() {
			return nil, errLayoutUnknown
		}
		shard, decided := layout.ShardOfCall(s.Caller(), s.ID)
		if decided || !mayDecide {
			return g.link(shard)
		}
		first.triggerCheck()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errKeyUndecided
		case <-overdue.C:
			return nil, errKeyUndecided
		}
	}
}

// awaitLinkForJob returns the link of the shard where a job of the caller should be. It waits until the layout is known.
func (g *Gate) awaitLinkForJob(ctx context.Context, caller caspec.Caller, id cawork.JobID) (*link, error) {
	overdue := g.Timer.After(isolatedWaitTimeout)
	defer overdue.Close()
	select {
	case <-g.layoutKnown:
	case <-ctx.Done():
	case <-overdue.C:
	}
	_, layout := g.policyAndLayout()
	if layout.IsZero() {
		return nil, errLayoutUnknown
	}
	shard, _ := layout.ShardOfCall(caller, id)
	return g.link(shard)
}

// Submit submits a job to the leader of its shard. After KindUnknown the job may have been
// accepted; after any other error it was not and never runs.
func (g *Gate) Submit(ctx context.Context, s caspec.Submission) error {
	shardLink, err := g.linkForSubmission(ctx, s)
	if err != nil {
		return err
	}
	s.FormerTeams = g.formerTeams(s.Caller())
	if known, err := g.isKnownElsewhere(ctx, shardLink, s); known || err != nil {
		return g.withRetryHint(ctx, s, err)
	}
	err = shardLink.forward(ctx, callSubmit, s.ID, func(ctx context.Context, l *caleader.Leader, address string) error {
		if l != nil {
			return l.Submit(ctx, s)
		}
		request := submitRequest{Submission: s, Wait: leaderWait(ctx), Shard: shardLink.shard, Key: s.Key, FormerTeams: s.FormerTeams}
		_, err := capeer.Call[submitRequest, empty](ctx, g.PeerClient, address, callSubmit, request)
		return err
	})
	return g.withRetryHint(ctx, s, err)
}

// withRetryHint adds a retry delay to an error that says that no leader can accept the
// job now. The delay lets a caller retry several times before its deadline.
func (g *Gate) withRetryHint(ctx context.Context, s caspec.Submission, err error) error {
	if kind := cakind.Of(err); err == nil || kind != cakind.KindUnavailable && kind != cakind.KindNotStarted {
		return err
	}
	q, ok := g.Policy().Queue(s.Queue)
	if !ok {
		return err
	}
	after := caobjective.OutageRetryAfter(q, s.Steps)
	if deadline, ok := ctx.Deadline(); ok {
		after = min(after, max(time.Until(deadline)/triesPerDeadline, caobjective.MinOutageRetry))
	}
	return cakind.Wrap(cakind.Of(err), err, "job %s was not accepted", s.ID).WithRetryAfter(after)
}

// formerTeams returns the teams beside its own that a caller acts for.
func (g *Gate) formerTeams(caller caspec.Caller) []cawork.TeamName {
	policy, layout := g.policyAndLayout()
	return layout.FormerTeams(policy, caller)
}

// Phase returns the phase of a job. KindNotFound means that no shard has such a job of the caller.
func (g *Gate) Phase(ctx context.Context, caller caspec.Caller, id cawork.JobID) (castate.Phase, error) {
	home, err := g.awaitLinkForJob(ctx, caller, id)
	if err != nil {
		return 0, err
	}
	phase, err := home.phase(ctx, id, nil)
	if cakind.Of(err) != cakind.KindNotFound {
		return phase, err
	}
	found, err := g.search(ctx, callPhase, home, caller, id)
	return found.phase, err
}

// Cancel cancels a job. KindNotFound means that no shard has such a job of the caller.
func (g *Gate) Cancel(ctx context.Context, caller caspec.Caller, id cawork.JobID) error {
	home, err := g.awaitLinkForJob(ctx, caller, id)
	if err != nil {
		return err
	}
	err = home.cancel(ctx, id)
	if cakind.Of(err) != cakind.KindNotFound {
		return err
	}
	found, err := g.search(ctx, callCancel, home, caller, id)
	if err != nil {
		return err
	}
	return found.link.cancel(ctx, id)
}

// phase returns the phase of a job of this shard. With teams, only a job of one of them is found.
func (l *link) phase(ctx context.Context, id cawork.JobID, teams []cawork.TeamName) (castate.Phase, error) {
	var phase castate.Phase
	err := l.forward(ctx, callPhase, id, func(ctx context.Context, leader *caleader.Leader, address string) (err error) {
		if leader != nil {
			phase, err = leader.PhaseOf(id, teams)
			return err
		}
		request := jobRequest{Job: id, Shard: l.shard, Teams: teams}
		reply, err := capeer.Call[jobRequest, phaseReply](ctx, l.gate.PeerClient, address, callPhase, request)
		phase = reply.Phase
		return err
	})
	return phase, err
}

// cancel cancels a job of this shard.
func (l *link) cancel(ctx context.Context, id cawork.JobID) error {
	return l.forward(ctx, callCancel, id, func(ctx context.Context, leader *caleader.Leader, address string) error {
		if leader != nil {
			return leader.Cancel(ctx, id)
		}
		request := jobRequest{Job: id, Wait: leaderWait(ctx), Shard: l.shard}
		_, err := capeer.Call[jobRequest, empty](ctx, l.gate.PeerClient, address, callCancel, request)
		return err
	})
}

// Pending counts the accepted jobs of a queue that have not started, over all shards.
func (g *Gate) Pending(ctx context.Context, q caspec.QueueName) (int, error) {
	g.mu.Lock()
	links := g.links
	g.mu.Unlock()
	total := 0
	for _, shardLink := range links {
		n, err := shardLink.pending(ctx, q)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// replyMargin is how long before the end of an attempt the leader must answer, so that its
// answer still arrives.
const replyMargin = 100 * time.Millisecond

// leaderWait returns how long the leader may take to answer an attempt, which ends with the
// context. Of a short attempt it may take half.
func leaderWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	remaining := time.Until(deadline)
	return remaining - min(replyMargin, remaining/2)
}
