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

// Config holds the settings of a Part.
type Config struct {
	// Policy bounds how allowance is asked for and given.
	Policy caescrow.Policy
	// Period is the time between two rounds of calls to other holders.
	Period time.Duration
	// CallTimeout bounds one call to another holder or to the journal.
	CallTimeout time.Duration
}

// DefaultConfig returns the settings for a few dozen holders.
func DefaultConfig() Config {
	return Config{Policy: caescrow.DefaultPolicy(), Period: 200 * time.Millisecond, CallTimeout: time.Second}
}

// Deps are the surroundings of a Part.
type Deps struct {
	Peers   Peers
	Journal Journal
	Timers  *catimer.Service
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Part keeps the allowances of one holder. Its methods may be called by any
// goroutine.
type Part struct {
	cfg  Config
	self cawork.ShardID
	zone cawork.ZoneName
	deps Deps
	done chan struct{}
	wake chan struct{}

	mu       sync.Mutex
	book     book
	planner  *caescrow.Planner
	needs    []caescrow.Need
	partners []caescrow.Partner
	// recorded holds the number of the last transfer that the journal has.
	recorded map[route]int64
	changed  chan struct{}
}

// route names the transfers of a team to another holder.
type route struct {
	to   cawork.ShardID
	team cawork.TeamName
}

// NewPart returns the holder self with the account that the records of its
// journal describe: all of them, or those of Records and what came after.
func NewPart(cfg Config, self cawork.ShardID, zone cawork.ZoneName, records []Record, deps Deps) *Part {
	return &Part{
		cfg: cfg, self: self, zone: zone, deps: deps,
		done: make(chan struct{}), wake: make(chan struct{}, 1), changed: make(chan struct{}),
		book: restore(self, records), planner: caescrow.NewPlanner(self, zone, cfg.Policy),
		recorded: map[route]int64{},
	}
}

// Done returns a channel that is closed at the end of Run.
func (p *Part) Done() <-chan struct{} { return p.done }

// Changed returns a channel that is closed when allowance arrives or is set
// free. Take it before a call whose refusal is waited out.
func (p *Part) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// SetPartners takes over the other holders. Idle may be left empty.
func (p *Part) SetPartners(partners []caescrow.Partner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	former := p.partners
	p.partners = slices.Clone(partners)
	for i := range p.partners {
		at := slices.IndexFunc(former, func(q caescrow.Partner) bool { return q.Shard == p.partners[i].Shard })
		if at >= 0 && p.partners[i].Idle == nil {
			p.partners[i].Idle = former[at].Idle
		}
	}
}

// SetNeeds takes over what waits for allowance. It replaces the former needs.
func (p *Part) SetNeeds(needs []caescrow.Need) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needs = slices.Clone(needs)
}

// SetMint sets the part of a limit that this holder mints. An older version
// than the last one, or a lower amount under the same version, is refused with
// KindStaleVersion. All parts together must not exceed the limit at any time:
// see caescrow.NextMint.
func (p *Part) SetMint(ctx context.Context, s caescrow.MintShare) error {
	if s.Version <= 0 || s.Amount.IsNegative() {
		return cakind.New(cakind.KindInvalid, "mint of version %d, %v", s.Version, s.Amount)
	}
	if err := p.checkMint(s); err != nil {
		return err
	}
	if err := p.record(ctx, Record{Mint: &s}); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.book.setMint(s); err != nil {
		return err
	}
	caevent.Info(p.deps.Log, caevent.AllowanceMinted).Str("team", string(s.Team)).Str("shard", string(p.self)).
		Int64("version", s.Version).Str("amount", s.Amount.String()).Bool("waits", false).Send()
	p.noteChange()
	return nil
}

func (p *Part) checkMint(s caescrow.MintShare) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.checkMint(s)
}

// IsMintSettled reports whether exactly this version is minted and no debt is
// left of it, so that other holders may raise their parts.
func (p *Part) IsMintSettled(team cawork.TeamName, version int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.account.IsMintSettled(team, version)
}

// Acquire charges the amount to the team. An error of KindLimitReached means
// that too little is available here. After an error of another kind the journal
// may have the charge, which Charges then lists after a restart.
func (p *Part) Acquire(ctx context.Context, team cawork.TeamName, amount cawork.Resources) (Charge, error) {
	c := Charge{ID: ChargeID(uuid.NewString()), Team: team, Amount: amount}
	if err := p.take(c); err != nil {
		return Charge{}, err
	}
	if err := p.record(ctx, Record{Charged: &c}); err != nil {
		return Charge{}, errors.Join(err, p.put(c))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.charges[c.ID] = c
	return c, nil
}

// take charges the account before the journal is asked, so that nothing else
// takes the same allowance meanwhile.
func (p *Part) take(c Charge) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	startable := p.planner.Startable(p.deps.Timers.Now(), p.book.account, c.Team).Floor()
	if !c.Amount.Fits(startable) {
		p.deps.Scope.Counter("allowance_refused").Inc(1)
		return cakind.New(cakind.KindLimitReached, "team %s: %v exceeds allowance %v", c.Team, c.Amount, startable)
	}
	return p.book.account.Charge(c.Team, c.Amount)
}

// put gives back what take charged.
func (p *Part) put(c Charge) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteChange()
	return p.book.account.Free(c.Team, c.Amount)
}

// Release frees a charge whose work has ended. KindNotFound means that it is
// free already. After an error of another kind it is still charged.
func (p *Part) Release(ctx context.Context, id ChargeID) error {
	c, ok := p.charge(id)
	if !ok {
		return cakind.New(cakind.KindNotFound, "charge %s", id)
	}
	if err := p.record(ctx, Record{Released: id}); err != nil {
		return err
	}
	p.mu.Lock()
	_, ok = p.book.charges[id]
	delete(p.book.charges, id)
	p.mu.Unlock()
	if !ok {
		return cakind.New(cakind.KindNotFound, "charge %s", id)
	}
	return p.put(c)
}

func (p *Part) charge(id ChargeID) (Charge, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.book.charges[id]
	return c, ok
}

// Charges returns the charges that were not released, ordered by id. After a
// restart the embedder releases those whose work does not run any more.
func (p *Part) Charges() []Charge {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.list()
}

// Available returns what may be acquired now. It is negative when the holder
// is in debt.
func (p *Part) Available(team cawork.TeamName) cawork.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Startable(p.deps.Timers.Now(), p.book.account, team)
}

// Excess returns how much running work of the team is to be ended, since the
// limit was lowered.
func (p *Part) Excess(team cawork.TeamName) cawork.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Excess(p.deps.Timers.Now(), p.book.account, team)
}

// Records returns records that describe the account now. They may replace all
// records that the journal was given before the call.
func (p *Part) Records() []Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.records()
}

// record keeps a change in the journal.
func (p *Part) record(ctx context.Context, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	if err := p.deps.Journal.Append(ctx, r); err != nil {
		return cakind.Wrap(cakind.KindUnavailable, err, "journal of holder %s", p.self)
	}
	return nil
}

func (p *Part) noteChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}
