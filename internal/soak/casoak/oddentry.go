package casoak

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// oddEntryLevels is how deep an odd entry is nested.
const oddEntryLevels = 10_000

// applyOddEntry writes an odd entry under a key of its own and over the registration of the
// target, and takes both back at the end of the fault.
func (c *cell) applyOddEntry(ctx context.Context, e faultEvent) error {
	c.registering.Lock()
	defer c.registering.Unlock()
	key, id := fmt.Sprintf("odd-%d", e.faultIndex), c.upstreams[e.fault.Target]
	if !e.begins {
		c.emulator.RestoreRegistration(id)
		return c.emulator.OverwriteRegistration(ctx, key, nil)
	}
	value := c.oddEntry(e.fault)
	if err := c.emulator.OverwriteRegistration(ctx, key, value); err != nil {
		return err
	}
	return c.emulator.OverwriteRegistration(ctx, string(id), value)
}

// oddEntry returns an entry that is nested very deeply, has numbers that are too large, or a port
// out of range. The second one names an upstream that answers.
func (c *cell) oddEntry(f Fault) []byte {
	const form = `{"Service":%q,"Address":%q,"State":"ready","Capacity":{"Cpu":%d,"MemMb":%d},"Labels":%s,"Sequence":1,"born":%d}`
	address, born := c.upstreamProxies[f.Target].Address(), time.Now().UnixMilli()
	switch f.Way {
	case 1:
		labels := strings.Repeat("[", oddEntryLevels) + strings.Repeat("]", oddEntryLevels)
		return fmt.Appendf(nil, form, poolName, address, 1000, 1024, labels, born)
	case 2:
		return fmt.Appendf(nil, form, poolName, address, int64(math.MaxInt64), int64(math.MaxInt64), "[]", int64(math.MaxInt64))
	default:
		host, _, _ := strings.Cut(address, ":")
		return fmt.Appendf(nil, form, poolName, host+":99999", int64(cawork.Cores(upstreamCores)), 2048*upstreamCores, "[]", born)
	}
}
