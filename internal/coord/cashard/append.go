package cashard

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Append adds a record to a shard and waits until the record is committed. If
// the state machine rejects the record, Append returns the error of the state
// machine. KindNotStarted and KindDraining mean that the record has no effect
// and never will have one; KindUnknown means that the record may have taken
// effect or may still do so. Records of concurrent appends are sent in batches.
func (p *ReplicaManager) Append(ctx context.Context, s cawork.ShardID, record []byte) error {
	w, err := p.enqueue(s, record)
	if err != nil {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return cakind.Wrap(cakind.KindUnknown, ctx.Err(), "record of shard %s is not acknowledged", s)
	}
}

func (p *ReplicaManager) enqueue(s cawork.ShardID, record []byte) (*waiter, error) {
	p.beforeStep()
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[s]
	if !ok || p.hasStopped() {
		return nil, cakind.New(cakind.KindNotStarted, "shard %s is not led here", s)
	}
	if err := p.admit(r); err != nil {
		return nil, err
	}
	w := &waiter{result: make(chan error, 1)}
	var err error
	p.step(r, func(out *effects) {
		var index int64
		index, err = r.append(p.opts.Timer.Now(), record, out)
		if err == nil {
			p.waiters[waitKey{shard: s, index: index}] = w
		}
	})
	return w, err
}

// admit rejects records while the primary may not act, so that callers learn
// at once that their record has no effect. It passes the records of a draining
// shard on, for append to reject them.
func (p *ReplicaManager) admit(r *replica) error {
	if r.primary == nil {
		return nil
	}
	if _, ok := r.primary.mayAct(p.opts.Timer.Now()); ok || r.primary.draining {
		return nil
	}
	return cakind.New(cakind.KindNotStarted, "primary of shard %s may not act now; its lease may have expired", r.shard).
		WithRetryAfter(p.opts.Config.Heartbeat)
}

// completeWaiter delivers the result of a record to its waiter, if there is one.
func (p *ReplicaManager) completeWaiter(key waitKey, err error) {
	w, ok := p.waiters[key]
	if !ok {
		return
	}
	delete(p.waiters, key)
	w.result <- err
}

// failWaiters fails all waiters of the shard with KindUnknown: their records may
// still take effect, as the member that leads the shard now may hold them.
func (p *ReplicaManager) failWaiters(s cawork.ShardID) {
	for key := range p.waiters {
		if key.shard == s {
			p.completeWaiter(key, cakind.New(cakind.KindUnknown, "this member is no longer the primary of shard %s", s))
		}
	}
}
