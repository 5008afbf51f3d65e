package caallowance

import (
	"context"
	"sync"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// Peers makes calls to other holders, which handle them with HandleAsk and
// HandleTransfer. Calls and answers may be lost, delayed or duplicated.
type Peers interface {
	Ask(ctx context.Context, to cawork.ShardID, req caescrow.Ask) (Reply, error)
	// Transfer returns nil only if HandleTransfer returned nil.
	Transfer(ctx context.Context, to cawork.ShardID, t caescrow.Transfer) error
}

// Reply is the answer to a request for allowance: the granted amount, which a
// transfer then delivers, and the amounts that the holder could still grant.
type Reply struct {
	Given cawork.Resources
	Idle  []caescrow.TeamAmount
}

// Run requests missing allowance from other holders and delivers granted
// allowance to them until the context ends.
func (p *Holder) Run(ctx context.Context) error {
	defer close(p.done)
	ticks := p.deps.Timers.Every(p.cfg.Period)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			p.runRound(ctx)
		case <-p.wake:
			p.deliverTransfers(ctx)
		}
	}
}

// runRound sends the requests that are due and all unacknowledged transfers.
func (p *Holder) runRound(ctx context.Context) {
	var calls sync.WaitGroup
	for _, req := range p.dueRequests() {
		calls.Go(func() { p.sendRequest(ctx, req) })
	}
	p.deliverTransfers(ctx)
	calls.Wait()
}

func (p *Holder) dueRequests() []caescrow.Ask {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Asks(p.deps.Timers.Now(), p.ledger.account, p.needs, p.partners)
}

func (p *Holder) sendRequest(ctx context.Context, req caescrow.Ask) {
	callCtx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	reply, err := p.deps.Peers.Ask(callCtx, req.To, req)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.RecordReply(p.deps.Timers.Now(), req, reply.Given)
	for i, partner := range p.partners {
		if err == nil && partner.Shard == req.To {
			p.partners[i].Idle = reply.Idle
		}
	}
}

// HandleAsk grants what this holder can spare. It debits the account at once;
// Run delivers the transfer after recording it in the journal.
func (p *Holder) HandleAsk(_ context.Context, req caescrow.Ask) (Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if req.To != p.self {
		return Reply{}, cakind.New(cakind.KindInvalid, "holder %s got a request for allowance addressed to %s", p.self, req.To)
	}
	p.planner.RecordRepaymentRequest(p.deps.Timers.Now(), req)
	given := p.planner.Grant(p.ledger.account, req, p.teamNeed(req.Team))
	reply := Reply{Given: given, Idle: p.planner.Idle(p.ledger.account, p.needs)}
	if given.IsZero() {
		return reply, nil
	}
	if _, err := p.ledger.account.Send(req.From, req.Team, given); err != nil {
		return Reply{}, err
	}
	caevent.Info(p.deps.Log, caevent.AllowanceMoved).Str("team", string(req.Team)).Str("from", string(p.self)).
		Str("to", string(req.From)).Str("amount", given.String()).Send()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return reply, nil
}

func (p *Holder) teamNeed(team cawork.TeamName) caescrow.Need {
	for _, n := range p.needs {
		if n.Team == team {
			return n
		}
	}
	return caescrow.Need{Team: team}
}

// deliverTransfers sends every unacknowledged transfer.
func (p *Holder) deliverTransfers(ctx context.Context) {
	var calls sync.WaitGroup
	for _, t := range p.unacknowledged() {
		calls.Go(func() { p.deliver(ctx, t) })
	}
	calls.Wait()
}

func (p *Holder) unacknowledged() []caescrow.Transfer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.account.Unacknowledged()
}

// deliver records a transfer in the journal before sending it. Otherwise a
// restarted holder could miss the debit and use the same allowance twice.
func (p *Holder) deliver(ctx context.Context, t caescrow.Transfer) {
	if !p.recordSent(ctx, t) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	if p.deps.Peers.Transfer(callCtx, t.To, t) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.account.Acknowledge(t.To, t.Team, t.Number)
}

// recordSent records the transfer in the journal unless that was done already.
func (p *Holder) recordSent(ctx context.Context, t caescrow.Transfer) bool {
	key := transferKey{t.To, t.Team}
	p.mu.Lock()
	isRecorded := p.lastRecorded[key] >= t.Number
	p.mu.Unlock()
	if isRecorded {
		return true
	}
	if p.record(ctx, Record{Sent: &t}) != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRecorded[key] = max(p.lastRecorded[key], t.Number)
	return true
}

// HandleTransfer records a transfer in the journal and credits it to the
// account. It is idempotent.
func (p *Holder) HandleTransfer(ctx context.Context, t caescrow.Transfer) error {
	if t.To != p.self || t.From == p.self {
		return cakind.New(cakind.KindInvalid, "holder %s got a transfer from %s addressed to %s", p.self, t.From, t.To)
	}
	if p.isCredited(t) {
		return nil
	}
	if err := p.record(ctx, Record{Received: &t}); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew, err := p.ledger.account.Receive(t)
	if isNew {
		p.signalChange()
	}
	return err
}

func (p *Holder) isCredited(t caescrow.Transfer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.ledger.account.Teams[t.Team]
	return ok && t.Number <= b.Received[t.From].Number
}
