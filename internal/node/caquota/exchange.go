package caquota

import (
	"context"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
)

// exchangeTimeout bounds one call to the leader of another shard.
const exchangeTimeout = time.Second

// PeerClient sends calls to other entries, where the Handle methods of Manager answer
// them.
type PeerClient interface {
	Ask(ctx context.Context, to cawork.VMID, ask caescrow.Ask) (AskReply, error)
	SendTransfer(ctx context.Context, to cawork.VMID, t caescrow.Transfer) error
	MintEffective(ctx context.Context, to cawork.VMID, call MintEffectiveCall) (MintEffectiveReply, error)
	HeldShards(ctx context.Context, to cawork.VMID) (HeldShardsReply, error)
	ClosePartner(ctx context.Context, to cawork.VMID, call ClosePartnerCall) (caescrow.ClosingBalance, error)
	Settle(ctx context.Context, to cawork.VMID, call SettleCall) (cajob.PartnerSettled, error)
}

// Leaders returns which entries lead which shards.
type Leaders interface {
	Leader(s cawork.ShardID) (cawork.VMID, bool)
	// Partners returns the shards that other entries lead.
	Partners() []caescrow.Partner
	// RunningEntries returns the other entries that are not known to have ended.
	RunningEntries() []cawork.VMID
	// HasLowestIDInZone reports whether no live entry of the zone has a lower id.
	HasLowestIDInZone() bool
}

// AttemptStopper stops the attempts that a shard without a leader has started.
type AttemptStopper interface {
	// StopLostShard stops the attempts of the shard in the zone. It reports whether none
	// is running and none can start any more.
	StopLostShard(ctx context.Context, s cawork.ShardID) bool
}

// AskReply answers a request for allowance. Given is the granted amount, whose
// transfer follows in a separate call. Idle is what the shard could still give.
type AskReply struct {
	Given cawork.Resources
	Idle  []caescrow.TeamAmount
}

// ledShards returns the shards that this entry leads.
func (p *Manager) ledShards() []cawork.ShardID {
	var ids []cawork.ShardID
	for _, s := range p.Shards.Statuses() {
		if s.Primary {
			ids = append(ids, s.Shard)
		}
	}
	return ids
}

func (p *Manager) planner(s cawork.ShardID) *caescrow.Planner {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.planners[s]; !ok {
		p.planners[s] = caescrow.NewPlanner(s, p.Zone, caescrow.DefaultPolicy())
	}
	return p.planners[s]
}

// exchange requests the allowance that the led shards lack from other shards, and
// resends unacknowledged transfers. It reports whether another round may be needed
// soon: while tasks wait, a transfer is unacknowledged, or this entry leads a shard
// that it has taken over.
func (p *Manager) exchange(ctx context.Context) (pending bool) {
	var calls sync.WaitGroup
	for _, shard := range p.ledShards() {
		requests, needs := p.dueRequests(shard)
		for _, ask := range requests {
			calls.Go(func() { p.sendRequest(ctx, ask) })
		}
		transfers := p.unacknowledged(shard)
		for _, t := range transfers {
			calls.Go(func() { p.sendTransfer(ctx, t) })
		}
		pending = pending || len(needs) > 0 || len(requests) > 0 || len(transfers) > 0 || shard != p.ownShard()
	}
	calls.Wait()
	p.retireEmptyShards()
	return pending
}

// dueRequests returns the requests of a led shard that are due, and the needs of
// its tasks.
func (p *Manager) dueRequests(shard cawork.ShardID) (requests []caescrow.Ask, needs []caescrow.Need) {
	partners := p.partners(shard)
	planner := p.planner(shard)
	p.readState(shard, func(s *cajob.State) {
		needs = s.Demand()
		p.mu.Lock()
		defer p.mu.Unlock()
		requests = planner.Asks(p.Timer.Now(), s.Account(), needs, partners)
	})
	return requests, needs
}

// partners returns all other shards with the idle allowance that they reported
// last.
func (p *Manager) partners(shard cawork.ShardID) []caescrow.Partner {
	partners := p.Leaders.Partners()
	for _, own := range p.ledShards() {
		partners = append(partners, caescrow.Partner{Shard: own, Zone: p.Zone})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []caescrow.Partner
	for _, partner := range partners {
		if partner.Shard != shard {
			partner.Idle = p.idle[partner.Shard]
			others = append(others, partner)
		}
	}
	return others
}

func (p *Manager) unacknowledged(shard cawork.ShardID) []caescrow.Transfer {
	var transfers []caescrow.Transfer
	p.readState(shard, func(s *cajob.State) { transfers = s.Account().Unacknowledged() })
	return transfers
}

func (p *Manager) readState(shard cawork.ShardID, f func(s *cajob.State)) bool {
	return p.Shards.Read(shard, func(m cashard.StateMachine) { f(m.(*cajob.State)) })
}

// sendRequest requests allowance from the leader of another shard.
func (p *Manager) sendRequest(ctx context.Context, ask caescrow.Ask) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := callLeader(ctx, p, ask.To, ask, p.HandleAsk, p.Peers.Ask)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.idle[ask.To] = reply.Idle
	}
	if planner, ok := p.planners[ask.From]; ok {
		planner.RecordReply(p.Timer.Now(), ask, reply.Given)
	}
}

// HandleAsk grants the allowance that a led shard can spare. The shard is
// debited before the transfer is sent.
func (p *Manager) HandleAsk(ctx context.Context, ask caescrow.Ask) (AskReply, error) {
	planner := p.planner(ask.To)
	var reply AskReply
	found := p.readState(ask.To, func(s *cajob.State) {
		needs := s.Demand()
		p.mu.Lock()
		defer p.mu.Unlock()
		planner.RecordRepaymentRequest(p.Timer.Now(), ask)
		reply.Given = planner.Grant(s.Account(), ask, needOfTeam(needs, ask.Team))
		reply.Idle = planner.Idle(s.Account(), needs)
	})
	if !found {
		return AskReply{}, cakind.New(cakind.KindNotFound, "shard %s is not led here", ask.To)
	}
	if reply.Given.IsZero() {
		return reply, nil
	}
	sent := cajob.AllowanceSent{To: ask.From, Team: ask.Team, Amount: reply.Given}
	if err := p.append(ctx, ask.To, cajob.Record{Type: cajob.RecordAllowanceSent, AllowanceSent: &sent}); err != nil {
		return AskReply{}, err
	}
	caevent.Info(p.Logger, caevent.AllowanceMoved).Str("team", string(ask.Team)).Str("from", string(ask.To)).
		Str("to", string(ask.From)).Str("amount", reply.Given.String()).Send()
	p.TriggerExchange()
	return reply, nil
}

// StartableAllowance implements calaunch.Allowances.
func (p *Manager) StartableAllowance(shard cawork.ShardID, a *caescrow.Account, team cawork.TeamName) cawork.Resources {
	planner := p.planner(shard)
	p.mu.Lock()
	defer p.mu.Unlock()
	return planner.Startable(p.Timer.Now(), a, team)
}

func needOfTeam(needs []caescrow.Need, team cawork.TeamName) caescrow.Need {
	for _, n := range needs {
		if n.Team == team {
			return n
		}
	}
	return caescrow.Need{Team: team}
}

// sendTransfer sends a transfer to its receiver and records the acknowledgment.
func (p *Manager) sendTransfer(ctx context.Context, t caescrow.Transfer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := p.transferTo(ctx, t); err != nil {
		return
	}
	acked := cajob.AllowanceAcked{To: t.To, Team: t.Team, Number: t.Number}
	// If this fails, the transfer stays unacknowledged and is sent again.
	_ = p.append(ctx, t.From, cajob.Record{Type: cajob.RecordAllowanceAcked, AllowanceAcked: &acked})
}

func (p *Manager) transferTo(ctx context.Context, t caescrow.Transfer) error {
	if p.leads(t.To) {
		return p.HandleTransfer(ctx, t)
	}
	leader, ok := p.Leaders.Leader(t.To)
	if !ok {
		return cakind.New(cakind.KindUnavailable, "no entry leads shard %s", t.To)
	}
	return p.Peers.SendTransfer(ctx, leader, t)
}

// HandleTransfer credits a transfer to a led shard. It is idempotent.
func (p *Manager) HandleTransfer(ctx context.Context, t caescrow.Transfer) error {
	if !p.leads(t.To) {
		return cakind.New(cakind.KindNotFound, "shard %s is not led here", t.To)
	}
	return p.append(ctx, t.To, cajob.Record{Type: cajob.RecordAllowanceReceived, AllowanceReceived: &t})
}

// retireEmptyShards retires the shards that were taken over and are empty.
// collectSpare has moved their allowance to the own shard by then.
func (p *Manager) retireEmptyShards() {
	for _, shard := range p.ledShards() {
		if shard == p.ownShard() {
			continue
		}
		empty := false
		p.readState(shard, func(s *cajob.State) { empty = s.CanRetire(p.Timer.Now()) })
		if empty {
			p.Shards.Retire(shard)
		}
	}
}

// collectSpare moves the spare allowance of the shards that were taken over to the
// own shard.
func (p *Manager) collectSpare(ctx context.Context) {
	for _, shard := range p.ledShards() {
		if shard == p.ownShard() || !p.leads(p.ownShard()) {
			continue
		}
		for _, spare := range p.spareAllowance(shard) {
			sent := cajob.AllowanceSent{To: p.ownShard(), Team: spare.Team, Amount: spare.Amount}
			if p.append(ctx, shard, cajob.Record{Type: cajob.RecordAllowanceSent, AllowanceSent: &sent}) != nil {
				return
			}
		}
	}
}

// spareAllowance returns the allowance that a shard neither uses nor needs.
func (p *Manager) spareAllowance(shard cawork.ShardID) []caescrow.TeamAmount {
	var amounts []caescrow.TeamAmount
	p.readState(shard, func(s *cajob.State) {
		needs := s.Demand()
		for team := range s.Account().Teams {
			unneeded := s.Account().Available(team).Minus(needOfTeam(needs, team).Amount)
			if amount := unneeded.Floor(); !amount.IsZero() {
				amounts = append(amounts, caescrow.TeamAmount{Team: team, Amount: amount})
			}
		}
	})
	return amounts
}
