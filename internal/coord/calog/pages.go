package calog

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// firstPage is the number of payloads of the first read, maxPage the most
	// of any.
	firstPage = 32
	maxPage   = 512
	// pageBytes is the size in bytes of the payloads of one read that is aimed
	// at.
	pageBytes = 1 << 20
)

// readPages calls visit for each entry of a topic from the offset up to the
// end, in order. Payloads of others are skipped, but one of a later format ends
// the reading with its error: nobody can tell which shards it is of. The number of payloads of a
// read follows their size, and is halved when an answer is lost, which may have
// been too large.
func readPages(ctx context.Context, l caplatform.Log, topic string, from caplatform.Offset, visit func(caplatform.Offset, Entry)) error {
	var decoder batchDecoder
	limit := firstPage
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
			if _, later := caversion.Later(err); later {
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

// nextLimit returns the number of payloads of the next read after one of the
// size in bytes.
func nextLimit(limit, size int) int {
	switch {
	case size > pageBytes:
		return max(limit/2, 1)
	case size < pageBytes/2:
		return min(limit*2, maxPage)
	}
	return limit
}
