package cacapacity_test

import (
	"testing"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

var memoryMeasurements = []measurement{
	{"heap of open jobs in a replica", "bytes", jobCounts, func(b *testing.B, n int) float64 {
		return heapOf(func() any { return stateOfOpenJobs(b, n) })
	}},
	{"heap of ended jobs in a replica", "bytes", []int{100, 1000, 4000}, func(b *testing.B, n int) float64 {
		return heapOf(func() any { return stateOfEndedJobs(b, n) })
	}},
	{"heap of upstreams in the ownership core", "bytes", vmCounts, func(_ *testing.B, n int) float64 {
		return heapOf(func() any { return ownershipState(n) })
	}},
	{"heap of attempts in the table of an owner", "bytes", attemptCounts, func(_ *testing.B, n int) float64 {
		return heapOf(func() any { return attemptTable(n) })
	}},
	{"heap of the list of VMs", "bytes", vmCounts, func(_ *testing.B, n int) float64 {
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
					teamUse := camember.TeamUse{Team: "nordtrikot", Use: cawork.Resources{CPU: 1}}
					members[i].TeamUse = append(members[i].TeamUse, teamUse)
				}
			}
			return members
		})
	}},
}
