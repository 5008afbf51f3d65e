package cacapacity_test

import (
	"testing"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

var memoryFigures = []figure{
	{"heap of open jobs in a replica", "bytes", jobSizes, func(b *testing.B, n int) float64 {
		return heapOf(func() any { return busy(b, n) })
	}},
	{"heap of ended jobs in a replica", "bytes", []int{100, 1000, 4000}, func(b *testing.B, n int) float64 {
		return heapOf(func() any { return rested(b, n) })
	}},
	{"heap of upstreams in the ownership core", "bytes", listSizes, func(_ *testing.B, n int) float64 {
		return heapOf(func() any { return ownerState(n) })
	}},
	{"heap of attempts in the table of an owner", "bytes", attemptSizes, func(_ *testing.B, n int) float64 {
		return heapOf(func() any { return table(n) })
	}},
	{"heap of the list of VMs", "bytes", listSizes, func(_ *testing.B, n int) float64 {
		return heapOf(func() any {
			var vms []caplatform.VM
			for i := range n {
				vms = append(vms, vm(i))
			}
			return vms
		})
	}},
	{"heap of the state of members with 22 teams", "bytes", []int{9, 25, 60}, func(_ *testing.B, n int) float64 {
		return heapOf(func() any {
			members := make([]camember.AppState, n)
			for i := range members {
				for range 22 {
					use := camember.TeamUse{Team: "nordtrikot", Use: cawork.Resources{CPU: 1}}
					members[i].TeamUse = append(members[i].TeamUse, use)
				}
			}
			return members
		})
	}},
}
