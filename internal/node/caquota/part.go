// Package caquota mints the allowances of the own zone and moves them between
// the shards that this entry leads.
package caquota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/caactive"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// claimTopic is the topic of the log that orders the claims of mints.
	claimTopic = "mint"
	// period is the time between two looks at the log.
	period = time.Second
	// exchangePeriod is the time between two rounds of asks while a shard needs
	// allowance or owes a transfer, calmPeriod the time while none does.
	exchangePeriod = 200 * time.Millisecond
	calmPeriod     = time.Second
	// exchangeGap is the least time between two rounds of asks.
	exchangeGap = 20 * time.Millisecond
	// claimRetry is the time between two appends of a claim.
	claimRetry = 5 * time.Second
	// renewPeriod is the time after which the holder claims anew, so that the
	// log keeps a claim of it.
	renewPeriod = 10 * time.Minute
	// appendTimeout bounds the wait for a record to take effect.
	appendTimeout = 2 * time.Second
	// roundTimeout bounds one round of reads and settlements.
	roundTimeout = 10 * time.Second
	// readLimit bounds the records of one read.
	readLimit = 256
)

// Shards replicates the accounts of the shards that this entry leads.
type Shards interface {
	Append(ctx context.Context, s cawork.ShardID, record []byte) error
	Read(s cawork.ShardID, f func(cashard.StateMachine)) bool
	Statuses() []cashard.Status
	Retire(s cawork.ShardID)
}

// Limits gives the configuration in force.
type Limits interface {
	View() caactive.View
}

// Config wires a part.
type Config struct {
	Zone    cawork.ZoneName
	Shard   cawork.ShardID
	Log     caplatform.Log
	Shards  Shards
	Limits  Limits
	Leaders Leaders
	Archive Archive
	Ender   Ender
	Peers   Peers
	Timer   *catimer.Service
	Logger  zerolog.Logger
	Scope   tally.Scope
	// Format returns the format of the records to come.
	Format func() caversion.Format
}

// Part keeps the allowances of the own zone.
type Part struct {
	Config
	done   chan struct{}
	minted chan struct{}
	wake   chan struct{}
	// calm tells that the next record is to wake the part.
	calm atomic.Bool
	// rested is the time before which no round follows the last one.
	rested   time.Time
	claims   *caescrow.Claims
	next     caplatform.Offset
	complete bool
	// truncated is set when the log has dropped claims that were never read.
	truncated bool
	claimed   time.Time
	// applied is the configuration that was last minted.
	applied cacell.Config

	mu       sync.Mutex
	later    caversion.Format
	planners map[cawork.ShardID]*caescrow.Planner
	idle     map[cawork.ShardID][]caescrow.TeamAmount
}

// NewPart returns a part that has read nothing yet.
func NewPart(c Config) *Part {
	return &Part{
		Config:   c,
		done:     make(chan struct{}),
		minted:   make(chan struct{}),
		wake:     make(chan struct{}, 1),
		claims:   caescrow.NewClaims(),
		planners: make(map[cawork.ShardID]*caescrow.Planner),
		idle:     make(map[cawork.ShardID][]caescrow.TeamAmount),
	}
}

// Run keeps the allowances until the context ends.
func (p *Part) Run(ctx context.Context) error {
	defer close(p.done)
	go p.mintRounds(ctx)
	p.Timer.Recur(ctx, p.wake, p.exchangeRound)
	<-p.minted
	return nil
}

// exchangeRound returns the time until the next round. Two rounds are kept
// apart, however often the part is woken: two shards that give to each other
// would otherwise do so without end.
func (p *Part) exchangeRound(ctx context.Context) time.Duration {
	if early := p.rested.Sub(p.Timer.Now()); early > 0 {
		return early
	}
	// A record that takes effect from here on wakes the part, if this round
	// finds nothing to do.
	p.calm.Store(true)
	p.collect(ctx)
	pending := p.exchange(ctx)
	p.rested = p.Timer.Now().Add(exchangeGap)
	if pending {
		p.calm.Store(false)
		return exchangePeriod
	}
	return calmPeriod
}

// mintRounds mints beside the exchange, because the log may be slow.
func (p *Part) mintRounds(ctx context.Context) {
	defer close(p.minted)
	ticks := p.Timer.Every(period)
	defer ticks.Close()
	for {
		p.mintRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// mintRound ends after a while, so that a call whose answer never comes does not
// keep the rounds from going on.
func (p *Part) mintRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	p.round(ctx)
	p.settleRebuilt(ctx)
}

// Done is closed when the part has ended.
func (p *Part) Done() <-chan struct{} { return p.done }

// SetShard names the own shard after the former one was taken over.
func (p *Part) SetShard(s cawork.ShardID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Shard = s
}

// own returns the own shard.
func (p *Part) own() cawork.ShardID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Shard
}

// Committed makes the part look at the led shards after a record, unless it is
// about to do so anyway.
func (p *Part) Committed() {
	if p.calm.CompareAndSwap(true, false) {
		p.LedChanged()
	}
}

// LedChanged makes the part look at the led shards at once.
func (p *Part) LedChanged() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Part) round(ctx context.Context) {
	view := p.Limits.View()
	if view.Version == 0 {
		return
	}
	p.readClaims(ctx)
	if p.Later() != 0 {
		// The claim that cannot be read may have another holder.
		return
	}
	if p.complete {
		p.claim(ctx)
	}
	holder, ok := p.holder()
	if ok && p.leads(holder.Shard) && p.inherit(ctx, holder) {
		p.mint(ctx, holder.Shard, view)
	}
}

// readClaims folds the claims of the log up to its end.
func (p *Part) readClaims(ctx context.Context) {
	for {
		page, err := p.Log.Read(ctx, claimTopic, p.next, readLimit)
		if err != nil {
			return
		}
		p.truncated = p.truncated || page.Earliest > p.next
		for _, r := range page.Records {
			claim, err := caescrow.DecodeClaim(r.Payload)
			if p.noteLater(r.Offset, err) {
				return
			}
			p.next = r.Offset + 1
			if err == nil {
				p.mu.Lock()
				p.claims.Apply(claim)
				p.mu.Unlock()
			}
		}
		p.next = max(p.next, page.Earliest)
		if len(page.Records) == 0 || p.next >= page.Next {
			p.complete = true
			return
		}
	}
}

// claim claims the mint of the zone when nobody has it. The holder claims anew
// with the next generation before the log drops its claim; a claim that lost
// the first race can then never be taken for the first one by a late reader.
func (p *Part) claim(ctx context.Context) {
	holder, held := p.holder()
	if !held && p.truncated {
		p.learnClaims(ctx)
		holder, held = p.holder()
	}
	wait := claimRetry
	next := caescrow.Claim{Zone: p.Zone, Generation: holder.Generation + 1, Shard: p.own()}
	if held {
		wait = renewPeriod
		next.Shard, next.Lost = holder.Shard, holder.Lost
	}
	if held && !p.leads(holder.Shard) {
		var lost bool
		if next, lost = p.succeedMint(ctx, holder); !lost {
			return
		}
		wait = claimRetry
	}
	if !p.claimed.IsZero() && p.Timer.Now().Sub(p.claimed) < wait {
		return
	}
	if !held && p.truncated {
		// The claim in force may be among the records that the log has dropped.
		caevent.Warn(p.Logger, caevent.LogUnavailable).Str("topic", claimTopic).
			Str("reason", "the log has dropped claims, so that none is made").Send()
		p.claimed = p.Timer.Now()
		return
	}
	payload, err := cbor.Marshal(next)
	if err != nil {
		return
	}
	p.claimed = p.Timer.Now()
	if _, err := p.Log.Append(ctx, claimTopic, [][]byte{payload}); err != nil {
		caevent.Warn(p.Logger, caevent.LogUnavailable).Str("topic", claimTopic).AnErr("error", err).Send()
	}
	p.readClaims(ctx)
}

// holder returns the claim in force of the mint of the zone.
func (p *Part) holder() (caescrow.Claim, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claims.Holder(p.Zone)
}

func (p *Part) leads(s cawork.ShardID) bool {
	return p.Shards.Read(s, func(cashard.StateMachine) {})
}

func (p *Part) append(ctx context.Context, shard cawork.ShardID, r cajob.Record) error {
	r.At = p.Timer.Now()
	payload, err := r.WithFormat(p.Format()).Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err = p.Shards.Append(ctx, shard, payload)
	if err != nil && cakind.Of(err) != cakind.KindNotStarted {
		caevent.Warn(p.Logger, caevent.PartFailed).Str("part", "quota").AnErr("error", err).Send()
	}
	return err
}
