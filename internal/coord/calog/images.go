package calog

import (
	"cmp"
	"slices"
)

// Images returns the images of all shards that are not retired, sorted by shard.
func (r *Replay) Images() []Image {
	var images []Image
	for _, i := range r.images {
		if !i.Retired {
			images = append(images, *i)
		}
	}
	slices.SortFunc(images, func(a, b Image) int { return cmp.Compare(a.Shard, b.Shard) })
	return images
}
