package cadedupe

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// replicaCount is the number of entries that store the record of a key.
const replicaCount = 2

// chooseReplicas returns the entries that store the record of the key, the
// primary first: the members with the highest rendezvous hash for the key.
func chooseReplicas(members []Member, k Key) []cawork.VMID {
	type ranked struct {
		id    cawork.VMID
		score uint64
	}
	ranking := make([]ranked, 0, len(members))
	for _, m := range members {
		ranking = append(ranking, ranked{m.ID, score(m.ID, k)})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	var ids []cawork.VMID
	for _, r := range ranking[:min(replicaCount, len(ranking))] {
		ids = append(ids, r.id)
	}
	return ids
}

func score(id cawork.VMID, k Key) uint64 {
	h := xxhash.New()
	for _, part := range []string{string(id), string(k.Team), k.Name} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
