package cashard

import "celeryarch.example/celeryarch/internal/base/cawork"

// Propose adds a record to a shard in the order of the calls and returns a
// channel that delivers the result of Append once. An error means that the
// record has no effect and never will.
func (p *Part) Propose(s cawork.ShardID, record []byte) (<-chan error, error) {
	w, err := p.enqueue(s, record)
	if err != nil {
		return nil, err
	}
	return w.result, nil
}
