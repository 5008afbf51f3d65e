package cashard

import "celeryarch.example/celeryarch/internal/base/cawork"

// AppendAsync adds a record to a shard without waiting for the commit. Records are
// added in the order of the calls. The returned channel delivers the result that
// Append would return, once. An error means that the record has no effect and
// never will have one.
func (p *ReplicaManager) AppendAsync(s cawork.ShardID, record []byte) (<-chan error, error) {
	w, err := p.enqueue(s, record)
	if err != nil {
		return nil, err
	}
	return w.result, nil
}
