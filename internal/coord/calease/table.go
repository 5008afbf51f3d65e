// Package calease provides leases of names, with epochs as fencing tokens, to
// programs other than an entry. The grantor of a name has a Table, which grants
// the name to one holder at a time under increasing epochs. Each instance that
// claims names has a Holder, which runs caowner over the calls that the program
// implements.
package calease

import (
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Clock is the source of the current time.
type Clock interface {
	Now() time.Time
}

// TableConfig holds the settings of a Table.
type TableConfig struct {
	// MaxTTL bounds the time for which a lease is granted or renewed.
	MaxTTL time.Duration
	// Floor is an epoch below all that are granted. A grantor that lost its
	// table passes an epoch that the table never reached, and sets Grace to
	// MaxTTL.
	Floor caplatform.Epoch
	// Grace is the time after the start in which nothing is granted, because
	// leases of a lost table may still be in use.
	Grace time.Duration
}

// Table grants leases of names. It is safe for concurrent use.
type Table struct {
	cfg        TableConfig
	clock      Clock
	grantsFrom time.Time

	mu     sync.Mutex
	leases map[cawork.UpstreamID]lease
}

// Grant is the answer to a claim: the lease in force after it.
type Grant struct {
	Granted bool
	Lease   caplatform.Ownership
}

// Renewal is a request to extend a lease.
type Renewal struct {
	Holder cawork.VMID
	Epoch  caplatform.Epoch
	TTL    time.Duration
}

// lease is the last lease granted for a name.
type lease struct {
	holder  cawork.VMID
	epoch   caplatform.Epoch
	expires time.Time
}

// NewTable returns a table without leases.
func NewTable(cfg TableConfig, c Clock) *Table {
	return &Table{cfg: cfg, clock: c, grantsFrom: c.Now().Add(cfg.Grace), leases: map[cawork.UpstreamID]lease{}}
}

// Claim grants the lease of the name if the name is free, its lease has expired,
// or the claimant holds it. Each grant has a higher epoch than all before. A
// repeated claim therefore changes the epoch: a late duplicate may fence the
// claimant, which then claims again.
func (t *Table) Claim(name cawork.UpstreamID, c caplatform.Claim) (Grant, error) {
	if c.Holder == "" || c.TTL <= 0 || c.TTL > t.cfg.MaxTTL {
		return Grant{}, cakind.New(cakind.KindInvalid,
			"invalid claim of %s by holder %q: TTL %v, maximum %v", name, c.Holder, c.TTL, t.cfg.MaxTTL)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Before(t.grantsFrom) {
		return Grant{}, cakind.New(cakind.KindUnavailable,
			"no leases are granted during the startup grace period; retry in %v",
			t.grantsFrom.Sub(now)).WithRetryAfter(t.grantsFrom.Sub(now))
	}
	l := t.leases[name]
	if now.Before(l.expires) && l.holder != c.Holder {
		return Grant{Lease: l.ownership(now)}, nil
	}
	l = lease{holder: c.Holder, epoch: max(l.epoch, t.cfg.Floor) + 1, expires: now.Add(c.TTL)}
	t.leases[name] = l
	return Grant{Granted: true, Lease: l.ownership(now)}, nil
}

// Renew extends the lease that is held under the epoch, or fails with
// KindFenced. An expired lease is not renewed.
func (t *Table) Renew(name cawork.UpstreamID, r Renewal) (caplatform.Ownership, error) {
	if r.TTL <= 0 || r.TTL > t.cfg.MaxTTL {
		return caplatform.Ownership{}, cakind.New(cakind.KindInvalid, "invalid renewal of %s: TTL %v", name, r.TTL)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	l, err := t.inForce(name, r.Epoch, now)
	if err != nil {
		return caplatform.Ownership{}, err
	}
	if expires := now.Add(r.TTL); expires.After(l.expires) {
		l.expires = expires
	}
	t.leases[name] = l
	return l.ownership(now), nil
}

// Release ends the lease that is held under the epoch, or fails with
// KindFenced.
func (t *Table) Release(name cawork.UpstreamID, o caplatform.Ownership) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	l, err := t.inForce(name, o.Epoch, now)
	if err != nil {
		return err
	}
	l.expires = now
	t.leases[name] = l
	return nil
}

// Check returns KindFenced unless the epoch is that of the lease in force. The
// grantor calls it before each operation that only the holder may perform.
func (t *Table) Check(name cawork.UpstreamID, e caplatform.Epoch) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.inForce(name, e, t.clock.Now())
	return err
}

// Peek returns the lease in force, with an empty holder when there is none.
func (t *Table) Peek(name cawork.UpstreamID) caplatform.Ownership {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	l := t.leases[name]
	if !now.Before(l.expires) {
		return caplatform.Ownership{Epoch: max(l.epoch, t.cfg.Floor)}
	}
	return l.ownership(now)
}

func (t *Table) inForce(name cawork.UpstreamID, e caplatform.Epoch, now time.Time) (lease, error) {
	l := t.leases[name]
	if l.epoch != e || !now.Before(l.expires) {
		return lease{}, cakind.New(cakind.KindFenced,
			"epoch %d of %s is not in force; the last granted epoch is %d", e, name, l.epoch)
	}
	return l, nil
}

func (l lease) ownership(now time.Time) caplatform.Ownership {
	return caplatform.Ownership{Holder: l.holder, Epoch: l.epoch, Remaining: l.expires.Sub(now)}
}
