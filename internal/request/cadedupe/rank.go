package cadedupe

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// copies is the number of entries that hold the record of a key.
const copies = 2

// holders returns the entries that hold the record of the key, the keeper
// first: the members with the highest hash of member and key.
func holders(members []Member, k Key) []cawork.VMID {
	type ranked struct {
		id    cawork.VMID
		score uint64
	}
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		all = append(all, ranked{m.ID, score(m.ID, k)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	var ids []cawork.VMID
	for _, r := range all[:min(copies, len(all))] {
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
