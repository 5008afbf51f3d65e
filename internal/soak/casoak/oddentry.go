package casoak

import (
	"context"
	"fmt"

	"celeryarch.example/celeryarch/platform"
)

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
	odd := platform.OddRegistrations(poolName, c.upstreamProxies[e.fault.Target].Address())
	value := odd[(e.fault.Way-1)%len(odd)]
	if err := c.emulator.OverwriteRegistration(ctx, key, value); err != nil {
		return err
	}
	return c.emulator.OverwriteRegistration(ctx, string(id), value)
}
