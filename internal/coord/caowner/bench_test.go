package caowner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// BenchmarkSecond measures one second of simulated time of a State that owns all
// upstreams of its zone. They answer immediately.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{15, 182, 910} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := caowner.NewState(caowner.DefaultConfig(), "e1", "z", start, cacheck.New(zerolog.Nop(), tally.NoopScope))
			s.SetEntries([]caowner.Entry{{VM: "e1", Since: start}})
			var vms []caplatform.VM
			for i := range n {
				vms = append(vms, caplatform.VM{ID: cawork.VMID(fmt.Sprint("u", i)), Role: caplatform.VMRoleUpstream, Zone: "z"})
			}
			s.SetUpstreams(start, vms)
			now := start.Add(settleTime)
			for b.Loop() {
				for range time.Second / (50 * time.Millisecond) {
					for _, c := range s.Tick(now) {
						s.HandleCallResult(now, caowner.CallResult{Call: c, Claim: caplatform.ClaimResult{
							Granted: true, Ownership: caplatform.Ownership{Epoch: 1},
						}})
					}
					now = now.Add(50 * time.Millisecond)
				}
				s.TakeEvents()
			}
		})
	}
}
