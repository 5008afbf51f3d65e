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

// exchangeTimeout bounds one call to a partner.
const exchangeTimeout = time.Second

// Peers carries calls to the entries that lead other shards. The handlers of
// the other side are Part.HandleAsk and Part.HandleTransfer.
type Peers interface {
	Ask(ctx context.Context, to cawork.VMID, ask caescrow.Ask) (AskReply, error)
	Transfer(ctx context.Context, to cawork.VMID, t caescrow.Transfer) error
	Settled(ctx context.Context, to cawork.VMID, call SettledCall) (SettledReply, error)
	HeldShards(ctx context.Context, to cawork.VMID) (HeldReply, error)
	Close(ctx context.Context, to cawork.VMID, call CloseCall) (caescrow.Closing, error)
	Settle(ctx context.Context, to cawork.VMID, call SettleCall) (cajob.PartnerSettled, error)
}

// Leaders tells which entry leads a shard.
type Leaders interface {
	Leader(s cawork.ShardID) (cawork.VMID, bool)
	// Partners returns the shards that others lead.
	Partners() []caescrow.Partner
	// RunningEntries returns the other entries that are not known to have ended.
	RunningEntries() []cawork.VMID
	// IsFirstOfZone reports whether no live entry of the zone has a lower id.
	IsFirstOfZone() bool
}

// Ender ends what a shard that nobody leads has started.
type Ender interface {
	// EndShard reports whether nothing of the shard runs in the zone any more, or
	// ever will.
	EndShard(ctx context.Context, s cawork.ShardID) bool
}

// AskReply tells what a partner gives. The transfer itself follows by a call
// of its own. Idle is what it could still give.
type AskReply struct {
	Given cawork.Resources
	Idle  []caescrow.TeamAmount
}

// led returns the shards that this entry leads.
func (p *Part) led() []cawork.ShardID {
	var ids []cawork.ShardID
	for _, s := range p.Shards.Statuses() {
		if s.Primary {
			ids = append(ids, s.Shard)
		}
	}
	return ids
}

func (p *Part) planner(s cawork.ShardID) *caescrow.Planner {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.planners[s]; !ok {
		p.planners[s] = caescrow.NewPlanner(s, p.Zone, caescrow.DefaultPolicy())
	}
	return p.planners[s]
}

// exchange asks partners for what the led shards lack, and sends again what no
// partner has acknowledged. It reports whether more of it may be due soon: while
// tasks wait, a transfer is open, or a shard that was taken over is led.
func (p *Part) exchange(ctx context.Context) (pending bool) {
	var calls sync.WaitGroup
	for _, shard := range p.led() {
		asks, needs := p.asks(shard)
		for _, ask := range asks {
			calls.Go(func() { p.ask(ctx, ask) })
		}
		transfers := p.unacknowledged(shard)
		for _, t := range transfers {
			calls.Go(func() { p.send(ctx, t) })
		}
		pending = pending || len(needs) > 0 || len(asks) > 0 || len(transfers) > 0 || shard != p.own()
	}
	calls.Wait()
	p.retire()
	return pending
}

// asks returns the asks of a led shard that are due, and what its tasks need.
func (p *Part) asks(shard cawork.ShardID) (asks []caescrow.Ask, needs []caescrow.Need) {
	partners := p.partners(shard)
	planner := p.planner(shard)
	p.readState(shard, func(s *cajob.State) {
		needs = s.Demand()
		p.mu.Lock()
		defer p.mu.Unlock()
		asks = planner.Asks(p.Timer.Now(), s.Account(), needs, partners)
	})
	return asks, needs
}

// partners returns all other shards with what they last reported as idle.
func (p *Part) partners(shard cawork.ShardID) []caescrow.Partner {
	partners := p.Leaders.Partners()
	for _, own := range p.led() {
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

func (p *Part) unacknowledged(shard cawork.ShardID) []caescrow.Transfer {
	var transfers []caescrow.Transfer
	p.readState(shard, func(s *cajob.State) { transfers = s.Account().Unacknowledged() })
	return transfers
}

func (p *Part) readState(shard cawork.ShardID, f func(s *cajob.State)) bool {
	return p.Shards.Read(shard, func(m cashard.StateMachine) { f(m.(*cajob.State)) })
}

// ask asks the leader of a shard for allowance.
func (p *Part) ask(ctx context.Context, ask caescrow.Ask) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := askLeader(ctx, p, ask.To, ask, p.HandleAsk, p.Peers.Ask)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.idle[ask.To] = reply.Idle
	}
	if planner, ok := p.planners[ask.From]; ok {
		planner.Answered(p.Timer.Now(), ask, reply.Given)
	}
}

// HandleAsk gives what a led shard can spare. The giver is debited before the
// transfer leaves.
func (p *Part) HandleAsk(ctx context.Context, ask caescrow.Ask) (AskReply, error) {
	planner := p.planner(ask.To)
	var reply AskReply
	found := p.readState(ask.To, func(s *cajob.State) {
		needs := s.Demand()
		p.mu.Lock()
		defer p.mu.Unlock()
		planner.Claimed(p.Timer.Now(), ask)
		reply.Given = planner.Grant(s.Account(), ask, needOf(needs, ask.Team))
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
	p.LedChanged()
	return reply, nil
}

// Startable implements calaunch.Allowances.
func (p *Part) Startable(shard cawork.ShardID, a *caescrow.Account, team cawork.TeamName) cawork.Resources {
	planner := p.planner(shard)
	p.mu.Lock()
	defer p.mu.Unlock()
	return planner.Startable(p.Timer.Now(), a, team)
}

func needOf(needs []caescrow.Need, team cawork.TeamName) caescrow.Need {
	for _, n := range needs {
		if n.Team == team {
			return n
		}
	}
	return caescrow.Need{Team: team}
}

// send brings a transfer to its receiver and notes its acknowledgment.
func (p *Part) send(ctx context.Context, t caescrow.Transfer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := p.transferTo(ctx, t); err != nil {
		return
	}
	acked := cajob.AllowanceAcked{To: t.To, Team: t.Team, Number: t.Number}
	// An acknowledgment that is not recorded is asked for again.
	_ = p.append(ctx, t.From, cajob.Record{Type: cajob.RecordAllowanceAcked, AllowanceAcked: &acked})
}

func (p *Part) transferTo(ctx context.Context, t caescrow.Transfer) error {
	if p.leads(t.To) {
		return p.HandleTransfer(ctx, t)
	}
	leader, ok := p.Leaders.Leader(t.To)
	if !ok {
		return cakind.New(cakind.KindUnavailable, "no entry leads shard %s", t.To)
	}
	return p.Peers.Transfer(ctx, leader, t)
}

// HandleTransfer credits a transfer to a led shard. It is idempotent.
func (p *Part) HandleTransfer(ctx context.Context, t caescrow.Transfer) error {
	if !p.leads(t.To) {
		return cakind.New(cakind.KindNotFound, "shard %s is not led here", t.To)
	}
	return p.append(ctx, t.To, cajob.Record{Type: cajob.RecordAllowanceReceived, AllowanceReceived: &t})
}

// retire gives up shards that were taken over and are empty: what they hold
// goes to the own shard first.
func (p *Part) retire() {
	for _, shard := range p.led() {
		if shard == p.own() {
			continue
		}
		empty := false
		p.readState(shard, func(s *cajob.State) { empty = s.IsForgettable(p.Timer.Now()) })
		if empty {
			p.Shards.Retire(shard)
		}
	}
}

// collect moves what shards that were taken over can spare to the own shard.
func (p *Part) collect(ctx context.Context) {
	for _, shard := range p.led() {
		if shard == p.own() || !p.leads(p.own()) {
			continue
		}
		for _, spare := range p.spare(shard) {
			sent := cajob.AllowanceSent{To: p.own(), Team: spare.Team, Amount: spare.Amount}
			if p.append(ctx, shard, cajob.Record{Type: cajob.RecordAllowanceSent, AllowanceSent: &sent}) != nil {
				return
			}
		}
	}
}

// spare returns what a shard that was taken over neither uses nor needs.
func (p *Part) spare(shard cawork.ShardID) []caescrow.TeamAmount {
	var amounts []caescrow.TeamAmount
	p.readState(shard, func(s *cajob.State) {
		needs := s.Demand()
		for team := range s.Account().Teams {
			left := s.Account().Available(team).Minus(needOf(needs, team).Amount)
			if amount := left.Floor(); !amount.IsZero() {
				amounts = append(amounts, caescrow.TeamAmount{Team: team, Amount: amount})
			}
		}
	})
	return amounts
}
