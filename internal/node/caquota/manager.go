// Package caquota mints the allowances of its own zone and moves allowance between
// the shards that this entry leads and all others.
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
	// claimTopic is the log topic that orders the claims to mints.
	claimTopic = "mint"
	// mintPeriod is the time between two rounds of minting, each of which reads the
	// log.
	mintPeriod = time.Second
	// exchangePeriod is the time between two exchange rounds while a led shard needs
	// allowance or has an unacknowledged transfer, quietPeriod the time otherwise.
	exchangePeriod = 200 * time.Millisecond
	quietPeriod    = time.Second
	// minExchangeGap is the minimum time between two exchange rounds.
	minExchangeGap = 20 * time.Millisecond
	// claimRetryPeriod is the minimum time between two attempts to claim a mint.
	claimRetryPeriod = 5 * time.Second
	// claimRenewPeriod is the time after which the holder renews its claim, before
	// the log drops it.
	claimRenewPeriod = 10 * time.Minute
	// appendTimeout bounds the wait for a record to take effect.
	appendTimeout = 2 * time.Second
	// roundTimeout bounds one round of minting and settlement.
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

// ConfigSource returns the active configuration.
type ConfigSource interface {
	View() caactive.View
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	Zone         cawork.ZoneName
	Shard        cawork.ShardID
	Log          caplatform.Log
	Shards       Shards
	ConfigSource ConfigSource
	Leaders      Leaders
	Archive      ShardLog
	Ender        AttemptStopper
	Peers        PeerClient
	Timer        *catimer.Service
	Logger       zerolog.Logger
	Scope        tally.Scope
	// Format returns the format for new records.
	Format func() caversion.Format
}

// Manager manages the allowances of its own zone.
type Manager struct {
	Config
	done     chan struct{}
	mintDone chan struct{}
	wake     chan struct{}
	// wakeOnCommit is set when the next committed record starts an exchange round.
	wakeOnCommit atomic.Bool
	// nextExchangeAt is the earliest time of the next exchange round.
	nextExchangeAt time.Time
	claims         *caescrow.Claims
	nextOffset     caplatform.Offset
	claimsRead     bool
	// claimsTruncated is set when the log has dropped claims that were never read.
	claimsTruncated bool
	claimedAt       time.Time
	// mintedConfig is the last configuration that was minted completely.
	mintedConfig cacell.Config

	mu               sync.Mutex
	unreadableFormat caversion.Format
	planners         map[cawork.ShardID]*caescrow.Planner
	idle             map[cawork.ShardID][]caescrow.TeamAmount
}

// NewManager returns a manager that has not read the log yet.
func NewManager(c Config) *Manager {
	return &Manager{
		Config:   c,
		done:     make(chan struct{}),
		mintDone: make(chan struct{}),
		wake:     make(chan struct{}, 1),
		claims:   caescrow.NewClaims(),
		planners: make(map[cawork.ShardID]*caescrow.Planner),
		idle:     make(map[cawork.ShardID][]caescrow.TeamAmount),
	}
}

// Run mints and exchanges allowance until the context ends.
func (p *Manager) Run(ctx context.Context) error {
	defer close(p.done)
	go p.mintRounds(ctx)
	p.Timer.Recur(ctx, p.wake, p.exchangeRound)
	<-p.mintDone
	return nil
}

// exchangeRound runs a round and returns the time until the next one. Rounds are
// at least minExchangeGap apart, however often they are triggered: two shards that
// give to each other would otherwise trigger each other in a busy loop.
func (p *Manager) exchangeRound(ctx context.Context) time.Duration {
	if remaining := p.nextExchangeAt.Sub(p.Timer.Now()); remaining > 0 {
		return remaining
	}
	// A record committed from here on triggers the next round, unless this round
	// clears the flag because it has work pending.
	p.wakeOnCommit.Store(true)
	p.collectSpare(ctx)
	pending := p.exchange(ctx)
	p.nextExchangeAt = p.Timer.Now().Add(minExchangeGap)
	if pending {
		p.wakeOnCommit.Store(false)
		return exchangePeriod
	}
	return quietPeriod
}

// mintRounds mints concurrently with the exchange, because the log may be slow.
func (p *Manager) mintRounds(ctx context.Context) {
	defer close(p.mintDone)
	ticks := p.Timer.Every(mintPeriod)
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

// mintRound runs one round of minting and settlement. It has a timeout, so that an
// unanswered call does not block later rounds.
func (p *Manager) mintRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	p.mintOnce(ctx)
	p.settleRebuilt(ctx)
}

// Done returns a channel that is closed when Run has returned.
func (p *Manager) Done() <-chan struct{} { return p.done }

// SetShard sets the own shard after another entry took over the previous one.
func (p *Manager) SetShard(s cawork.ShardID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Shard = s
}

// ownShard returns the shard that this entry created itself.
func (p *Manager) ownShard() cawork.ShardID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Shard
}

// TriggerAfterCommit triggers an exchange round after a committed record, unless one is due
// shortly anyway.
func (p *Manager) TriggerAfterCommit() {
	if p.wakeOnCommit.CompareAndSwap(true, false) {
		p.TriggerExchange()
	}
}

// TriggerExchange triggers an exchange round.
func (p *Manager) TriggerExchange() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Manager) mintOnce(ctx context.Context) {
	view := p.ConfigSource.View()
	if view.Version == 0 {
		return
	}
	p.readClaims(ctx)
	if p.UnreadableFormat() != 0 {
		// The unreadable claim may name another holder.
		return
	}
	if p.claimsRead {
		p.claim(ctx)
	}
	holder, ok := p.holder()
	if ok && p.leads(holder.Shard) && p.inherit(ctx, holder) {
		p.mint(ctx, holder.Shard, view)
	}
}

// readClaims applies the claims in the log up to its end.
func (p *Manager) readClaims(ctx context.Context) {
	for {
		page, err := p.Log.Read(ctx, claimTopic, p.nextOffset, readLimit)
		if err != nil {
			return
		}
		p.claimsTruncated = p.claimsTruncated || page.Earliest > p.nextOffset
		for _, r := range page.Records {
			claim, err := caescrow.DecodeClaim(r.Payload)
			if p.recordUnreadable(r.Offset, err) {
				return
			}
			p.nextOffset = r.Offset + 1
			if err == nil {
				p.mu.Lock()
				p.claims.Apply(claim)
				p.mu.Unlock()
			}
		}
		p.nextOffset = max(p.nextOffset, page.Earliest)
		if len(page.Records) == 0 || p.nextOffset >= page.Next {
			p.claimsRead = true
			return
		}
	}
}

// claim claims the mint of the zone when it has no holder, or when its holder is
// lost. The holder renews its claim with the next generation before the log drops
// it, so that a late reader can never take a claim that lost the first race for
// the winner.
func (p *Manager) claim(ctx context.Context) {
	holder, held := p.holder()
	if !held && p.claimsTruncated {
		p.fetchClaims(ctx)
		holder, held = p.holder()
	}
	retryAfter := claimRetryPeriod
	next := caescrow.Claim{Zone: p.Zone, Generation: holder.Generation + 1, Shard: p.ownShard()}
	if held {
		retryAfter = claimRenewPeriod
		next.Shard, next.Lost = holder.Shard, holder.Lost
	}
	if held && !p.leads(holder.Shard) {
		var lost bool
		if next, lost = p.successionClaim(ctx, holder); !lost {
			return
		}
		retryAfter = claimRetryPeriod
	}
	if !p.claimedAt.IsZero() && p.Timer.Now().Sub(p.claimedAt) < retryAfter {
		return
	}
	if !held && p.claimsTruncated {
		// The current claim may be among the records that the log has dropped.
		caevent.Warn(p.Logger, caevent.LogUnavailable).Str("topic", claimTopic).
			Str("reason", "the log has dropped claims; not claiming the mint").Send()
		p.claimedAt = p.Timer.Now()
		return
	}
	payload, err := cbor.Marshal(next)
	if err != nil {
		return
	}
	p.claimedAt = p.Timer.Now()
	if _, err := p.Log.Append(ctx, claimTopic, [][]byte{payload}); err != nil {
		caevent.Warn(p.Logger, caevent.LogUnavailable).Str("topic", claimTopic).AnErr("error", err).Send()
	}
	p.readClaims(ctx)
}

// holder returns the current claim to the mint of the zone.
func (p *Manager) holder() (caescrow.Claim, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claims.Holder(p.Zone)
}

func (p *Manager) leads(s cawork.ShardID) bool {
	return p.Shards.Read(s, func(cashard.StateMachine) {})
}

func (p *Manager) append(ctx context.Context, shard cawork.ShardID, r cajob.Record) error {
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
