// Package calease offers leases of names with fencing, for programs other than
// an entry. Table is the side of the keeper, which grants each name to one
// holder at a time under an epoch that grows; Holder is the side of those who
// claim, which runs caowner over the calls of the embedder.
package calease

import (
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// TableConfig holds the settings of a Table.
type TableConfig struct {
	// MaxTTL bounds the time for which a lease is granted.
	MaxTTL time.Duration
	// Floor is an epoch below every one that is granted. A keeper that lost its
	// table passes one that it never reached, and sets Grace to MaxTTL.
	Floor caplatform.Epoch
	// Grace is the time from the start on in which nothing is granted, because
	// leases of a lost table may still be trusted.
	Grace time.Duration
}

// Table grants leases of names. It may be used by any goroutine.
type Table struct {
	cfg   TableConfig
	clock Clock
	open  time.Time

	mu     sync.Mutex
	leases map[cawork.UpstreamID]lease
}

// Grant is the answer to a claim: the lease in force after it.
type Grant struct {
	Granted bool
	Lease   caplatform.Ownership
}

// Renewal prolongs a lease.
type Renewal struct {
	Holder cawork.VMID
	Epoch  caplatform.Epoch
	TTL    time.Duration
}

// lease is the last lease that was granted of a name.
type lease struct {
	holder cawork.VMID
	epoch  caplatform.Epoch
	until  time.Time
}

// NewTable returns a table without leases.
func NewTable(cfg TableConfig, c Clock) *Table {
	return &Table{cfg: cfg, clock: c, open: c.Now().Add(cfg.Grace), leases: map[cawork.UpstreamID]lease{}}
}

// Claim grants the lease of the name if it is free, lapsed or held by the
// claimant, under a higher epoch than ever before. It is idempotent but for the
// epoch: a late copy may fence the claimant, who then claims anew.
func (t *Table) Claim(name cawork.UpstreamID, c caplatform.Claim) (Grant, error) {
	if c.Holder == "" || c.TTL <= 0 || c.TTL > t.cfg.MaxTTL {
		return Grant{}, cakind.New(cakind.KindInvalid,
			"claim of %s by %q for %v, at most %v", name, c.Holder, c.TTL, t.cfg.MaxTTL)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Before(t.open) {
		return Grant{}, cakind.New(cakind.KindUnavailable,
			"leases are granted in %v", t.open.Sub(now)).WithRetryAfter(t.open.Sub(now))
	}
	l := t.leases[name]
	if now.Before(l.until) && l.holder != c.Holder {
		return Grant{Lease: l.stated(now)}, nil
	}
	l = lease{holder: c.Holder, epoch: max(l.epoch, t.cfg.Floor) + 1, until: now.Add(c.TTL)}
	t.leases[name] = l
	return Grant{Granted: true, Lease: l.stated(now)}, nil
}

// Renew prolongs the lease that is held under the epoch, or fails with
// KindFenced. A lapsed lease is not renewed.
func (t *Table) Renew(name cawork.UpstreamID, r Renewal) (caplatform.Ownership, error) {
	if r.TTL <= 0 || r.TTL > t.cfg.MaxTTL {
		return caplatform.Ownership{}, cakind.New(cakind.KindInvalid, "renewal of %s for %v", name, r.TTL)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	l, err := t.current(name, r.Epoch, now)
	if err != nil {
		return caplatform.Ownership{}, err
	}
	if until := now.Add(r.TTL); until.After(l.until) {
		l.until = until
	}
	t.leases[name] = l
	return l.stated(now), nil
}

// Release ends the lease that is held under the epoch, or fails with
// KindFenced.
func (t *Table) Release(name cawork.UpstreamID, o caplatform.Ownership) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	l, err := t.current(name, o.Epoch, now)
	if err != nil {
		return err
	}
	l.until = now
	t.leases[name] = l
	return nil
}

// Check returns KindFenced unless the epoch is that of the lease in force. The
// keeper calls it before each operation that only the holder may perform.
func (t *Table) Check(name cawork.UpstreamID, e caplatform.Epoch) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.current(name, e, t.clock.Now())
	return err
}

// Peek returns the lease in force, with an empty holder when there is none.
func (t *Table) Peek(name cawork.UpstreamID) caplatform.Ownership {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	l := t.leases[name]
	if !now.Before(l.until) {
		return caplatform.Ownership{Epoch: max(l.epoch, t.cfg.Floor)}
	}
	return l.stated(now)
}

func (t *Table) current(name cawork.UpstreamID, e caplatform.Epoch, now time.Time) (lease, error) {
	l := t.leases[name]
	if l.epoch != e || !now.Before(l.until) {
		return lease{}, cakind.New(cakind.KindFenced, "epoch %d of %s is not in force, the last was %d", e, name, l.epoch)
	}
	return l, nil
}

func (l lease) stated(now time.Time) caplatform.Ownership {
	return caplatform.Ownership{Holder: l.holder, Epoch: l.epoch, Remaining: l.until.Sub(now)}
}
