package calog

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// initialPageSize and maxPageSize are the number of payloads in the first
	// read and the maximum of any read.
	initialPageSize = 32
	maxPageSize     = 512
	// targetPageBytes is the intended total size of the payloads in one read.
	targetPageBytes = 1 << 20
)

// readPages calls visit for each entry of a topic from the offset to the end, in
// order. It skips payloads that this package did not write. For a payload of a
// newer format it returns an error, because the shards in it cannot be
// determined. The number of payloads per read is adapted to their size, and
// halved if an answer is lost, because the answer may have been too large.
func readPages(ctx context.Context, l caplatform.Log, topic string, from caplatform.Offset, visit func(caplatform.Offset, Entry)) error {
	var decoder batchDecoder
	limit := initialPageSize
	for {
		page, err := l.Read(ctx, topic, from, limit)
		if err != nil && (limit == 1 || cakind.Of(err) != cakind.KindUnknown || ctx.Err() != nil) {
			return err
		}
		if err != nil {
			limit /= 2
			continue
		}
		size := 0
		for _, r := range page.Records {
			err := decoder.decode(r.Payload, func(e Entry) { visit(r.Offset, e) })
			if _, later := caversion.AsUnsupportedFormat(err); later {
				return err
			}
			size += len(r.Payload)
			from = r.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.Next {
			return nil
		}
		limit = nextLimit(limit, size)
	}
}

// nextLimit returns the number of payloads for the next read, given the size in
// bytes of the last one.
func nextLimit(limit, size int) int {
	switch {
	case size > targetPageBytes:
		return max(limit/2, 1)
	case size < targetPageBytes/2:
		return min(limit*2, maxPageSize)
	}
	return limit
}
