package caallowance

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// Config holds the settings of a Holder.
type Config struct {
	// Policy bounds how allowance is requested and granted.
	Policy caescrow.Policy
	// Period is the interval between rounds of calls to other holders.
	Period time.Duration
	// CallTimeout bounds one call to another holder or to the journal.
	CallTimeout time.Duration
}

// DefaultConfig returns settings for a few dozen holders.
func DefaultConfig() Config {
	return Config{Policy: caescrow.DefaultPolicy(), Period: 200 * time.Millisecond, CallTimeout: time.Second}
}

// Deps are the dependencies of a Holder.
type Deps struct {
	Peers   Peers
	Journal Journal
	Timers  *catimer.Service
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Holder manages the allowances of one holder. Its methods may be called from any
// goroutine.
type Holder struct {
	cfg  Config
	self cawork.ShardID
	zone cawork.ZoneName
	deps Deps
	done chan struct{}
	wake chan struct{}

	mu       sync.Mutex
	ledger   ledger
	planner  *caescrow.Planner
	needs    []caescrow.Need
	partners []caescrow.Partner
	// lastRecorded holds the number of the last transfer in the journal.
	lastRecorded map[transferKey]int64
	changed      chan struct{}
}

// transferKey identifies the transfers of a team's allowance to another holder.
type transferKey struct {
	to   cawork.ShardID
	team cawork.TeamName
}

// NewHolder returns the holder self with the account restored from the records of
// its journal: either all records, or those that Records returned and all that
// were appended since.
func NewHolder(cfg Config, self cawork.ShardID, zone cawork.ZoneName, records []Record, deps Deps) *Holder {
	return &Holder{
		cfg: cfg, self: self, zone: zone, deps: deps,
		done: make(chan struct{}), wake: make(chan struct{}, 1), changed: make(chan struct{}),
		ledger: restoreLedger(self, records), planner: caescrow.NewPlanner(self, zone, cfg.Policy),
		lastRecorded: map[transferKey]int64{},
	}
}

// Done returns a channel that is closed at the end of Run.
func (p *Holder) Done() <-chan struct{} { return p.done }

// Changed returns a channel that is closed when allowance arrives or becomes
// free. A caller that waits to retry Acquire gets the channel before the call,
// so that it misses no change.
func (p *Holder) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// SetPartners replaces the other holders. Where Idle is nil, the last reported
// amounts are kept.
func (p *Holder) SetPartners(partners []caescrow.Partner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.partners
	p.partners = slices.Clone(partners)
	for i := range p.partners {
		index := slices.IndexFunc(previous, func(q caescrow.Partner) bool { return q.Shard == p.partners[i].Shard })
		if index >= 0 && p.partners[i].Idle == nil {
			p.partners[i].Idle = previous[index].Idle
		}
	}
}

// SetNeeds replaces the needs of queued work.
func (p *Holder) SetNeeds(needs []caescrow.Need) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needs = slices.Clone(needs)
}

// SetMint sets the share of a limit that this holder mints. It returns
// KindStaleVersion for an older version than the current one and for a lower
// amount under the same version. The sum of all shares must never exceed the
// limit: see caescrow.NextMint.
func (p *Holder) SetMint(ctx context.Context, s caescrow.MintShare) error {
	if s.Version <= 0 || s.Amount.IsNegative() {
		return cakind.New(cakind.KindInvalid, "mint share of version %d with amount %v is invalid", s.Version, s.Amount)
	}
	if err := p.checkMint(s); err != nil {
		return err
	}
	if err := p.record(ctx, Record{Mint: &s}); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.ledger.setMint(s); err != nil {
		return err
	}
	caevent.Info(p.deps.Log, caevent.AllowanceMinted).Str("team", string(s.Team)).Str("shard", string(p.self)).
		Int64("version", s.Version).Str("amount", s.Amount.String()).Bool("waits", false).Send()
	p.signalChange()
	return nil
}

func (p *Holder) checkMint(s caescrow.MintShare) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.checkMint(s)
}

// IsMintSettled reports whether exactly this version is minted and the team is
// not in debt here, so that other holders may raise their shares.
func (p *Holder) IsMintSettled(team cawork.TeamName, version int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.account.IsMintEffective(team, version)
}

// Acquire charges the amount to the team. It returns KindLimitReached if too
// little is available at this holder. After any other error the charge may
// still be in the journal, and then Charges returns it after a restart.
func (p *Holder) Acquire(ctx context.Context, team cawork.TeamName, amount cawork.Resources) (Charge, error) {
	c := Charge{ID: ChargeID(uuid.NewString()), Team: team, Amount: amount}
	if err := p.chargeAccount(c); err != nil {
		return Charge{}, err
	}
	if err := p.record(ctx, Record{Charged: &c}); err != nil {
		return Charge{}, errors.Join(err, p.freeAccount(c))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.charges[c.ID] = c
	return c, nil
}

// chargeAccount charges the account before the charge is recorded, so that no
// concurrent call uses the same allowance.
func (p *Holder) chargeAccount(c Charge) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	available := p.planner.Startable(p.deps.Timers.Now(), p.ledger.account, c.Team).Floor()
	if !c.Amount.Fits(available) {
		p.deps.Scope.Counter("allowance_refused").Inc(1)
		return cakind.New(cakind.KindLimitReached, "team %s: %v exceeds allowance %v", c.Team, c.Amount, available)
	}
	return p.ledger.account.Charge(c.Team, c.Amount)
}

// freeAccount reverts chargeAccount.
func (p *Holder) freeAccount(c Charge) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signalChange()
	return p.ledger.account.Free(c.Team, c.Amount)
}

// Release frees a charge whose work has ended. It returns KindNotFound if there
// is no such charge or it was released already. After any other error the charge
// is still in force.
func (p *Holder) Release(ctx context.Context, id ChargeID) error {
	c, ok := p.findCharge(id)
	if !ok {
		return cakind.New(cakind.KindNotFound, "charge %s", id)
	}
	if err := p.record(ctx, Record{Released: id}); err != nil {
		return err
	}
	p.mu.Lock()
	_, ok = p.ledger.charges[id]
	delete(p.ledger.charges, id)
	p.mu.Unlock()
	if !ok {
		return cakind.New(cakind.KindNotFound, "charge %s", id)
	}
	return p.freeAccount(c)
}

func (p *Holder) findCharge(id ChargeID) (Charge, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.ledger.charges[id]
	return c, ok
}

// Charges returns the charges in force, ordered by id. After a restart the
// embedding program releases those whose work no longer runs.
func (p *Holder) Charges() []Charge {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.sortedCharges()
}

// Available returns what the team may acquire now. It is negative when the
// holder is in debt.
func (p *Holder) Available(team cawork.TeamName) cawork.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Startable(p.deps.Timers.Now(), p.ledger.account, team)
}

// Excess returns how much running work of the team must be stopped because the
// limit was lowered.
func (p *Holder) Excess(team cawork.TeamName) cawork.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Excess(p.deps.Timers.Now(), p.ledger.account, team)
}

// Records returns records that describe the current account. They may replace
// all records that were appended to the journal before the call.
func (p *Holder) Records() []Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.records()
}

// record appends a change to the journal.
func (p *Holder) record(ctx context.Context, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	if err := p.deps.Journal.Append(ctx, r); err != nil {
		return cakind.Wrap(cakind.KindUnavailable, err, "journal of holder %s", p.self)
	}
	return nil
}

// signalChange closes the channel that Changed returned.
func (p *Holder) signalChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}
