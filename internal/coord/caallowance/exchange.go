package caallowance

import (
	"context"
	"sync"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// Peers carries calls to other holders. At the other side they are handled by
// HandleAsk and HandleTransfer. Calls and answers may be lost, late or
// repeated.
type Peers interface {
	Ask(ctx context.Context, to cawork.ShardID, ask caescrow.Ask) (Reply, error)
	// Transfer returns nil only when HandleTransfer did.
	Transfer(ctx context.Context, to cawork.ShardID, t caescrow.Transfer) error
}

// Reply tells what a holder gives, which follows by a transfer, and what it
// could still give.
type Reply struct {
	Given cawork.Resources
	Idle  []caescrow.TeamAmount
}

// Run asks other holders for what is needed and delivers what was given,
// until the context ends.
func (p *Part) Run(ctx context.Context) error {
	defer close(p.done)
	ticks := p.deps.Timers.Every(p.cfg.Period)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			p.exchange(ctx)
		case <-p.wake:
			p.deliverAll(ctx)
		}
	}
}

func (p *Part) exchange(ctx context.Context) {
	var calls sync.WaitGroup
	for _, ask := range p.asks() {
		calls.Go(func() { p.ask(ctx, ask) })
	}
	p.deliverAll(ctx)
	calls.Wait()
}

func (p *Part) asks() []caescrow.Ask {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Asks(p.deps.Timers.Now(), p.book.account, p.needs, p.partners)
}

func (p *Part) ask(ctx context.Context, ask caescrow.Ask) {
	limited, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	reply, err := p.deps.Peers.Ask(limited, ask.To, ask)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.Answered(p.deps.Timers.Now(), ask, reply.Given)
	for i, partner := range p.partners {
		if err == nil && partner.Shard == ask.To {
			p.partners[i].Idle = reply.Idle
		}
	}
}

// HandleAsk gives what this holder can spare. The account is debited at once;
// Run delivers the transfer when the journal has it.
func (p *Part) HandleAsk(_ context.Context, ask caescrow.Ask) (Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ask.To != p.self {
		return Reply{}, cakind.New(cakind.KindInvalid, "holder %s got an ask to %s", p.self, ask.To)
	}
	p.planner.Claimed(p.deps.Timers.Now(), ask)
	given := p.planner.Grant(p.book.account, ask, p.need(ask.Team))
	reply := Reply{Given: given, Idle: p.planner.Idle(p.book.account, p.needs)}
	if given.IsZero() {
		return reply, nil
	}
	if _, err := p.book.account.Send(ask.From, ask.Team, given); err != nil {
		return Reply{}, err
	}
	caevent.Info(p.deps.Log, caevent.AllowanceMoved).Str("team", string(ask.Team)).Str("from", string(p.self)).
		Str("to", string(ask.From)).Str("amount", given.String()).Send()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return reply, nil
}

func (p *Part) need(team cawork.TeamName) caescrow.Need {
	for _, n := range p.needs {
		if n.Team == team {
			return n
		}
	}
	return caescrow.Need{Team: team}
}

// deliverAll sends every transfer that was not acknowledged.
func (p *Part) deliverAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, t := range p.unacknowledged() {
		calls.Go(func() { p.deliver(ctx, t) })
	}
	calls.Wait()
}

func (p *Part) unacknowledged() []caescrow.Transfer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.account.Unacknowledged()
}

// deliver records a transfer before it sends it: a holder that lost the debit
// in a restart would use the same allowance twice.
func (p *Part) deliver(ctx context.Context, t caescrow.Transfer) {
	if !p.recordSent(ctx, t) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	if p.deps.Peers.Transfer(limited, t.To, t) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.account.Acknowledge(t.To, t.Team, t.Number)
}

func (p *Part) recordSent(ctx context.Context, t caescrow.Transfer) bool {
	r := route{t.To, t.Team}
	p.mu.Lock()
	known := p.recorded[r] >= t.Number
	p.mu.Unlock()
	if known {
		return true
	}
	if p.record(ctx, Record{Sent: &t}) != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recorded[r] = max(p.recorded[r], t.Number)
	return true
}

// HandleTransfer credits a transfer once the journal has it. It is idempotent.
func (p *Part) HandleTransfer(ctx context.Context, t caescrow.Transfer) error {
	if t.To != p.self || t.From == p.self {
		return cakind.New(cakind.KindInvalid, "holder %s got a transfer from %s to %s", p.self, t.From, t.To)
	}
	if p.isCredited(t) {
		return nil
	}
	if err := p.record(ctx, Record{Received: &t}); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew, err := p.book.account.Receive(t)
	if isNew {
		p.noteChange()
	}
	return err
}

func (p *Part) isCredited(t caescrow.Transfer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.book.account.Teams[t.Team]
	return ok && t.Number <= b.Received[t.From].Number
}
